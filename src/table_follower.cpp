#include "table_follower.h"

#include <set>
#include <utility>

namespace bulrushway {
namespace {

// Pauses before a retry. Each call is charged, and more calls would add load to a store in trouble.
constexpr std::chrono::milliseconds kRetryPause{400};
constexpr std::chrono::milliseconds kLongestRetryPause{1600};
// After a watch without an answer, a read shows within this time whether only its connection
// failed.
constexpr std::chrono::milliseconds kReadTime{250};
constexpr size_t kMaxLoggedUnreadable = 1000;

}  // namespace

table_follower::table_follower(event_loop& loop, decision_log& log, const row_store& store,
                               std::string table, std::chrono::milliseconds wait,
                               pause_function pause, change_handler changed)
    : log_(log),
      store_(store),
      table_(std::move(table)),
      wait_(wait),
      pause_(std::move(pause)),
      changed_(std::move(changed)),
      backoff_(kRetryPause, kLongestRetryPause),
      retry_(loop, [this](instant now) { Read(now); }),
      next_watch_(loop,
                  [this](instant now) {
                    Watch(now,
                          std::exchange(catch_up_, false) ? std::chrono::milliseconds{0} : wait_);
                  }),
      check_rewritten_(loop, [this](instant now) { Refresh(now); }) {}

void table_follower::Start(instant now) { Read(now); }

void table_follower::Refresh(instant now) {
  if (now >= retry_at_) Read(now);
}

void table_follower::OnStoreAnswered(instant now) {
  // A relayed table is read again when peers report changes that it lacks.
  const bool waits = !healthy_ && !reading_ && !watching_ && !(relayed_ && has_read_);
  if (waits) Read(now);
}

void table_follower::OnFailed(instant now, const std::string& reason) {
  RecordHealth(false, reason);
  const std::chrono::milliseconds pause = PauseAtTurn(backoff_.OnFailure(), turn_());
  retry_at_ = now + pause;
  if (!relayed_ || !has_read_) retry_.Once(pause);
}

bool table_follower::Current(instant now) const {
  return has_read_ && healthy_ && now - answered_ <= wait_ + pause_() + kMaxWatchDelay + kReadTime;
}

std::optional<std::chrono::nanoseconds> table_follower::Age(instant now) const {
  if (!has_read_) return std::nullopt;
  return now - answered_;
}

void table_follower::Read(instant now) {
  if (reading_) return;
  reading_ = true;
  retry_.Cancel();
  next_watch_.Cancel();
  watching_ = false;
  ++epoch_;
  store_.read(table_, [this, now](instant answered, result<row_snapshot> outcome) {
    OnRead(answered, now, std::move(outcome));
  });
}

void table_follower::RecordHealth(bool healthy, const std::string& reason) {
  if (healthy) {
    backoff_.OnSuccess();
    retry_at_ = {};
  }
  if (healthy == healthy_) return;
  healthy_ = healthy;
  log_.Write(healthy ? "store_answers_again" : "store_call_failed",
             {{"table", table_}, {"version", std::to_string(version_)}, {"reason", reason}},
             log_priority::kNotable);
}

void table_follower::OnRead(instant now, instant sent, result<row_snapshot> outcome) {
  reading_ = false;
  if (!outcome) return OnFailed(now, outcome.error().message);
  RecordHealth(true, {});
  has_read_ = true;
  answered_ = now;
  const uint64_t after = latest_change_;
  if (version_ != 0 && EraOf(outcome->version) > EraOf(version_)) {
    log_.Write("table_returned",
               {{"table", table_},
                {"version", std::to_string(version_)},
                {"returned_to", std::to_string(outcome->version)}},
               log_priority::kNotable);
    rewritten_until_ = now + kRewriteTime;
    check_rewritten_.Once(kRewriteTime);
  }
  version_ = std::max(version_, outcome->version);
  std::set<std::string> present;
  for (const stored_row& row : outcome->rows) {
    present.insert(row.id.key);
    latest_change_ = std::max(latest_change_, row.version);
  }
  for (const unreadable_row& row : outcome->unreadable) present.insert(row.key);
  LogUnreadable(outcome->unreadable);
  std::vector<stored_row> changes = std::move(outcome->rows);
  for (const auto& [key, version] : versions_) {
    // The writer of a row that the copy lacks may be about to write it again.
    if (present.contains(key) || now < rewritten_until_) continue;
    changes.push_back({{table_, key}, {}, outcome->version, true});
  }
  Apply(now, sent, after, std::move(changes));
  ScheduleWatch();
}

void table_follower::ScheduleWatch() {
  if (!relayed_) next_watch_.Once(pause_());
}

void table_follower::SetRelayed(bool relayed) {
  if (relayed == relayed_) return;
  relayed_ = relayed;
  log_.Write(relayed ? "table_relayed" : "table_followed",
             {{"table", table_}, {"version", std::to_string(version_)}}, log_priority::kNotable);
  if (relayed) {
    next_watch_.Cancel();
    if (has_read_) retry_.Cancel();
  } else if (has_read_ && !watching_ && !reading_) {
    // Answered at once, so that what was missed does not depend on an old connection.
    catch_up_ = true;
    // One after the other: the first one that the store answers tells the others.
    next_watch_.Once(kRetryPause * static_cast<int64_t>(turn_()));
  }
}

void table_follower::OnRelayed(instant now, uint64_t after, uint64_t version,
                               std::vector<stored_row> rows) {
  if (!has_read_) return;
  if (latest_change_ >= version) return;
  // Changes are missing, or are too large to be passed on.
  if (after > std::max(version_, latest_change_) || rows.empty()) return Refresh(now);
  const uint64_t known = latest_change_;
  version_ = std::max(version_, version);
  for (const stored_row& row : rows) latest_change_ = std::max(latest_change_, row.version);
  // Nothing says when these rows were read.
  constexpr instant kSent{};
  Apply(now, kSent, known, std::move(rows));
}

void table_follower::OnKnown(const std::string& key, uint64_t version) {
  uint64_t& known = versions_[key];
  known = std::max(known, version);
  latest_change_ = std::max(latest_change_, version);
}

void table_follower::Watch(instant now, std::chrono::milliseconds wait) {
  watching_ = true;
  const uint64_t epoch = ++epoch_;
  store_.watch(table_, version_, wait,
               [this, now, epoch](instant answered, result<row_snapshot> outcome) {
                 OnWatched(answered, now, epoch, std::move(outcome));
               });
}

void table_follower::OnWatched(instant now, instant sent, uint64_t epoch,
                               result<row_snapshot> outcome) {
  if (epoch != epoch_) return;
  watching_ = false;
  if (!outcome) {
    // After a lost history or a failed call, a read recovers the missed changes.
    if (outcome.error().kind == error_kind::kConflict) {
      RecordHealth(false, outcome.error().message);
      return Read(now);
    }
    // A watch without an answer may have failed by its connection alone.
    if (now - sent >= kRetryPause) {
      log_.Write("watch_unanswered",
                 {{"table", table_},
                  {"version", std::to_string(version_)},
                  {"reason", outcome.error().message}},
                 log_priority::kNotable);
      return Read(now);
    }
    return OnFailed(now, outcome.error().message);
  }
  RecordHealth(true, {});
  answered_ = now;
  const uint64_t after = latest_change_;
  version_ = std::max(version_, outcome->version);
  const bool changed = !outcome->rows.empty() || !outcome->unreadable.empty();
  LogUnreadable(outcome->unreadable);
  for (const stored_row& row : outcome->rows) {
    latest_change_ = std::max(latest_change_, row.version);
  }
  Apply(now, sent, after, std::move(outcome->rows));
  if (!changed && !relayed_) return Watch(now, wait_);
  ScheduleWatch();
}

void table_follower::LogUnreadable(const std::vector<unreadable_row>& rows) {
  for (const unreadable_row& row : rows) {
    if (logged_unreadable_.size() >= kMaxLoggedUnreadable) logged_unreadable_.clear();
    if (!logged_unreadable_.emplace(row.key, row.version).second) continue;
    log_.Write("row_unreadable",
               {{"table", table_},
                {"row", row.key},
                {"version", std::to_string(row.version)},
                {"reason", row.reason}},
               log_priority::kNotable);
  }
}

void table_follower::Apply(instant now, instant sent, uint64_t after,
                           std::vector<stored_row> changes) {
  // A read may return rows that are older than those that a watch has already delivered.
  std::erase_if(changes, [this](const stored_row& row) {
    const auto last_seen = versions_.find(row.id.key);
    if (last_seen == versions_.end()) return row.deleted;
    return row.version <= last_seen->second;
  });
  for (const stored_row& row : changes) {
    if (row.deleted) {
      versions_.erase(row.id.key);
    } else {
      versions_[row.id.key] = row.version;
    }
  }
  if (relay_ && sent != instant{} && !changes.empty()) relay_(after, version_, changes);
  changed_(now, sent, changes);
}

}  // namespace bulrushway
