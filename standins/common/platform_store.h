#ifndef BULRUSHWAY_PLATFORM_STORE_H
#define BULRUSHWAY_PLATFORM_STORE_H

// The state of the platform's stand-in: a transactional table and a store of immutable objects, in
// memory. It decides without I/O, so that its rules can be tested alone.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "table_service.h"

namespace bulrushway::standin {

/// First condition of a transaction that did not hold.
struct commit_conflict {
  std::string key;
  /// The row's version now; 0 when it does not exist.
  uint64_t version = 0;
};

/// Outcome of a commit: nothing when it took effect, else the conflict.
using commit_outcome = std::optional<commit_conflict>;

/// Table and objects of one platform.
class platform_store {
 public:
  /// How long the outcome of an operation id is remembered.
  static constexpr std::chrono::minutes kOutcomeRetention{10};

  /// Commits a transaction, or returns the first outcome of its operation id.
  commit_outcome Commit(const transaction& txn, instant now);
  /// Existing rows whose key begins with `prefix`, in the order of keys.
  std::vector<table_row> Rows(const std::string& prefix) const;
  /// The row's version; 0 when there is no such row.
  uint64_t VersionOf(const std::string& key) const;
  /// Stores an object; false when other bytes are stored under the name.
  bool Put(const std::string& name, const std::string& bytes);
  /// An object's bytes, or nullptr.
  const std::string* Get(const std::string& name) const;

  /// The whole state as text, without the remembered outcomes.
  std::string Save() const;
  /// Replaces the state by one that was saved.
  result<void> Load(const std::string& saved);

 private:
  // A deleted row keeps its version, so that a row made anew goes on counting.
  struct row_state {
    std::optional<std::string> value;
    uint64_t version = 0;
  };
  struct recorded_operation {
    std::string operation;
    instant at;
  };

  commit_outcome CheckConditions(const transaction& txn) const;
  void Apply(const transaction& txn);
  void ExpireOutcomes(instant now);

  std::map<std::string, row_state> rows_;
  std::map<std::string, std::string> objects_;
  std::unordered_map<std::string, commit_outcome> outcomes_;
  std::deque<recorded_operation> recorded_operations_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_PLATFORM_STORE_H
