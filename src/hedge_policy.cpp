#include "hedge_policy.h"

#include <algorithm>

namespace bulrushway {
namespace {

constexpr std::chrono::seconds kLatencyHalfLife{5};
// Minimum interval between two computations of the quantile.
constexpr std::chrono::milliseconds kDelayRefresh{50};
constexpr double kMinSamples = 20;

}  // namespace

hedge_policy::hedge_policy(hedge_settings settings)
    : settings_(settings),
      budget_(settings.hedges_per_request, settings.burst),
      latencies_(kLatencyHalfLife) {}

void hedge_policy::OnAnswer(std::chrono::nanoseconds latency, instant now) {
  latencies_.Record(latency, now);
  if (latencies_.weight() < kMinSamples) return;
  if (delay_ && now - delay_updated_at_ < kDelayRefresh) return;
  const auto learned = latencies_.Quantile(settings_.quantile);
  if (!learned) return;
  delay_ = std::max(*learned, settings_.min_delay);
  delay_updated_at_ = now;
}

std::optional<std::chrono::nanoseconds> hedge_policy::Delay(bool idempotent) const {
  if (!idempotent) return std::nullopt;
  return delay_;
}

bool hedge_policy::TakeHedge(uint32_t hedges_sent, retry_budget& extra_attempt_budget) {
  if (hedges_sent >= kMaxHedges) return false;
  if (!budget_.CanTake() || !extra_attempt_budget.CanTake()) return false;
  budget_.Take();
  extra_attempt_budget.Take();
  return true;
}

}  // namespace bulrushway
