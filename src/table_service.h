#ifndef BULRUSHWAY_TABLE_SERVICE_H
#define BULRUSHWAY_TABLE_SERVICE_H

// Interfaces of the platform's transactional table and object store. Code that uses them is a
// template over these concepts, so that supporting another platform takes one more class.

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "error.h"

namespace bulrushway {

/// One row of the table. Versions start at 1 and grow with every write of the row.
struct table_row {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

/// The row must have this version when the transaction commits; 0: the row must not exist.
struct table_condition {
  std::string key;
  uint64_t version = 0;
};

/// Sets the value of a row, or deletes the row if there is no value.
struct table_write {
  std::string key;
  std::optional<std::string> value;
};

/// Writes that take effect all together or not at all. The operation id makes retries idempotent:
/// for at least ten minutes the platform answers a repeated id with the outcome of the first.
struct transaction {
  std::string operation;
  std::vector<table_condition> conditions;
  std::vector<table_write> writes;
};

/// Called once with the outcome of a commit. `kConflict`: a condition failed and nothing was
/// written. `kPeer`: no answer was received; the transaction may have taken effect, so the caller
/// must read the rows back or retry under the same operation id.
using commit_callback = std::function<void(result<void>)>;
/// Called once with the rows found.
using table_callback = std::function<void(result<std::vector<table_row>>)>;
/// Called once with an object's bytes.
using object_callback = std::function<void(result<std::string>)>;

/// A transactional table.
template <class Table>
concept table_service = requires(Table table, transaction txn, std::string prefix,
                                 commit_callback committed, table_callback read) {
  { table.Commit(txn, committed) } -> std::same_as<void>;
  { table.ReadPrefix(prefix, read) } -> std::same_as<void>;
};

/// A store of named, immutable byte strings.
template <class Objects>
concept object_store = requires(Objects objects, std::string name, std::string bytes,
                                commit_callback stored, object_callback read) {
  { objects.Put(name, bytes, stored) } -> std::same_as<void>;
  { objects.Get(name, read) } -> std::same_as<void>;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TABLE_SERVICE_H
