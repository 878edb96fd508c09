#ifndef BULRUSHWAY_LINK_QUEUE_H
#define BULRUSHWAY_LINK_QUEUE_H

// Decides, at the gate in front of one target, whether a large answer would still leave through the
// machine's link in time. It answers the load at which a target has slots for more large answers
// than its link carries: a busy key whose owner has a narrow link. Without it the target runs them
// all, each waits behind the others for seconds, and none is on time.

#include <chrono>
#include <cstddef>
#include <optional>

#include "clock.h"

namespace bulrushway {

/// When a large answer is due.
struct large_answer_request {
  instant deadline{};
  /// Until when an answer is worth most.
  instant on_time_until{};
  /// Usual time of the work itself.
  std::chrono::milliseconds expected_work{0};
};

/// The large answers that leave through one link.
class link_queue {
 public:
  /// `bytes_per_second`: what the link carries of large answers; 0: unknown, taken for ample.
  explicit link_queue(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  /// A large answer of this size came from the target.
  void OnAnswer(size_t bytes);
  /// Usual bytes of a large answer.
  double UsualBytes() const { return usual_bytes_; }

  /// How long a new answer would wait for the link after its work, when `unsent` bytes wait now and
  /// `under_way` others are still to come.
  std::chrono::milliseconds ExpectedWait(std::chrono::milliseconds expected_work, size_t unsent,
                                         size_t under_way) const;

  /// The time until the link has room, if the request is to be refused because its answer would
  /// leave too late.
  std::optional<std::chrono::milliseconds> RefusalWait(instant now,
                                                       const large_answer_request& request,
                                                       size_t unsent, size_t under_way) const;

 private:
  double bytes_per_second_;
  double usual_bytes_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_LINK_QUEUE_H
