#ifndef BULRUSHWAY_TABLE_FOLLOWER_H
#define BULRUSHWAY_TABLE_FOLLOWER_H

// Follows one table of the platform's store: reads it once, then watches for changes. Each watch
// ends after a limited time also without a change, since a store that stays silent for longer has
// confirmed nothing. Reads the table again after a failed call, or when the store does not have the
// history of changes any more. When the store returns from a copy, the rows of the copy are
// reported, and those that it lacks are kept for some time, since their writers write them again.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "decision_log.h"
#include "event_loop.h"
#include "retry_backoff.h"
#include "row_store.h"

namespace bulrushway {

/// Reports the rows and changes of a table to a handler.
class table_follower {
 public:
  /// Called with changed rows, at `now`. `sent` is when the call that returned them was sent.
  using change_handler =
      std::function<void(instant now, instant sent, const std::vector<stored_row>& changes)>;

  /// Called with the rows that changed after version `after` of the store, up to `version`.
  using relay_function =
      std::function<void(uint64_t after, uint64_t version, const std::vector<stored_row>& changes)>;

  /// Returns the pause before the next watch.
  using pause_function = std::function<std::chrono::milliseconds()>;

  /// `wait`: longest time for which a watch waits for changes. After changes, the next watch starts
  /// after the duration that `pause` returns. A burst of changes then costs few calls instead of
  /// one per change: all processes follow the table, and each call is charged.
  table_follower(event_loop& loop, decision_log& log, const row_store& store, std::string table,
                 std::chrono::milliseconds wait, pause_function pause, change_handler changed);

  /// Starts with a read of the table.
  void Start(instant now);
  /// Reads the table at once, unless a read is in flight or has just failed. For callers that have
  /// evidence of a newer state than the watch has delivered.
  void Refresh(instant now);
  /// `turn` returns how many followers of the data centre ask a store that fails before this one.
  void SetTurn(std::function<size_t()> turn) { turn_ = std::move(turn); }
  /// The store answered a call of this process that was sent for another purpose.
  void OnStoreAnswered(instant now);
  /// While relayed, a neighbour passes changes on, and the store is not watched. Otherwise the
  /// watch continues where the relay ended.
  void SetRelayed(bool relayed);
  /// Takes over changes that a neighbour passed on: all those after version `after`.
  void OnRelayed(instant now, uint64_t after, uint64_t version, std::vector<stored_row> rows);
  /// The row is known at this version by other means.
  void OnKnown(const std::string& key, uint64_t version);
  /// Calls `relay` with all changes that the store delivers.
  void RelayTo(relay_function relay) { relay_ = std::move(relay); }
  const std::string& table() const { return table_; }
  /// Version of the latest change of a row.
  uint64_t LatestChange() const { return latest_change_; }
  /// Version of the store up to which all changes are known.
  uint64_t KnownVersion() const { return std::max(version_, latest_change_); }
  /// Whether the table has been read successfully at least once.
  bool HasRead() const { return has_read_; }
  /// Whether the last read succeeded, and the store has confirmed the table since for as long as it
  /// had to.
  bool Current(instant now) const;
  /// Time since the store last answered; none before its first answer.
  std::optional<std::chrono::nanoseconds> Age(instant now) const;
  uint64_t version() const { return version_; }

 private:
  void Read(instant now);
  void Watch(instant now, std::chrono::milliseconds wait);
  void OnRead(instant now, instant sent, result<row_snapshot> outcome);
  void OnWatched(instant now, instant sent, uint64_t epoch, result<row_snapshot> outcome);
  // `after`: the latest change that was known before.
  void Apply(instant now, instant sent, uint64_t after, std::vector<stored_row> changes);
  // Logs each version of an unreadable row once. What its key said before stays in force.
  void LogUnreadable(const std::vector<unreadable_row>& rows);
  // Starts the next watch after the pause, unless a neighbour passes changes on.
  void ScheduleWatch();
  void OnFailed(instant now, const std::string& reason);
  void RecordHealth(bool healthy, const std::string& reason);

  decision_log& log_;
  const row_store& store_;
  std::string table_;
  std::chrono::milliseconds wait_;
  pause_function pause_;
  change_handler changed_;
  std::function<size_t()> turn_ = [] { return 0; };
  retry_backoff backoff_;
  timer retry_;
  // Earliest time of the next read after a failure.
  instant retry_at_{};
  // The next watch is answered at once.
  bool catch_up_ = false;
  timer next_watch_;
  timer check_rewritten_;
  instant rewritten_until_{};
  // Row versions as last reported, to find what a read has changed.
  std::map<std::string, uint64_t> versions_;
  // Keys and versions of unreadable rows that have been logged.
  std::set<std::pair<std::string, uint64_t>> logged_unreadable_;
  uint64_t version_ = 0;
  uint64_t latest_change_ = 0;
  // When the store last answered.
  instant answered_{};
  relay_function relay_;
  bool relayed_ = false;
  bool watching_ = false;
  // Incremented with each read and watch, so that the outcome of an abandoned watch is ignored.
  uint64_t epoch_ = 0;
  bool has_read_ = false;
  bool reading_ = false;
  bool healthy_ = true;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TABLE_FOLLOWER_H
