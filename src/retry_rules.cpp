#include "retry_rules.h"

#include <algorithm>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Maximum attempts that put load on a target.
constexpr uint32_t kMaxTargetAttempts = 3;
// A request that was running when a target crashed may have caused the crash, so it is retried only
// once.
constexpr uint32_t kMaxAttemptsAfterCrash = 2;
// Maximum attempts while ownership changes; none of them has reached a target. With backoff they
// span more time than the replacement of a failed owner takes, so the deadline is usually the
// limit.
constexpr uint32_t kMaxOwnershipAttempts = 12;

constexpr milliseconds kInitialTargetBackoff{5};
constexpr milliseconds kMaxTargetBackoff{250};
constexpr milliseconds kInitialOwnershipBackoff{10};
constexpr milliseconds kMaxOwnershipBackoff{500};

constexpr milliseconds kShortRetryAfter{100};
constexpr milliseconds kOverloadRetryAfter{1000};
constexpr milliseconds kOutageRetryAfter{2000};

// Classification of refusal reasons by what a retry can achieve.
enum class failure_class {
  // Every target would refuse the request again.
  kPermanent,
  // This process has no configuration yet and cannot route; another process may be able to.
  kNotReady,
  // This target cannot run the request at present; another one may.
  kTarget,
  // Ownership is changing. The request has not reached a target; the owner has to be looked up
  // again.
  kOwnership,
};

failure_class ClassifyRefusal(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNoOwner:
    case refusal_reason::kNotOwner:
    case refusal_reason::kOwnerUnreachable:
    case refusal_reason::kMoving:
    case refusal_reason::kLeaseLapsed:
    case refusal_reason::kNoHomeRelay:
      return failure_class::kOwnership;
    case refusal_reason::kQueueFull:
    case refusal_reason::kTenantShare:
    case refusal_reason::kDeadlineTooShort:
    case refusal_reason::kColdStart:
    case refusal_reason::kDataCentreOut:
    case refusal_reason::kNoTarget:
    case refusal_reason::kTargetShed:
    case refusal_reason::kTargetLimited:
    case refusal_reason::kTargetUnreachable:
    case refusal_reason::kStopping:
    case refusal_reason::kAnswerLost:
    case refusal_reason::kAnswerCrossed:
    case refusal_reason::kTargetCrashed:
      return failure_class::kTarget;
    case refusal_reason::kNoConfiguration:
      return failure_class::kNotReady;
    default:
      return failure_class::kPermanent;
  }
}

uint32_t MaxAttempts(refusal_reason reason, failure_class kind) {
  if (kind == failure_class::kOwnership) return kMaxOwnershipAttempts;
  if (reason == refusal_reason::kTargetCrashed) return kMaxAttemptsAfterCrash;
  return kMaxTargetAttempts;
}

// Exponential backoff with jitter: uniform between half the backoff and the whole.
nanoseconds Backoff(nanoseconds initial, nanoseconds max, uint32_t attempts, std::mt19937_64& rng) {
  const uint32_t doublings = std::min<uint32_t>(attempts - 1, 16);
  const nanoseconds ceiling = std::min(max, initial * (int64_t{1} << doublings));
  std::uniform_int_distribution<int64_t> jitter(ceiling.count() / 2, ceiling.count());
  return nanoseconds(jitter(rng));
}

retry_decision GiveUp(const failed_attempt& failure) {
  retry_decision decision;
  const nanoseconds hint = RetryAfterHint(failure.reason);
  if (hint.count() > 0) decision.retry_after = std::max(hint, failure.retry_after);
  return decision;
}

retry_decision PlanAttempt(const failed_attempt& failure, const retry_context& context,
                           failure_class kind, std::mt19937_64& rng) {
  retry_decision decision;
  if (kind == failure_class::kOwnership) {
    decision.action = retry_action::kRetryLater;
    decision.delay = Backoff(kInitialOwnershipBackoff, kMaxOwnershipBackoff, context.attempts, rng);
    // After the first kNotOwner refusal the owner is looked up again without delay.
    if (failure.reason == refusal_reason::kNotOwner && context.attempts == 1) decision.delay = {};
  } else if (context.sole_owner || context.attempts > 1 ||
             failure.reason == refusal_reason::kNoTarget) {
    decision.action = retry_action::kRetryLater;
    decision.delay = Backoff(kInitialTargetBackoff, kMaxTargetBackoff, context.attempts, rng);
  } else {
    decision.action = retry_action::kRetryElsewhere;
  }
  decision.delay = std::max(decision.delay, failure.retry_after);
  return decision;
}

}  // namespace

bool CountsAgainstTarget(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kTenantShare:
    case refusal_reason::kDeadlineTooShort:
    case refusal_reason::kTargetLimited:
      return false;
    case refusal_reason::kDeadlinePassed:
    case refusal_reason::kInternal:
      return true;
    default:
      return ClassifyRefusal(reason) == failure_class::kTarget ||
             ClassifyRefusal(reason) == failure_class::kOwnership;
  }
}

nanoseconds RetryAfterHint(refusal_reason reason) {
  switch (ClassifyRefusal(reason)) {
    case failure_class::kOwnership:
      return kShortRetryAfter;
    case failure_class::kNotReady:
      return kOverloadRetryAfter;
    case failure_class::kTarget:
      return reason == refusal_reason::kNoTarget ? kOutageRetryAfter : kOverloadRetryAfter;
    case failure_class::kPermanent:
      break;
  }
  if (reason == refusal_reason::kDuplicateRunning) return kShortRetryAfter;
  return nanoseconds(0);
}

retry_decision DecideRetry(const failed_attempt& failure, const retry_context& context,
                           retry_budget& budget, instant now, std::mt19937_64& rng) {
  const bool safe_to_retry = context.idempotent || failure.state == run_state::kNotRun;
  const failure_class kind = ClassifyRefusal(failure.reason);
  if (!safe_to_retry || kind == failure_class::kPermanent || kind == failure_class::kNotReady)
    return GiveUp(failure);
  if (context.attempts >= MaxAttempts(failure.reason, kind)) return GiveUp(failure);
  const retry_decision planned = PlanAttempt(failure, context, kind, rng);
  if (now + planned.delay + context.typical_latency >= context.deadline) return GiveUp(failure);
  if (kind == failure_class::kOwnership && failure.state == run_state::kNotRun) return planned;
  if (budget.Take()) return planned;
  retry_decision refused = GiveUp(failure);
  refused.budget_exhausted = true;
  return refused;
}

}  // namespace bulrushway
