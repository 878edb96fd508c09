#ifndef BULRUSHWAY_TABLE_SERVICE_H
#define BULRUSHWAY_TABLE_SERVICE_H

// What is asked of the platform's transactional table and object store. Code that uses them is
// templated over these concepts, so that another platform is one more class.

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

/// A row must have this version when the transaction commits; 0 means that it must not exist.
struct table_condition {
  std::string key;
  uint64_t version = 0;
};

/// A new value for a row, or its deletion when there is no value.
struct table_write {
  std::string key;
  std::optional<std::string> value;
};

/// All writes take effect, or none of them. The operation id makes a repeat recognizable: the
/// platform answers a repeated id with the first outcome for at least ten minutes.
struct transaction {
  std::string operation;
  std::vector<table_condition> conditions;
  std::vector<table_write> writes;
};

/// Called once with the outcome of a commit. `kConflict`: a condition failed, nothing was written.
/// `kPeer`: no answer; the transaction may have taken effect and must be read back or repeated
/// under the same operation id.
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

/// An object store of named immutable byte strings.
template <class Objects>
concept object_store = requires(Objects objects, std::string name, std::string bytes,
                                commit_callback stored, object_callback read) {
  { objects.Put(name, bytes, stored) } -> std::same_as<void>;
  { objects.Get(name, read) } -> std::same_as<void>;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TABLE_SERVICE_H
