#ifndef BULRUSHWAY_EXECUTION_LOG_H
#define BULRUSHWAY_EXECUTION_LOG_H

// What a target's stand-in ran: how often each request, and for which owner's epoch each slice.
// Double runs and two owners at once show here.

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "clock.h"

namespace bulrushway::standin {

/// How often one request ran.
struct execution_count {
  uint64_t count = 0;
  bool idempotent = false;
};

/// Executions of one slice under one epoch.
struct owner_span {
  instant first;
  instant last;
  uint64_t count = 0;
};

/// A slice under an epoch of its owner.
struct owned_slice {
  std::string service;
  uint64_t slice = 0;
  uint64_t epoch = 0;

  auto operator<=>(const owned_slice&) const = default;
};

/// Record of all executions.
class execution_log {
 public:
  /// Counts a request as run, named by its idempotency key or else by its request id.
  void RecordExecution(const std::string& id, bool idempotent);
  /// Counts a run for the owner of a slice.
  void RecordOwner(const owned_slice& owned, instant now);
  /// Forgets everything.
  void Clear();

  /// Runs of all requests.
  uint64_t Total() const { return total_; }
  /// Runs beyond the first of requests that are not idempotent.
  uint64_t DoubleExecutions() const { return double_executions_; }
  const std::unordered_map<std::string, execution_count>& CountsById() const {
    return counts_by_id_;
  }
  const std::map<owned_slice, owner_span>& OwnerSpans() const { return owner_spans_; }

 private:
  std::unordered_map<std::string, execution_count> counts_by_id_;
  std::map<owned_slice, owner_span> owner_spans_;
  uint64_t total_ = 0;
  uint64_t double_executions_ = 0;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_EXECUTION_LOG_H
