#include "call_grants.h"

#include <algorithm>
#include <utility>

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A target on the same machine answers a grant within a few milliseconds.
constexpr milliseconds kGrantTimeout{400};
// A release is answered when the work on the keys has ended. One that was lost is sent again.
constexpr milliseconds kReleaseTimeout{1000};
// The process stops relying on a grant this long before the end, for requests in transit.
constexpr milliseconds kReliedMargin{20};
// A grant is renewed when less than this share of the longest hold is left, which leaves time for
// several attempts.
constexpr double kRenewalShare = 0.5;
// Minimum time between two attempts for the same range.
constexpr milliseconds kRetryDelay{50};
// Minimum time between two renewals: while the lease runs out, a renewal gains little.
constexpr milliseconds kMinRenewalInterval{500};
// Delay after a target refused a key as not held, or had seen a higher fencing token.
constexpr milliseconds kNotHeldBackoff{100};
constexpr milliseconds kHigherFenceBackoff{500};

}  // namespace

void call_grants::SetPermitted(const std::vector<granted_range>& permitted) {
  std::vector<part> parts;
  for (const granted_range& range : permitted) {
    part next{.range = range};
    for (const part& known : parts_) {
      const key_range& known_keys = known.range.keys;
      const bool covered =
          known_keys.Contains(range.keys.first) && known_keys.Contains(range.keys.last);
      if (!covered) continue;
      if (known.range.fence != range.fence) {
        // Under a new fence, the target holds the keys until the earlier grant ends.
        next.relied_until = known.relied_until;
        next.not_held_until = known.not_held_until;
        continue;
      }
      // The rest of a range of which a part is released stays granted.
      const bool same = known.range.keys == range.keys;
      next = known;
      next.range = range;
      if (!same) next.in_flight = false;
    }
    parts.push_back(std::move(next));
  }
  parts_ = std::move(parts);
}

std::vector<grant_call> call_grants::DueGrants(instant now, const target_incarnation& target,
                                               const std::vector<granted_range>& permitted,
                                               milliseconds lease_left) {
  target_ = target;
  SetPermitted(permitted);
  std::erase_if(possible_,
                [now](const possible_hold& hold) { return !hold.in_flight && now >= hold.until; });
  std::vector<grant_call> due;
  // The hold starts when the call arrives, and must end with the lease however late that is.
  const auto lease_hold =
      duration_cast<milliseconds>((lease_left - kGrantTimeout) / (1 + limits_.max_clock_slowness));
  const milliseconds hold = std::min(limits_.max_hold, lease_hold);
  if (!identified_ || hold <= 2 * kReliedMargin) return due;
  const auto renewal = duration_cast<milliseconds>(limits_.max_hold * kRenewalShare);
  for (part& each : parts_) {
    const bool fresh = each.relied_until - now > renewal;
    if (each.in_flight || now < each.next_attempt || fresh) continue;
    if (now + hold <= each.relied_until) continue;
    const uint64_t fence = each.range.fence;
    if (MayBelongToOther(fence) || first_calls_.contains(fence)) continue;
    grant_call call;
    call.id = next_call_++;
    call.target = target;
    call.range = each.range;
    call.hold = hold;
    call.timeout = kGrantTimeout;
    if (const auto sent = sessions_.find(fence); sent != sessions_.end()) {
      call.session = sent->second;
    } else {
      first_calls_.insert(fence);
    }
    each.in_flight = true;
    const instant latest_end = now + kGrantTimeout + LongestHold(limits_, hold);
    possible_.push_back(
        {.call = call.id, .keys = each.range.keys, .sent = now, .until = latest_end});
    due.push_back(std::move(call));
  }
  return due;
}

grant_call call_grants::Release(const target_incarnation& target, const key_range& keys,
                                uint64_t fence) {
  grant_call call;
  call.type = grant_call::kind::kRelease;
  call.id = next_call_++;
  call.target = target;
  call.range = {keys, fence, {}};
  call.timeout = kReleaseTimeout;
  return call;
}

call_grants::part* call_grants::FindPart(const granted_range& range) {
  const auto found = std::find_if(parts_.begin(), parts_.end(), [&range](const part& each) {
    return each.range.keys == range.keys && each.range.fence == range.fence;
  });
  return found == parts_.end() ? nullptr : &*found;
}

