#ifndef BULRUSHWAY_TABLE_FOLLOWER_H
#define BULRUSHWAY_TABLE_FOLLOWER_H

// Keeps a copy of one table of the platform's store: reads it once, then waits for changes. When
// the store has forgotten the history, or does not answer, it reads anew.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "decision_log.h"
#include "event_loop.h"
#include "row_store.h"

namespace bulrushway {

/// Follows a table.
class table_follower {
 public:
  /// What changed. `began` is when the call that brought it was sent.
  using change_handler =
      std::function<void(instant now, instant sent, const std::vector<stored_row>& changes)>;

  using pause_function = std::function<std::chrono::milliseconds()>;

  /// After changes have come, the next call waits for as long as `pause` says, so that a burst of
  /// changes costs each process few calls and not one for each change: all processes follow, and
  /// every call is paid for.
  table_follower(event_loop& loop, decision_log& log, const row_store& store, std::string table,
                 pause_function pause, change_handler changed);

  /// Begins to follow.
  void Start(instant now);
  /// Somebody has seen a newer state than the watch has brought: reads at once, unless a read is
  /// under way.
  void Refresh(instant now);
  /// Whether the table has been read at least once.
  bool HasRead() const { return has_read_; }
  /// Whether the last call to the store succeeded.
  bool Healthy() const { return healthy_; }
  uint64_t version() const { return version_; }

 private:
  void Read(instant now);
  void Watch(instant now);
  void OnRead(instant now, instant sent, result<row_snapshot> outcome);
  void OnWatched(instant now, instant sent, uint64_t epoch, result<row_snapshot> outcome);
  void Apply(instant now, instant sent, std::vector<stored_row> changes);
  void RecordHealth(bool healthy, const std::string& reason);

  decision_log& log_;
  const row_store& store_;
  std::string table_;
  pause_function pause_;
  change_handler changed_;
  timer retry_;
  timer next_watch_;
  // Rows as last seen, with their versions, to tell what a new read has changed.
  std::map<std::string, uint64_t> versions_;
  uint64_t version_ = 0;
  // Counts watches, so that the outcome of one that was given up is ignored.
  uint64_t epoch_ = 0;
  bool has_read_ = false;
  bool reading_ = false;
  bool healthy_ = true;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TABLE_FOLLOWER_H
