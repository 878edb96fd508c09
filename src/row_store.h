#ifndef BULRUSHWAY_ROW_STORE_H
#define BULRUSHWAY_ROW_STORE_H

// Interface of the platform's transactional store: rows in tables, versioned by one counter of the
// store, with conditional transactions and a change feed. The platform's adapter provides the
// functions.

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "error.h"
#include "store_clock.h"
#include "store_era.h"

namespace bulrushway {

/// Identifies a row.
struct row_key {
  std::string table;
  std::string key;

  auto operator<=>(const row_key&) const = default;
};

/// A row, or a tombstone of a deleted row.
struct stored_row {
  row_key id;
  std::string value;
  /// Version of the transaction that wrote the row, in the era in which the row was read; 0 if a
  /// condition found no row.
  uint64_t version = 0;
  bool deleted = false;
};

/// A row that could not be read: another writer may have written it.
struct unreadable_row {
  /// Empty if not even the key could be read.
  std::string key;
  /// 0 if the version could not be read.
  uint64_t version = 0;
  std::string reason;
};

/// A consistent snapshot of rows, or the changes since a version in order.
struct row_snapshot {
  std::vector<stored_row> rows;
  /// Newest version of the store that is included.
  uint64_t version = 0;
  /// The store's time at some moment between request and answer.
  store_time now{0};
  /// Rows that are left out of `rows`. What they say is unknown; they are not deleted.
  std::vector<unreadable_row> unreadable = {};
};

/// The row must have this version when the transaction commits; 0: it must not exist.
struct row_condition {
  row_key id;
  uint64_t version = 0;
};

/// Sets the value of a row, or deletes the row if there is no value.
struct row_write {
  row_key id;
  std::optional<std::string> value;
};

/// Writes that take effect all together or not at all.
struct row_transaction {
  std::vector<row_condition> conditions;
  std::vector<row_write> writes;
  /// Called before the receipt when a condition failed, with the rows of the conditions as they
  /// are; a row that does not exist is missing. May be empty.
  std::function<void(std::vector<stored_row>)> on_conflict = {};
};

/// Receipt of a committed transaction.
struct row_receipt {
  uint64_t version = 0;
  /// The store's time at some moment between request and answer.
  store_time now{0};
};

/// Called exactly once from the event loop, after the call has returned, with the time of the
/// answer. Error kConflict: nothing was done, since a condition failed or the history of a watch is
/// gone. Error kPeer: the outcome is unknown.
using rows_callback = std::function<void(instant answered, result<row_snapshot>)>;
using receipt_callback = std::function<void(instant answered, result<row_receipt>)>;

/// Functions of the store.
struct row_store {
  /// Reads all rows of a table.
  std::function<void(const std::string& table, rows_callback)> read;
  /// Commits a transaction.
  std::function<void(row_transaction, receipt_callback)> commit;
  /// Waits until the table changes after `after_version`, for at most `wait`, and returns the
  /// changes, if any. An answer confirms the table; without one, the table may have changed.
  std::function<void(const std::string& table, uint64_t after_version,
                     std::chrono::milliseconds wait, rows_callback)>
      watch;
};

/// A watch fails when its answer is later than its wait by more than this.
inline constexpr std::chrono::milliseconds kMaxWatchDelay{750};

}  // namespace bulrushway

#endif  // BULRUSHWAY_ROW_STORE_H
