#include "concurrency_cap.h"

#include <algorithm>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A round consists of this many answers per unit of the cap. The cap is adjusted once per round.
constexpr uint32_t kAnswersPerRound = 4;
// A round whose mean latency exceeds the reference by this factor does not raise the cap.
constexpr double kHoldFactor = 1.5;
// A round whose mean latency exceeds the reference by this factor halves the cap.
constexpr double kHalveFactor = 3;
// EWMA weight with which the reference follows slower rounds, so that an outdated minimum does not
// hold the cap down forever.
constexpr double kReferenceRiseWeight = 0.05;
// After this long without an answer, the next latency shows whether the target is still warm: one
// above the reference by the factor below means that it is cold.
constexpr milliseconds kIdleThreshold{1000};
constexpr double kColdLatencyFactor = 4;
// Warming up takes time as well as requests, so the cap of a cold target rises by at most one per
// interval.
constexpr milliseconds kColdRaiseInterval{200};
constexpr milliseconds kAboveCeilingRaiseInterval{1000};
// Consecutive timeouts, without an answer in between, that halve the cap.
constexpr uint32_t kTimeoutsBeforeHalving = 3;
// Signs of overload within this time after halving have the same cause and are ignored.
constexpr milliseconds kHalveCooldown{20};

double Ratio(nanoseconds value, nanoseconds reference) {
  return std::chrono::duration<double>(value) / std::chrono::duration<double>(reference);
}

}  // namespace

bool concurrency_cap::LooksColdAfterIdle(nanoseconds latency, instant now) const {
  if (reference_latency_.count() == 0) return false;
  if (now - latency - last_answer_at_ < kIdleThreshold) return false;
  return Ratio(latency, reference_latency_) > kColdLatencyFactor;
}

void concurrency_cap::OnAnswer(nanoseconds latency, uint32_t in_flight, instant now) {
  if (raised_at_ == instant{}) raised_at_ = now;
  if (LooksColdAfterIdle(latency, now)) StartCold(now);
  last_answer_at_ = now;
  consecutive_timeouts_ = 0;
  round_latency_sum_ += latency;
  ++round_answers_;
  round_used_limit_ = round_used_limit_ || in_flight >= limit_;
  if (round_answers_ >= kAnswersPerRound * limit_) FinishRound(now);
}

void concurrency_cap::FinishRound(instant now) {
  const nanoseconds mean = round_latency_sum_ / round_answers_;
  const bool used_limit = round_used_limit_;
  round_latency_sum_ = nanoseconds(0);
  round_answers_ = 0;
  round_used_limit_ = false;
  if (reference_latency_.count() <= 0) reference_latency_ = std::max(mean, nanoseconds(1));
  const double ratio = Ratio(mean, reference_latency_);
  if (mean < reference_latency_) {
    reference_latency_ = mean;
  } else {
    const double step =
        kReferenceRiseWeight * static_cast<double>((mean - reference_latency_).count());
    reference_latency_ += nanoseconds(static_cast<int64_t>(step));
  }
  if (ratio > kHalveFactor) return Halve(now);
  if (ratio <= kHoldFactor && used_limit) Raise(now);
}

void concurrency_cap::Raise(instant now) {
  if (limit_ >= settings_.slots) return;
  const nanoseconds interval = limit_ >= ceiling_ ? kAboveCeilingRaiseInterval : kColdRaiseInterval;
  const bool rate_limited = cold_ || limit_ >= ceiling_;
  if (rate_limited && now - raised_at_ < interval) return;
  ++limit_;
  raised_at_ = now;
  ceiling_ = std::max(ceiling_, limit_);
  if (limit_ == settings_.slots) cold_ = false;
}

void concurrency_cap::Halve(instant now) {
  if (now - lowered_at_ < kHalveCooldown) return;
  ceiling_ = std::max<uint32_t>(1, limit_ - 1);
  limit_ = std::max<uint32_t>(1, limit_ / 2);
  lowered_at_ = now;
  raised_at_ = now;
  round_latency_sum_ = nanoseconds(0);
  round_answers_ = 0;
}

void concurrency_cap::StartCold(instant now) {
  limit_ = std::min(limit_, settings_.cold_start_limit);
  ceiling_ = settings_.slots;
  cold_ = true;
  lowered_at_ = now;
  raised_at_ = now;
  reference_latency_ = nanoseconds(0);
  round_latency_sum_ = nanoseconds(0);
  round_answers_ = 0;
  round_used_limit_ = false;
}

void concurrency_cap::OnShed(instant now) { Halve(now); }

void concurrency_cap::OnFailure(instant now) { Halve(now); }

void concurrency_cap::OnTimeout(nanoseconds waited, instant now) {
  const bool wait_too_short =
      reference_latency_.count() > 0 && Ratio(waited, reference_latency_) <= kHalveFactor;
  if (wait_too_short || ++consecutive_timeouts_ < kTimeoutsBeforeHalving) return;
  Halve(now);
}

void concurrency_cap::OnConnectionLost(instant now) { StartCold(now); }

void concurrency_cap::OnBootId(std::string_view boot_id, instant now) {
  if (boot_id.empty() || boot_id == boot_id_) return;
  const bool first = boot_id_.empty();
  boot_id_ = boot_id;
  if (!first) StartCold(now);
}

}  // namespace bulrushway
