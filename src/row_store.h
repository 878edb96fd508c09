#ifndef BULRUSHWAY_ROW_STORE_H
#define BULRUSHWAY_ROW_STORE_H

// What the product asks of the platform's transactional store: rows in tables, with versions from
// one counter, conditional transactions, and a feed of changes. The functions are provided by the
// adapter of the platform.

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "error.h"
#include "store_clock.h"

namespace bulrushway {

/// Names a row.
struct row_key {
  std::string table;
  std::string key;

  auto operator<=>(const row_key&) const = default;
};

/// A row, or the fact that it was deleted.
struct stored_row {
  row_key id;
  std::string value;
  /// Version of the transaction that wrote it; 0 in the answer to a condition on a missing row.
  uint64_t version = 0;
  bool deleted = false;
};

/// Rows as of one moment, or changes since a version, in order.
struct row_snapshot {
  std::vector<stored_row> rows;
  /// Newest version of the store that is covered.
  uint64_t version = 0;
  store_time now{0};
};

/// The row must have this version when the transaction commits; 0: it must not exist.
struct row_condition {
  row_key id;
  uint64_t version = 0;
};

/// A new value, or a deletion when there is none.
struct row_write {
  row_key id;
  std::optional<std::string> value;
};

/// All writes take effect, or none of them.
struct row_transaction {
  std::vector<row_condition> conditions;
  std::vector<row_write> writes;
};

/// A transaction that took effect.
struct row_receipt {
  uint64_t version = 0;
  store_time now{0};
};

/// Called once with the time at which the answer came, from the loop, never before the call
/// returns. An error of kind kConflict says that nothing was done (a condition does not hold, or
/// the history of a watch is gone); one of kind kPeer that nobody knows.
using rows_callback = std::function<void(instant answered, result<row_snapshot>)>;
using receipt_callback = std::function<void(instant answered, result<row_receipt>)>;

/// The calls.
struct row_store {
  /// All rows of a table.
  std::function<void(const std::string& table, rows_callback)> read;
  std::function<void(row_transaction, receipt_callback)> commit;
  /// The changes of a table after a version; waits for the first one.
  std::function<void(const std::string& table, uint64_t after_version, rows_callback)> watch;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_ROW_STORE_H
