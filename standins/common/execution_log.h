#ifndef BULRUSHWAY_EXECUTION_LOG_H
#define BULRUSHWAY_EXECUTION_LOG_H

// Records the requests that a target stand-in ran, by request and by the epoch of the slice's
// owner. Tests read it to detect requests that ran twice and slices with two concurrent owners.

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "clock.h"

namespace bulrushway::standin {

/// Number of executions of one request.
struct execution_count {
  uint64_t count = 0;
  bool idempotent = false;
};

/// Times of the first and last execution of one slice under one epoch, and their number.
struct owner_span {
  instant first;
  instant last;
  uint64_t count = 0;
};

/// A slice and the epoch under which its owner sent requests.
struct owned_slice {
  std::string service;
  uint64_t slice = 0;
  uint64_t epoch = 0;

  auto operator<=>(const owned_slice&) const = default;
};

/// Log of all executions of a target.
class execution_log {
 public:
  /// Records one execution of a request. `id` is its idempotency key if it has one, otherwise its
  /// request id.
  void RecordExecution(const std::string& id, bool idempotent);
  /// Records one execution on behalf of the owner of a slice.
  void RecordOwner(const owned_slice& owned, instant now);
  /// Discards all records.
  void Clear();

  /// Number of executions of all requests.
  uint64_t Total() const { return total_; }
  /// Number of repeated executions of requests that are not idempotent.
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
