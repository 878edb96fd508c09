#ifndef BULRUSHWAY_REFUSAL_H
#define BULRUSHWAY_REFUSAL_H

// Reasons why a request was not answered by a target. Each reason has one counter and one name in
// the answers to callers. The run state says whether the request may have run.

#include <string_view>

namespace bulrushway {

/// Reason for a refusal. The order is part of the protocol between processes: append only.
enum class refusal_reason {
  kNone = 0,
  kBadRequest,
  kBodyTooLarge,
  kUnknownService,
  kNoConfiguration,
  kHomeRegion,
  kDataCentreOut,
  kNoOwner,
  kNotOwner,
  kOwnerUnreachable,
  kMoving,
  kLeaseLapsed,
  kQueueFull,
  kDeadlineTooShort,
  kTenantShare,
  kColdStart,
  kNoTarget,
  kTargetShed,
  kTargetUnreachable,
  kQuarantined,
  kStopping,
  kDuplicateRunning,
  kOutcomeForgotten,
  kAnswerLost,
  kAnswerCrossed,
  kAnswerTooLarge,
  kDeadlinePassed,
  kCancelled,
  kTargetCrashed,
  kInternal,
  kStaleRules,
  kTargetLimited,
  kNoHomeRelay,
  kOverQuota,
  kCount,
};

/// Whether a refused request may have had an effect.
enum class run_state {
  /// The request was certainly not sent to a target; it may be retried.
  kNotRun,
  /// The request was sent and its answer is lost; it may have run.
  kUnknown,
};

/// Name of the reason in headers, counters and logs, for example "data_centre_out".
std::string_view Name(refusal_reason reason);

/// "not run" or "outcome unknown".
std::string_view Name(run_state state);

}  // namespace bulrushway

#endif  // BULRUSHWAY_REFUSAL_H
