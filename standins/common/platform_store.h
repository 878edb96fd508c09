#ifndef BULRUSHWAY_PLATFORM_STORE_H
#define BULRUSHWAY_PLATFORM_STORE_H

// State of the platform stand-in: a transactional table and a store of immutable objects, in
// memory. It does no I/O, so that its rules can be tested in isolation.

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

/// The first condition of a transaction that failed.
struct commit_conflict {
  std::string key;
  /// Current version of the row; 0 if it does not exist.
  uint64_t version = 0;
};

/// Outcome of a commit: empty if it took effect, otherwise the conflict.
using commit_outcome = std::optional<commit_conflict>;

/// Table and objects of one platform.
class platform_store {
 public:
  /// Time for which the outcome of an operation id is kept.
  static constexpr std::chrono::minutes kOutcomeRetention{10};

  /// Commits a transaction. If its operation id was seen before, returns the outcome of the first
  /// commit and changes nothing.
  commit_outcome Commit(const transaction& txn, instant now);
  /// Existing rows whose key starts with `prefix`, sorted by key.
  std::vector<table_row> Rows(const std::string& prefix) const;
  /// Version of the row; 0 if it does not exist.
  uint64_t VersionOf(const std::string& key) const;
  /// Stores an object; returns false if the name already holds different bytes.
  bool Put(const std::string& name, const std::string& bytes);
  /// Returns the bytes of an object, or nullptr if it does not exist.
  const std::string* Get(const std::string& name) const;

  /// Serializes rows and objects, without the outcomes of operation ids.
  std::string Save() const;
  /// Replaces rows and objects by those of a saved state.
  result<void> Load(const std::string& saved);

 private:
  // A deleted row keeps its version, so that versions keep increasing when the row is created
  // again.
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
