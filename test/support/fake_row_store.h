#ifndef BULRUSHWAY_TEST_FAKE_ROW_STORE_H
#define BULRUSHWAY_TEST_FAKE_ROW_STORE_H

// An in-memory row store with its own clock, for tests on simulated time. Calls and answers take a
// configurable delay; answers can be lost, and calls can be lost or arrive late.

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
    rows.read = [this, reaches_store, alive](const std::string& table, rows_callback done) {
      Call(
          reaches_store, alive,
          [this, table, alive, done] {
            row_snapshot snapshot{{}, version_, Now()};
            for (const auto& [id, row] : rows_) {
              if (id.table == table) snapshot.rows.push_back(row);
            }
            SendAnswer(alive, [done, snapshot](instant now) { done(now, snapshot); });
          },
          [done](instant now) { done(now, NoAnswer()); });
    };
    rows.commit = [this, reaches_store, alive](const row_transaction& change,
                                               receipt_callback done) {
      const bool lost = Chance(faults.lost_answers);
      const bool late = lost && Chance(faults.late_commits);
      const auto apply = [this, change, alive, done, lost] {
        const bool conditions_hold = ConditionsHold(change);
        if (conditions_hold) Apply(change);
        if (lost) return;
        const row_receipt receipt{version_, Now()};
        SendAnswer(alive, [done, conditions_hold, receipt](instant now) {
          if (conditions_hold) return done(now, receipt);
          done(now, Failure(error_kind::kConflict, "commit", "store", "A condition failed."));
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
    rows.watch = [](const std::string&, uint64_t, const rows_callback&) {};
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
      if ((row == nullptr ? 0 : row->version) != condition.version) return false;
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
  }

  std::mt19937_64 rng_;
  instant now_{};
  uint64_t version_ = 0;
  uint64_t commits_ = 0;
  std::map<row_key, stored_row> rows_;
  std::multimap<instant, std::function<void()>> scheduled_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TEST_FAKE_ROW_STORE_H
