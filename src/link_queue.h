#ifndef BULRUSHWAY_LINK_QUEUE_H
#define BULRUSHWAY_LINK_QUEUE_H

// Decides, at the gate in front of one target, whether a large answer can still leave through the
// machine's link in time. A target can have slots for more large answers than its link can carry,
// for example the owner of a busy key on a narrow link. Without this check it runs them all, each
// answer queues behind the others for seconds, and none is on time.

#include <chrono>
#include <cstddef>
#include <optional>

#include "clock.h"

namespace bulrushway {

/// Time limits of a request with a large answer.
struct large_answer_request {
  instant deadline{};
  /// An answer by then meets the latency target.
  instant on_time_until{};
  /// Average execution time without the wait.
  std::chrono::milliseconds expected_work{0};
};

/// Estimates the queue of large answers at one link.
class link_queue {
 public:
  /// `bytes_per_second`: rate that the link has for large answers; zero means unknown, and the link
  /// is not limited.
  explicit link_queue(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  /// Records the size of a large answer of the target.
  void OnAnswer(size_t bytes);
  /// EWMA of the bytes of a large answer; zero before the first one.
  double UsualBytes() const { return usual_bytes_; }

  /// Time for which a new answer would wait for the link after its execution, with `unsent` bytes
  /// queued and `under_way` other large answers still to come.
  std::chrono::milliseconds ExpectedWait(std::chrono::milliseconds expected_work, size_t unsent,
                                         size_t under_way) const;

  /// The expected wait for the link when the request must be refused because its answer would leave
  /// too late; nullopt when it is admitted.
  std::optional<std::chrono::milliseconds> RefusalWait(instant now,
                                                       const large_answer_request& request,
                                                       size_t unsent, size_t under_way) const;

 private:
  double bytes_per_second_;
  double usual_bytes_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_LINK_QUEUE_H
