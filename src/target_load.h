#ifndef BULRUSHWAY_TARGET_LOAD_H
#define BULRUSHWAY_TARGET_LOAD_H

// Tracks the requests that this process has in flight at one target, and the latency and errors of
// recent ones. It is the only source of the measured fields of the target views that the pickers
// read.

#include <chrono>
#include <cstdint>
#include <map>

#include "clock.h"
#include "target_view.h"

namespace bulrushway {

/// Identifies a request in flight at one target.
using request_ticket = uint64_t;

/// How a request at a target ended.
enum class request_outcome {
  /// A complete answer arrived.
  kAnswered,
  /// The target or the connection to it failed.
  kFailed,
  /// The deadline passed before an answer: the age of the request is a lower bound of its latency.
  kTimedOut,
  /// This process cancelled the request, for example because a hedge was answered first.
  kCancelled,
};

/// Requests in flight, latency and errors of one target, as seen by this process.
class target_load {
 public:
  /// Records that a request was sent and returns its ticket.
  request_ticket Start(instant now);

  /// Records the end of a request. Unknown tickets are ignored.
  void Finish(request_ticket ticket, request_outcome outcome, instant now);

  /// Number of requests in flight.
  uint32_t in_flight() const { return static_cast<uint32_t>(started_.size()); }

  /// Time of the last answer.
  instant last_progress() const { return last_progress_; }

  /// Clears latency and errors after a restart of the target.
  void Reset();

  /// Writes the measured fields of `view`; slots, locality and flags stay as they are.
  void WriteTo(target_view& view) const;

 private:
  void RecordLatency(std::chrono::nanoseconds latency);
  void RecordError(bool failed, instant now);

  // Tickets increase, so the first element is the oldest request.
  std::map<request_ticket, instant> started_;
  request_ticket next_ticket_ = 1;
  std::chrono::nanoseconds latency_{0};
  double error_share_ = 0;
  instant last_finished_{};
  instant last_progress_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_LOAD_H
