#ifndef BULRUSHWAY_HEDGE_POLICY_H
#define BULRUSHWAY_HEDGE_POLICY_H

// Decides when to hedge: a slow idempotent request gets another attempt at another target. The
// first answer wins. The user of this class cancels the other attempts.

#include <chrono>
#include <cstdint>
#include <optional>

#include "clock.h"
#include "latency_quantile.h"
#include "retry_budget.h"

namespace bulrushway {

/// Parameters of hedging.
struct hedge_settings {
  /// Quantile of recent latencies after which a request is hedged, between 0 and 1.
  double quantile = 0.99;
  /// Maximum share of hedges among requests; the fill rate of the token bucket.
  double hedges_per_request = 0.045;
  /// Capacity of the token bucket, in hedges.
  double burst = 10;
  /// Minimum delay before a hedge.
  std::chrono::nanoseconds min_delay = std::chrono::milliseconds(1);
};

/// Hedging delay, learned from latencies, and hedge budget of one service.
class hedge_policy {
 public:
  explicit hedge_policy(hedge_settings settings);
  hedge_policy() : hedge_policy(hedge_settings{}) {}

  /// Records a caller's request, which adds `hedges_per_request` to the budget.
  void OnRequest() { budget_.OnRequest(); }

  /// Records the latency of an answered request, from its arrival to its answer.
  void OnAnswer(std::chrono::nanoseconds latency, instant now);

  /// Delay from the first attempt to the first call of TakeHedge(), and between further calls. The
  /// call is repeated while the request is unanswered, since the budget may have been empty or the
  /// hedge may be slow too. None for requests that are not idempotent, and while there are too few
  /// latency samples.
  std::optional<std::chrono::nanoseconds> Delay(bool idempotent) const;

  /// Takes a token for a hedge from the hedge budget and from the budget of all extra attempts.
  /// `hedges_sent` is the number of earlier hedges of the request. False: do not send a hedge.
  bool TakeHedge(uint32_t hedges_sent, retry_budget& extra_attempt_budget);

  /// Maximum hedges of one request.
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
