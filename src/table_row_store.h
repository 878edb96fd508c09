#ifndef BULRUSHWAY_TABLE_ROW_STORE_H
#define BULRUSHWAY_TABLE_ROW_STORE_H

// Implements row_store on a platform whose table service has one flat table and no change feed.
// Tables are key prefixes, and a watch polls the rows until they change.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "delayed_calls.h"
#include "http_table_service.h"
#include "row_store.h"

namespace bulrushway {

/// Adapter from http_table_service to row_store.
class table_row_store {
 public:
  table_row_store(event_loop& loop, http_table_service& table) : table_(table), delayed_(loop) {}

  /// Returns the functions of the store; they must not be called after this object is destroyed.
  row_store AsRowStore();

 private:
  using row_versions = std::map<std::string, uint64_t>;

  void Read(const std::string& table, rows_callback done);
  void Commit(const row_transaction& transaction, receipt_callback done);
  // Reads the table repeatedly, until it has changed or at `until`.
  void Watch(const std::string& table, instant until, const rows_callback& done);
  // Compares the rows with the reported ones and records them as reported. Returns all rows and the
  // deleted ones, or nothing if no version differs.
  std::vector<stored_row> TakeChanges(const std::string& table, std::vector<stored_row> rows);

  http_table_service& table_;
  delayed_calls delayed_;
  // Row versions by table, as last returned by a watch, or by the first read.
  std::map<std::string, row_versions> reported_;
  // The table service versions each row by itself and has no version of a snapshot, so this process
  // numbers its snapshots.
  uint64_t snapshot_count_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TABLE_ROW_STORE_H
