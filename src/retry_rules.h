#ifndef BULRUSHWAY_RETRY_RULES_H
#define BULRUSHWAY_RETRY_RULES_H

// What the entry does after an attempt failed: give up, try another target, or try again a little
// later. Only the entry retries; a gate never does, so that the attempts of the hops do not
// multiply. A request that is given up is answered at once with a hint when to come back.

#include <chrono>
#include <cstdint>
#include <random>

#include "clock.h"
#include "refusal.h"
#include "retry_budget.h"

namespace bulrushway {

/// A failed attempt.
struct failed_attempt {
  refusal_reason reason = refusal_reason::kNone;
  run_state state = run_state::kUnknown;
  /// Wait asked for by the refusing process; zero when it asked for none.
  std::chrono::nanoseconds retry_after{0};
};

/// What the entry knows of the request.
struct retry_context {
  /// Running it twice has no further effect.
  bool idempotent = false;
  /// Keyed service: there is only one target that may run it.
  bool sole_owner = false;
  /// Attempts so far, at least one.
  uint32_t attempts = 1;
  /// When the caller stops waiting.
  instant deadline{};
  /// Time that an attempt usually takes; an attempt that cannot end in time is not made.
  std::chrono::nanoseconds typical_latency{0};
};

/// What to do after a failed attempt.
enum class retry_action {
  kGiveUp,
  /// Choose another target at once.
  kRetryElsewhere,
  /// Wait `delay`, look up the owner or choose a target again.
  kRetryLater,
};

/// The decision with its times.
struct retry_decision {
  retry_action action = retry_action::kGiveUp;
  /// Wait before the next attempt.
  std::chrono::nanoseconds delay{0};
  /// For the caller of a request that was given up: when a new attempt may succeed. Zero: never.
  std::chrono::nanoseconds retry_after{0};
  /// True if the only obstacle was the budget; counted apart.
  bool budget_exhausted = false;
};

/// Decides, and takes the attempt from the budget if one is made that costs the targets work.
retry_decision DecideRetry(const failed_attempt& failure, const retry_context& context,
                           retry_budget& budget, instant now, std::mt19937_64& rng);

/// Whether a refusal says something about the target, so that the next requests avoid it, and not
/// only about the request or its tenant.
bool CountsAgainstTarget(refusal_reason reason);

/// Hint for the caller of a request that is refused with this reason. Zero: do not come back.
std::chrono::nanoseconds RetryAfterHint(refusal_reason reason);

}  // namespace bulrushway

#endif  // BULRUSHWAY_RETRY_RULES_H
