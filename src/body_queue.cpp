#include "body_queue.h"

#include <algorithm>

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// EWMA weight of a new body: sizes vary several times over, so that it covers the last twenty.
constexpr double kBytesWeight = 0.05;
// No further body is permitted while those under way occupy the link for longer. A small message
// waits behind them for this long, and behind one body at most.
constexpr milliseconds kMaxTransferAhead{50};
// A body that will be late in any case may wait for this share of the time that is left for it:
// under lasting overload a longer wait would make the others late too.
constexpr double kLateWaitShare = 0.25;

}  // namespace

milliseconds body_queue::TransferTime(double bytes) const {
  if (bytes_per_second_ <= 0) return milliseconds{0};
  return duration_cast<milliseconds>(std::chrono::duration<double>(bytes / bytes_per_second_));
}

body_queue::queue_position body_queue::PositionOf(instant now, const body_request& request) const {
  const instant arrival = now + TransferTime(static_cast<double>(request.bytes));
  const bool late = arrival + request.expected_work > request.on_time_until;
  return {late, request.deadline, request.id};
}

std::optional<milliseconds> body_queue::Arrive(instant now, const body_request& request) {
  const auto bytes = static_cast<double>(request.bytes);
  if (usual_bytes_ == 0) usual_bytes_ = bytes;
  usual_bytes_ += kBytesWeight * (bytes - usual_bytes_);
  const queue_position position = PositionOf(now, request);
  double bytes_ahead = under_way_bytes_ + bytes;
  for (auto it = waiting_.begin(); it != waiting_.end() && it->first < position; ++it) {
    bytes_ahead += static_cast<double>(it->second.bytes);
  }
  const milliseconds wait = TransferTime(bytes_ahead);
  const auto on_time_wait =
      duration_cast<milliseconds>(request.on_time_until - now) - request.expected_work;
  const auto spare = duration_cast<milliseconds>(request.deadline - now) - request.expected_work;
  const auto late_wait = duration_cast<milliseconds>(spare * kLateWaitShare);
  if (wait > std::max({on_time_wait, late_wait, milliseconds{0}})) return wait;
  waiting_.emplace(position, request);
  positions_[request.id] = position;
  waiting_bytes_ += bytes;
  return std::nullopt;
}

std::optional<uint64_t> body_queue::PermitNext(instant) {
  if (waiting_.empty()) return std::nullopt;
  if (!under_way_.empty() && bytes_per_second_ > 0 &&
      TransferTime(under_way_bytes_) > kMaxTransferAhead) {
    return std::nullopt;
  }
  const body_request next = waiting_.begin()->second;
  waiting_.erase(waiting_.begin());
  positions_.erase(next.id);
  waiting_bytes_ -= static_cast<double>(next.bytes);
  under_way_[next.id] = next.bytes;
  under_way_bytes_ += static_cast<double>(next.bytes);
  return next.id;
}

void body_queue::Remove(uint64_t id) {
  if (const auto found = positions_.find(id); found != positions_.end()) {
    waiting_bytes_ -= static_cast<double>(waiting_.at(found->second).bytes);
    waiting_.erase(found->second);
    positions_.erase(found);
  }
  if (const auto found = under_way_.find(id); found != under_way_.end()) {
    under_way_bytes_ -= static_cast<double>(found->second);
    under_way_.erase(found);
  }
}

std::vector<uint64_t> body_queue::Expire(instant now) {
  std::vector<uint64_t> expired;
  for (const auto& [position, request] : waiting_) {
    const instant arrival = now + TransferTime(static_cast<double>(request.bytes));
    if (arrival + request.expected_work >= request.deadline) expired.push_back(request.id);
  }
  for (const uint64_t id : expired) Remove(id);
  return expired;
}

milliseconds body_queue::ExpectedWait() const {
  return TransferTime(under_way_bytes_ + waiting_bytes_ + usual_bytes_);
}

}  // namespace bulrushway
