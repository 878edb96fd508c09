#ifndef BULRUSHWAY_TARGET_LOAD_H
#define BULRUSHWAY_TARGET_LOAD_H

// Bookkeeping of the requests that this process has under way at one target, and of how the last
// ones went. It is the only source of the target views that the pickers read.

#include <chrono>
#include <cstdint>
#include <map>

#include "clock.h"
#include "target_view.h"

namespace bulrushway {

/// Number of one request at one target.
using request_ticket = uint64_t;

/// How a request at a target ended.
enum class request_outcome {
  /// A whole answer came back.
  kAnswered,
  /// The target or the way to it failed.
  kFailed,
  /// The deadline passed or the request was given up while it waited: its age is a lower bound of
  /// its latency.
  kTimedOut,
  /// This process withdrew it for a reason of its own, such as a hedge that was answered first.
  kCancelled,
};

/// Requests in flight, latency and errors of one target, seen from this process.
class target_load {
 public:
  /// Notes that a request was sent and returns its ticket.
  request_ticket Start(instant now);

  /// Notes the end of a request. Unknown tickets are ignored.
  void Finish(request_ticket ticket, request_outcome outcome, instant now);

  /// Requests under way.
  uint32_t in_flight() const { return static_cast<uint32_t>(started_.size()); }

  /// Last time at which an answer arrived.
  instant last_progress() const { return last_progress_; }

  /// Forgets latency and errors, for a target that was restarted.
  void Reset();

  /// Writes the measured fields of `view`; slots, locality and flags stay as they are.
  void WriteTo(target_view& view) const;

 private:
  void RecordLatency(std::chrono::nanoseconds latency);
  void RecordError(bool failed, instant now);

  // Tickets grow, so the first entry is the oldest request.
  std::map<request_ticket, instant> started_;
  request_ticket next_ticket_ = 1;
  std::chrono::nanoseconds latency_{0};
  double error_share_ = 0;
  instant last_finished_{};
  instant last_progress_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_LOAD_H
