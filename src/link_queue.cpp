#include "link_queue.h"

#include <algorithm>

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// EWMA weight of a new answer: sizes differ by a factor of two, so that it covers the last twenty.
constexpr double kBytesWeight = 0.05;
// An answer that misses its latency target in any case may wait for the link for this share of the
// time left after its execution: under lasting overload a longer wait would make the others late
// too.
constexpr double kLateWaitShare = 0.25;

}  // namespace

void link_queue::OnAnswer(size_t bytes) {
  const auto size = static_cast<double>(bytes);
  if (usual_bytes_ == 0) usual_bytes_ = size;
  usual_bytes_ += kBytesWeight * (size - usual_bytes_);
}

milliseconds link_queue::ExpectedWait(milliseconds expected_work, size_t unsent,
                                      size_t under_way) const {
  if (bytes_per_second_ <= 0) return milliseconds{0};
  const double bytes_ahead =
      static_cast<double>(unsent) + static_cast<double>(under_way + 1) * usual_bytes_;
  const std::chrono::duration<double> transfer_time(bytes_ahead / bytes_per_second_);
  // The link sends the queued bytes while this request runs.
  return std::max(duration_cast<milliseconds>(transfer_time) - expected_work, milliseconds{0});
}

std::optional<milliseconds> link_queue::RefusalWait(instant now,
                                                    const large_answer_request& request,
                                                    size_t unsent, size_t under_way) const {
  const milliseconds wait = ExpectedWait(request.expected_work, unsent, under_way);
  const auto on_time_wait =
      duration_cast<milliseconds>(request.on_time_until - now) - request.expected_work;
  const auto spare = duration_cast<milliseconds>(request.deadline - now) - request.expected_work;
  const auto late_wait = duration_cast<milliseconds>(spare * kLateWaitShare);
  if (wait <= std::max({on_time_wait, late_wait, milliseconds{0}})) return std::nullopt;
  return wait;
}

}  // namespace bulrushway
