#include "target_load.h"

#include <algorithm>

namespace bulrushway {
namespace {

// EWMA weights of a new sample. A latency above the average gets a larger weight, so that a slow
// target shows within a few answers and recovers gradually.
constexpr double kRisingWeight = 0.3;
constexpr double kFallingWeight = 0.1;
constexpr double kErrorWeight = 0.2;

}  // namespace

request_ticket target_load::Start(instant now) {
  const request_ticket ticket = next_ticket_++;
  started_.emplace(ticket, now);
  return ticket;
}

void target_load::Finish(request_ticket ticket, request_outcome outcome, instant now) {
  const auto found = started_.find(ticket);
  if (found == started_.end()) return;
  const std::chrono::nanoseconds age = now - found->second;
  started_.erase(found);
  switch (outcome) {
    case request_outcome::kAnswered:
      last_progress_ = now;
      RecordLatency(age);
      RecordError(false, now);
      break;
    case request_outcome::kFailed:
      // A failure does not update the latency: a target that fails fast must not look fast.
      RecordError(true, now);
      break;
    case request_outcome::kTimedOut:
      RecordLatency(std::max(age, latency_));
      RecordError(true, now);
      break;
    case request_outcome::kCancelled:
      // The age is a lower bound of the latency, so it is recorded only if it exceeds the average.
      if (age > latency_) RecordLatency(age);
      last_finished_ = now;
      break;
  }
}

void target_load::RecordLatency(std::chrono::nanoseconds latency) {
  if (latency_.count() == 0) {
    latency_ = latency;
    return;
  }
  const double weight = latency > latency_ ? kRisingWeight : kFallingWeight;
  const double step = weight * static_cast<double>((latency - latency_).count());
  latency_ += std::chrono::nanoseconds(static_cast<int64_t>(step));
}

void target_load::RecordError(bool failed, instant now) {
  const double sample = failed ? 1.0 : 0.0;
  error_share_ += kErrorWeight * (sample - error_share_);
  last_finished_ = now;
}

void target_load::Reset() {
  latency_ = std::chrono::nanoseconds(0);
  error_share_ = 0;
}

void target_load::WriteTo(target_view& view) const {
  view.in_flight = in_flight();
  view.oldest_start.reset();
  if (!started_.empty()) view.oldest_start = started_.begin()->second;
  view.latency = latency_;
  view.last_finished = last_finished_;
  view.error_share = error_share_;
}

}  // namespace bulrushway
