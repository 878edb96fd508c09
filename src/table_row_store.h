#ifndef BULRUSHWAY_TABLE_ROW_STORE_H
#define BULRUSHWAY_TABLE_ROW_STORE_H

// The transactional store as membership and key owners use it, on a platform whose table service
// has one flat table and no feed of changes: tables are prefixes of keys, and a watch reads the
// rows again until they have changed.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "delayed_calls.h"
#include "http_table_service.h"
#include "row_store.h"

namespace bulrushway {

/// Rows of a table service.
class table_row_store {
 public:
  table_row_store(event_loop& loop, http_table_service& table) : table_(table), delayed_(loop) {}

  /// The calls; valid as long as this object lives.
  row_store AsRowStore();

 private:
  using row_versions = std::map<std::string, uint64_t>;

  void Read(const std::string& table, rows_callback done);
  void Commit(const row_transaction& transaction, receipt_callback done);
  void Watch(const std::string& table, const rows_callback& done);
  // The rows, and those that have gone since the last call; empty when nothing has changed.
  std::vector<stored_row> TakeChanges(const std::string& table, std::vector<stored_row> rows);

  http_table_service& table_;
  delayed_calls delayed_;
  // Rows by table, as a watch has told them last, or as they were first read.
  std::map<std::string, row_versions> reported_;
  // Versions count the writes of one row here. Snapshots are numbered by this process.
  uint64_t snapshot_count_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TABLE_ROW_STORE_H
