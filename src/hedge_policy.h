#ifndef BULRUSHWAY_HEDGE_POLICY_H
#define BULRUSHWAY_HEDGE_POLICY_H

// Decides when an idempotent request that is late gets a second attempt at another target. The
// first answer wins and the caller of this module cancels the other attempt.

#include <chrono>
#include <cstdint>
#include <optional>

#include "clock.h"
#include "latency_quantile.h"
#include "retry_budget.h"

namespace bulrushway {

/// Parameters of hedging.
struct hedge_settings {
  /// A request is late when it takes longer than this share of recent requests.
  double quantile = 0.99;
  /// Hedges per request, at most.
  double hedges_per_request = 0.045;
  /// Hedges that may be saved up.
  double burst = 10;
  /// Never hedge earlier than this.
  std::chrono::nanoseconds min_delay = std::chrono::milliseconds(1);
};

/// Learned delay and budget of hedges, one for each service.
class hedge_policy {
 public:
  explicit hedge_policy(hedge_settings settings);
  hedge_policy() : hedge_policy(hedge_settings{}) {}

  /// Notes one request of a caller, which earns a share of a hedge.
  void OnRequest() { budget_.OnRequest(); }

  /// Notes the latency of an answered request, from its first attempt to its answer.
  void OnAnswer(std::chrono::nanoseconds latency, instant now);

  /// Time after the first attempt at which to ask `TakeHedge`, and between further questions: the
  /// question is repeated while the request is late, since the budget may have been empty or the
  /// hedge may be late too. None for requests that must not run twice and while too few latencies
  /// are known.
  std::optional<std::chrono::nanoseconds> Delay(bool idempotent) const;

  /// Pays for a hedge of a request that got `hedges` of them before, from the budget of hedges and
  /// from the budget of all extra attempts; false: do not send one now.
  bool TakeHedge(uint32_t hedges_sent, retry_budget& extra_attempt_budget);

  /// Hedges of one request.
  static constexpr uint32_t kMaxHedges = 3;

 private:
  hedge_settings settings_;
  retry_budget budget_;
  latency_quantile latencies_;
  std::optional<std::chrono::nanoseconds> delay_;
  instant delay_updated_at_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HEDGE_POLICY_H