void call_grants::OnOutcome(instant now, const grant_call& call,
                            const grant_call_outcome& outcome) {
  if (outcome.connection_lost && call.target == target_) OnConnectionLost();
  if (call.type == grant_call::kind::kGrant) RecordSession(call, outcome);
  const auto hold =
      std::find_if(possible_.begin(), possible_.end(),
                   [&call](const possible_hold& each) { return each.call == call.id; });
  // The grant has ended, or the incarnation that received it.
  if (hold == possible_.end()) return;
  const bool done = outcome.result == grant_call_result::kDone;
  const instant sent = hold->sent;
  hold->in_flight = false;
  hold->settled = now;
  hold->answered = done;
  if (done) hold->until = now + LongestHold(limits_, call.hold);
  const bool not_done = outcome.result == grant_call_result::kHigherFence ||
                        outcome.result == grant_call_result::kNotDone;
  if (not_done) possible_.erase(hold);

  part* granted = FindPart(call.range);
  if (granted == nullptr || !granted->in_flight) return;
  granted->in_flight = false;
  granted->next_attempt = now + (done ? kMinRenewalInterval : kRetryDelay);
  if (done) {
    granted->relied_until = sent + call.hold - kReliedMargin;
    granted->not_held_until = {};
  }
  granted->higher_fence_seen = outcome.result == grant_call_result::kHigherFence;
  if (granted->higher_fence_seen) {
    granted->relied_until = {};
    granted->next_attempt = now + kHigherFenceBackoff;
  }
}

void call_grants::RecordSession(const grant_call& call, const grant_call_outcome& outcome) {
  latest_session_ = std::max(latest_session_, outcome.session);
  if (call.session != 0) return;
  first_calls_.erase(call.range.fence);
  if (outcome.session != 0) sessions_[call.range.fence] = outcome.session;
}

void call_grants::ForgetFencesExcept(const std::vector<uint64_t>& assigned) {
  std::erase_if(sessions_, [&assigned](const auto& sent) {
    return !std::binary_search(assigned.begin(), assigned.end(), sent.first);
  });
}

bool call_grants::MayBelongToOther(uint64_t fence) const {
  const auto sent = sessions_.find(fence);
  if (sent != sessions_.end()) return sent->second < latest_session_;
  return fence < inherited_fences_end_;
}

bool call_grants::InFlight(const key_range& keys) const {
  return std::any_of(possible_.begin(), possible_.end(), [&keys](const possible_hold& hold) {
    return hold.in_flight && hold.keys.Overlaps(keys);
  });
}

bool call_grants::HigherFenceSeen(uint64_t fence) const {
  return std::any_of(parts_.begin(), parts_.end(), [fence](const part& each) {
    return each.range.fence == fence && each.higher_fence_seen;
  });
}

const granted_range* call_grants::Find(instant now, uint32_t key) const {
  for (const part& each : parts_) {
    if (!each.range.keys.Contains(key)) continue;
    return now < each.relied_until && now >= each.not_held_until ? &each.range : nullptr;
  }
  return nullptr;
}

instant call_grants::LatestEnd(const key_range& keys) const {
  instant latest = inherited_until_;
  for (const possible_hold& hold : possible_) {
    if (hold.keys.Overlaps(keys)) latest = std::max(latest, hold.until);
  }
  return latest;
}

instant call_grants::LatestLateEnd(const key_range& keys) const {
  instant latest = inherited_until_;
  for (const possible_hold& hold : possible_) {
    if (!hold.answered && hold.keys.Overlaps(keys)) latest = std::max(latest, hold.until);
  }
  return latest;
}

void call_grants::OnNotHeld(instant now, uint32_t key) {
  for (part& each : parts_) {
    if (!each.range.keys.Contains(key) || now < each.not_held_until) continue;
    each.not_held_until = now + kNotHeldBackoff;
    // The target has dropped the grant, so that it is granted again.
    each.relied_until = {};
    each.next_attempt = now;
  }
}

void call_grants::OnIncarnationEnded() {
  target_ = {};
  parts_.clear();
  identified_ = false;
}

void call_grants::OnEndedBefore(instant ended) {
  if (ended <= ended_before_) return;
  ended_before_ = ended;
  inherited_until_ = {};
  // A call in flight may reach a later incarnation.
  std::erase_if(possible_, [ended](const possible_hold& hold) {
    return !hold.in_flight && hold.settled <= ended;
  });
}

}  // namespace bulrushway
