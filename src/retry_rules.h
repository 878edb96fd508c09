#ifndef BULRUSHWAY_RETRY_RULES_H
#define BULRUSHWAY_RETRY_RULES_H

// Decides what the entry does after a failed attempt: give up, retry at another target at once, or
// retry after a delay. Only the entry retries, never a gate, so that attempts do not multiply over
// the hops. A request that is given up is answered at once with a Retry-After hint.

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
  /// Minimum delay requested by the refusing process; zero if none was requested.
  std::chrono::nanoseconds retry_after{0};
};

/// State of the request at the entry.
struct retry_context {
  /// Running it twice has no further effect.
  bool idempotent = false;
  /// The service is keyed: only the owner of the key may run the request.
  bool sole_owner = false;
  /// Number of attempts so far, at least one.
  uint32_t attempts = 1;
  /// Time at which the caller stops waiting.
  instant deadline{};
  /// Typical latency of an attempt; no attempt is made that would end after the deadline. Zero
  /// means unknown.
  std::chrono::nanoseconds typical_latency{0};
};

/// What to do after a failed attempt.
enum class retry_action {
  kGiveUp,
  /// Choose another target at once.
  kRetryElsewhere,
  /// Wait for `delay`, then look up the owner or choose a target again.
  kRetryLater,
};

/// Result of DecideRetry().
struct retry_decision {
  retry_action action = retry_action::kGiveUp;
  /// Delay before the next attempt.
  std::chrono::nanoseconds delay{0};
  /// Hint for the caller when the request is given up: time after which a new request may succeed.
  /// Zero: no hint, do not retry.
  std::chrono::nanoseconds retry_after{0};
  /// True if only the empty retry budget prevented another attempt.
  bool budget_exhausted = false;
};

/// Decides whether and when to retry. Takes a token from the budget if the next attempt puts load
/// on the targets.
retry_decision DecideRetry(const failed_attempt& failure, const retry_context& context,
                           retry_budget& budget, instant now, std::mt19937_64& rng);

/// Whether a refusal counts as an error of the target, so that later requests avoid it. False if it
/// concerns only the request or its tenant.
bool CountsAgainstTarget(refusal_reason reason);

/// Retry-After hint for a request that is refused with this reason. Zero: no hint, do not retry.
std::chrono::nanoseconds RetryAfterHint(refusal_reason reason);

}  // namespace bulrushway

#endif  // BULRUSHWAY_RETRY_RULES_H
