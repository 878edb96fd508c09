#ifndef BULRUSHWAY_TEST_FAKE_ROW_STORE_H
#define BULRUSHWAY_TEST_FAKE_ROW_STORE_H

// An in-memory row store with its own clock, for tests on simulated time. Calls and answers take a
// configurable delay; answers can be lost, and calls can be lost or arrive late. The store can
// return from a copy: it forgets what it acknowledged since, and counts its versions from there.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "row_store.h"

namespace bulrushway {

/// Faults that the store simulates.
struct fake_store_faults {
  /// No call reaches the store.
  bool down = false;
  /// Share of commits that take effect but whose answers are lost.
  double lost_answers = 0;
  /// Share of the commits with a lost answer that take effect 1 to 6 seconds later.
  double late_commits = 0;
  /// Network delay, one way.
  std::chrono::milliseconds delay{4};
};

class fake_row_store {
 public:
  explicit fake_row_store(uint64_t seed) : rng_(seed) {}

  fake_store_faults faults;

  /// Returns the store's calls for one process. `reaches` says whether the process reaches the
  /// store, `alive` whether it still runs; answers to a process that has ended are dropped.
  row_store Rows(std::function<bool()> reaches_store, std::function<bool()> alive) {
    row_store rows;
    // Latest era that an answer has shown to the process.
    const auto known_era = std::make_shared<uint64_t>(0);
    rows.read = [this, reaches_store, alive, known_era](const std::string& table,
                                                        rows_callback done) {
      Call(
          reaches_store, alive,
          [this, table, alive, done, known_era] {
            row_snapshot snapshot{{}, version_, Now()};
            for (const auto& [id, row] : rows_) {
              if (id.table == table) snapshot.rows.push_back(row);
            }
            SendAnswer(alive, [done, snapshot, known_era](instant now) {
              *known_era = std::max(*known_era, EraOf(snapshot.version));
              done(now, snapshot);
            });
          },
          [done](instant now) { done(now, NoAnswer()); });
    };
    rows.commit = [this, reaches_store, alive, known_era](const row_transaction& change,
                                                          receipt_callback done) {
      for (const row_condition& condition : change.conditions) {
        if (condition.version == 0 || EraOf(condition.version) == *known_era) continue;
        return Schedule(now_, [this, alive, done] {
          if (alive()) done(now_, Conflict());
        });
      }
      const bool lost = Chance(faults.lost_answers);
      const bool late = lost && Chance(faults.late_commits);
      const auto apply = [this, change, alive, done, lost, known_era, sent_era = *known_era] {
        const bool conditions_hold = ConditionsHold(change);
        if (conditions_hold) Apply(change);
        if (lost) return;
        const row_receipt receipt{version_, Now()};
        SendAnswer(alive, [=](instant now) {
          *known_era = std::max(*known_era, EraOf(receipt.version));
          if (!conditions_hold) return done(now, Conflict());
          if (EraOf(receipt.version) != sent_era && sent_era != 0) return done(now, NoAnswer());
          done(now, receipt);
        });
      };
      if (lost) {
        Schedule(now_ + kTimeout, [this, alive, done] {
          if (alive()) done(now_, NoAnswer());
        });
      }
      if (late) {
        std::uniform_int_distribution<int> wait(1000, 6000);
        Schedule(now_ + std::chrono::milliseconds(wait(rng_)), apply);
        return;
      }
      if (lost) {
        if (reaches_store() && !faults.down) Schedule(now_ + faults.delay, apply);
        return;
      }
      Call(reaches_store, alive, apply, [done](instant now) { done(now, NoAnswer()); });
    };
    rows.watch = [](const std::string&, uint64_t, std::chrono::milliseconds, const rows_callback&) {
    };
    return rows;
  }

  /// Advances the clock to `now` and runs the events that are due.
  void Advance(instant now) {
    while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
      now_ = scheduled_.begin()->first;
      const auto event = scheduled_.begin()->second;
      scheduled_.erase(scheduled_.begin());
      event();
    }
    now_ = now;
  }

  /// Forgets all that was acknowledged in the last `age`.
  void ReturnFromCopy(std::chrono::milliseconds age) {
    const uint64_t era = EraOf(version_) + 1;
    version_ = 0;
    rows_.clear();
    for (const copy& taken : copies_) {
      if (taken.at > now_ - age) break;
      version_ = taken.version;
      rows_ = taken.rows;
    }
    copies_.clear();
    version_ = VersionOf(era, CountOf(version_));
    for (auto& [id, row] : rows_) row.version = VersionOf(era, CountOf(row.version));
    copies_.push_back({now_ - age, version_, rows_});
  }

  store_time Now() const {
    return std::chrono::duration_cast<store_time>(now_.time_since_epoch()) - kClockOffset;
  }
  /// Returns the row, or null if it doesn't exist.
  const stored_row* Find(const row_key& id) const {
    const auto found = rows_.find(id);
    return found == rows_.end() ? nullptr : &found->second;
  }
  uint64_t Commits() const { return commits_; }

 private:
  static constexpr std::chrono::milliseconds kTimeout{1500};
  static constexpr store_time kClockOffset{12345};

  static tl::unexpected<error> NoAnswer() {
    return Failure(error_kind::kPeer, "call", "store", "The call timed out.");
  }

  static tl::unexpected<error> Conflict() {
    return Failure(error_kind::kConflict, "commit", "store", "A condition failed.");
  }

  bool Chance(double share) { return std::uniform_real_distribution<double>(0, 1)(rng_) < share; }
  void Schedule(instant when, std::function<void()> event) {
    scheduled_.emplace(when, std::move(event));
  }

  void Call(const std::function<bool()>& reaches_store, const std::function<bool()>& alive,
            std::function<void()> arrive, const std::function<void(instant)>& fail) {
    if (!reaches_store() || faults.down) {
      Schedule(now_ + kTimeout, [this, alive, fail] {
        if (alive()) fail(now_);
      });
      return;
    }
    Schedule(now_ + faults.delay, std::move(arrive));
  }

  void SendAnswer(const std::function<bool()>& alive, const std::function<void(instant)>& deliver) {
    Schedule(now_ + faults.delay, [this, alive, deliver] {
      if (alive()) deliver(now_);
    });
  }

  bool ConditionsHold(const row_transaction& change) const {
    for (const row_condition& condition : change.conditions) {
      const stored_row* row = Find(condition.id);
      // Conditions that arrive state the count alone.
      if (CountOf(row == nullptr ? 0 : row->version) != CountOf(condition.version)) return false;
    }
    return true;
  }

  void Apply(const row_transaction& change) {
    ++version_;
    ++commits_;
    for (const row_write& write : change.writes) {
      if (write.value) {
        rows_[write.id] = {write.id, *write.value, version_, false};
      } else {
        rows_.erase(write.id);
      }
    }
    copies_.push_back({now_, version_, rows_});
    while (copies_.size() > 1 && copies_[1].at < now_ - kOldestCopy) copies_.pop_front();
  }

  // State of the store after a commit.
  struct copy {
    instant at;
    uint64_t version = 0;
    std::map<row_key, stored_row> rows;
  };
  static constexpr std::chrono::seconds kOldestCopy{20};

  std::mt19937_64 rng_;
  std::deque<copy> copies_;
  instant now_{};
  uint64_t version_ = 0;
  uint64_t commits_ = 0;
  std::map<row_key, stored_row> rows_;
  std::multimap<instant, std::function<void()>> scheduled_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TEST_FAKE_ROW_STORE_H
