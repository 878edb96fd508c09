#ifndef BULRUSHWAY_BODY_QUEUE_H
#define BULRUSHWAY_BODY_QUEUE_H

// Decides, at the gate in front of one target, when peers may send the large bodies of requests to
// it. Answers uploads behind a narrow link: peers that send at once fill the queue in front of the
// link of the target's machine for seconds, and small requests that running work waits for are
// stuck behind them. With permits the bodies wait at their senders, no more are under way than
// the link carries in a short time, and a request whose body cannot arrive in time is refused
// before a byte of it was sent.
//
// Bodies that can still be on time are permitted first, by their deadlines.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "clock.h"

namespace bulrushway {

/// A request whose body is at a peer.
struct body_request {
  uint64_t id = 0;
  size_t bytes = 0;
  instant deadline{};
  /// An answer by then meets the latency target.
  instant on_time_until{};
  /// Processing time after the arrival of the body.
  std::chrono::milliseconds expected_work{0};
};

/// Permits for the bodies of requests to one target.
class body_queue {
 public:
  /// `bytes_per_second`: rate of the machine's link for bodies; zero means unknown, and all bodies
  /// are permitted at once.
  explicit body_queue(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  /// Adds a request. Returns the expected time until its body has arrived if that is too late, in
  /// which case the request is not added.
  std::optional<std::chrono::milliseconds> Arrive(instant now, const body_request& request);
  /// Removes the next request whose body may be sent now; nullopt when none waits, or enough bodies
  /// are under way.
  std::optional<uint64_t> PermitNext(instant now);
  /// The body has arrived, or will not come.
  void Remove(uint64_t id);
  /// Removes and returns the waiting requests whose bodies cannot arrive in time any more.
  std::vector<uint64_t> Expire(instant now);

  /// Expected time until a body of usual size that is asked for now would have arrived.
  std::chrono::milliseconds ExpectedWait() const;
  /// Size of the body that PermitNext() would permit; nullopt when none waits.
  std::optional<size_t> NextBytes() const {
    if (waiting_.empty()) return std::nullopt;
    return waiting_.begin()->second.bytes;
  }
  size_t Waiting() const { return waiting_.size(); }
  size_t UnderWay() const { return under_way_.size(); }

 private:
  using queue_position = std::tuple<bool, instant, uint64_t>;

  queue_position PositionOf(instant now, const body_request& request) const;
  std::chrono::milliseconds TransferTime(double bytes) const;

  double bytes_per_second_;
  // EWMA of the bytes of a body; zero before the first one.
  double usual_bytes_ = 0;
  double waiting_bytes_ = 0;
  double under_way_bytes_ = 0;
  std::map<queue_position, body_request> waiting_;
  std::map<uint64_t, queue_position> positions_;
  // Bytes of the permitted bodies that have not arrived.
  std::map<uint64_t, size_t> under_way_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_BODY_QUEUE_H
