#ifndef BULRUSHWAY_CALL_GRANTS_H
#define BULRUSHWAY_CALL_GRANTS_H

// Grants by calls to a target: when to grant and renew which range, what the target holds for
// certain, and what it may still come to hold. Answers the loads at which targets are slow to
// answer, leave calls unanswered and carry them out seconds later, or restart in between.
//
// A fencing token is sent in one session of the target only: while a connection to it is open, it
// is certainly the same incarnation. In another session the keys need a new token.
//
// A key is relied on only after the target has answered its grant, and for no longer than the hold
// measured from the sending of the call. The target may hold it for as long as the hold measured
// from the latest possible arrival: the answer, or the time limit of a call without an answer.

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "grant_delivery.h"

namespace bulrushway {

class call_grants {
 public:
  /// `started`: start of the process. Grants of the node's previous process may still run, or take
  /// effect.
  call_grants(const grant_limits& limits, instant started)
      : limits_(limits), inherited_until_(started + LongestHold(limits, limits.max_hold)) {}

  /// Returns the grants to send now. Keys outside `permitted` are not relied on from now on. The
  /// outcome of each call must be reported.
  std::vector<grant_call> DueGrants(instant now, const target_incarnation& target,
                                    const std::vector<granted_range>& permitted,
                                    std::chrono::milliseconds lease_left);
  /// Returns the release to send. Its outcome need not be reported here.
  grant_call Release(const target_incarnation& target, const key_range& keys, uint64_t fence);
  void OnOutcome(instant now, const grant_call& call, const grant_call_outcome& outcome);
  /// The target identified itself.
  void OnHeartbeat() { identified_ = true; }
  /// The target may have ended. Nothing is granted until the next heartbeat.
  void OnConnectionLost() { identified_ = false; }
  /// An earlier process of this node may have sent the fences below this one to any incarnation.
  void OnFencesInherited(uint64_t end) { inherited_fences_end_ = end; }
  /// Drops what is known of fences that are not among `assigned`, which is sorted.
  void ForgetFencesExcept(const std::vector<uint64_t>& assigned);

  /// Whether the target may be sent calls.
  bool Identified() const { return identified_; }
  /// Whether a grant of some of the keys awaits its answer.
  bool InFlight(const key_range& keys) const;
  /// Whether the target may be another incarnation than the one that has seen this fence. A
  /// heartbeat cannot rule that out, since it may have been sent before a restart. The keys are
  /// granted again under a new fence.
  bool MayBelongToOther(uint64_t fence) const;
  /// Whether the target refused a grant under this fence, since it has seen a higher one.
  bool HigherFenceSeen(uint64_t fence) const;

  const granted_range* Find(instant now, uint32_t key) const;
  instant LatestEnd(const key_range& keys) const;
  instant LatestLateEnd(const key_range& keys) const;
  void OnNotHeld(instant now, uint32_t key);
  /// Grants that the new incarnation took before it identified itself go on, and others cannot be
  /// told from these.
  void OnIncarnationEnded();
  void OnTargetDown() { parts_.clear(); }
  /// No incarnation that was reached before the instant still runs.
  void OnEndedBefore(instant ended);

 private:
  // A range that the target may be granted.
  struct part {
    granted_range range;
    instant relied_until{};
    instant not_held_until{};
    instant next_attempt{};
    bool in_flight = false;
    bool higher_fence_seen = false;
  };
  // A call that may give keys to the target until an instant.
  struct possible_hold {
    uint64_t call = 0;
    key_range keys;
    instant sent{};
    instant until{};
    // When the outcome was known.
    instant settled{};
    bool answered = false;
    bool in_flight = true;
  };

  void SetPermitted(const std::vector<granted_range>& permitted);
  part* FindPart(const granted_range& range);
  void RecordSession(const grant_call& call, const grant_call_outcome& outcome);

  grant_limits limits_;
  // Latest end of the grants of the node's previous process.
  instant inherited_until_;
  instant ended_before_{};
  // The incarnation that grants are for.
  target_incarnation target_;
  bool identified_ = false;
  uint64_t inherited_fences_end_ = 0;
  uint64_t latest_session_ = 0;
  // By fence: the session in which it was sent to the target.
  std::map<uint64_t, uint64_t> sessions_;
  // Fences sent for the first time, in a session that is not known until the outcome.
  std::set<uint64_t> first_calls_;
  uint64_t next_call_ = 1;
  std::vector<part> parts_;
  std::vector<possible_hold> possible_;
};

static_assert(grant_delivery<call_grants>);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CALL_GRANTS_H
