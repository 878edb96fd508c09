#include "range_controller.h"

#include <algorithm>
#include <utility>

#include "handover.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The lease must last this long beyond the start of a grant that answers a heartbeat.
constexpr milliseconds kMinLeaseLeft{250};
// Delay before a release that was not answered is sent again.
constexpr milliseconds kReleaseRetryDelay{100};

std::variant<heartbeat_grants, call_grants> MakeGrants(const range_controller_settings& settings,
                                                       instant started) {
  if (settings.delivery == grant_delivery_kind::kCall) {
    return call_grants(settings.grants, started);
  }
  return heartbeat_grants(settings.grants, started);
}

}  // namespace

range_controller::range_controller(const range_controller_settings& settings, instant started)
    : settings_(settings), grants_(MakeGrants(settings, started)) {}

void range_controller::OnMap(instant read_started, key_map map, uint64_t version) {
  reading_ = false;
  if (map_known_ && version < map_version_) return;
  map_ = std::move(map);
  unusable_handovers_ += ClearUnusableHandovers(map_);
  map_version_ = version;
  OnMapRead(read_started, EraOf(version));
}

void range_controller::OnNoMap(instant read_started, uint64_t era) {
  reading_ = false;
  if (map_known_ && era < map_era_) return;
  // The answer was overtaken by a change.
  if (map_version_ != 0 && era == map_era_) return;
  map_ = {};
  map_version_ = 0;
  OnMapRead(read_started, era);
}

void range_controller::OnReadFailed(instant now) {
  reading_ = false;
  next_read_ = now + read_backoff_.OnFailure();
}

void range_controller::OnMapRead(instant read_started, uint64_t era) {
  read_backoff_.OnSuccess();
  map_known_ = true;
  map_era_ = era;
  if (map_stale_since_ && read_started >= *map_stale_since_) map_stale_since_.reset();
  map_read_at_ = std::max(map_read_at_, read_started);
  DropFinishedReleases();
  ReportAssignedFences();
}

void range_controller::ReportAssignedFences() {
  call_grants* calls = ByCall();
  if (calls == nullptr) return;
  std::vector<uint64_t> assigned;
  for (const owned_range& range : map_.ranges) {
    if (range.owner.node == settings_.node) assigned.push_back(range.fence);
  }
  std::sort(assigned.begin(), assigned.end());
  calls->ForgetFencesExcept(assigned);
  // An earlier process cannot grant what was assigned after this one had acquired the lease.
  const bool lease_acquired = map_required_since_ != instant{};
  if (inherited_fences_known_ || !lease_acquired || !MapIsFresh()) return;
  inherited_fences_known_ = true;
  calls->OnFencesInherited(map_.next_fence);
}

void range_controller::DropFinishedReleases() {
  std::erase_if(pending_releases_, [this](const pending_release& pending) {
    const owned_range* range = map_.Find(pending.keys.first);
    return range == nullptr || range->owner != Self();
  });
}

void range_controller::OnLeaseAcquired(instant now) { map_required_since_ = now; }

void range_controller::OnLeases(instant now, std::vector<observed_lease> leases,
                                store_time store_now) {
  reading_ = false;
  leases_.clear();
  for (observed_lease& lease : leases) {
    const std::string node = lease.record.node;
    leases_.insert_or_assign(node, std::move(lease));
  }
  read_backoff_.OnSuccess();
  leases_store_time_ = store_now;
  leases_read_at_ = now;
  leases_known_ = true;
}

void range_controller::OnChanged(instant now, result<uint64_t> outcome) {
  changing_ = false;
  leases_known_ = false;
  if (!outcome) {
    // Another process changed the map, or the outcome of this change is unknown.
    map_stale_since_ = now;
    return;
  }
  // The change feed may deliver a later map before this answer.
  if (*outcome < map_version_) return;
  map_ = change_.map;
  map_version_ = *outcome;
  map_era_ = EraOf(*outcome);
  DropFinishedReleases();
  ReportAssignedFences();
}

void range_controller::SetTarget(instant, target_condition condition,
                                 const target_incarnation& incarnation, instant ended_before) {
  if (incarnation != incarnation_) {
    WithGrants([](auto& grants) { grants.OnIncarnationEnded(); });
    pending_releases_.clear();
    incarnation_ = incarnation;
  }
  if (call_grants* calls = ByCall()) calls->OnEndedBefore(ended_before);
  condition_ = condition;
  if (condition == target_condition::kDown) {
    WithGrants([](auto& grants) { grants.OnTargetDown(); });
    pending_releases_.clear();
  }
}

bool range_controller::IsReleasing(const key_range& keys) const {
  return std::any_of(
      pending_releases_.begin(), pending_releases_.end(),
      [&keys](const pending_release& pending) { return pending.keys.Overlaps(keys); });
}

void range_controller::RecordReassignedKeys() {
  if (reassigned_at_version_ != map_version_) reassigned_keys_.clear();
  reassigned_at_version_ = map_version_;
  for (const owned_range& range : change_.map.ranges) {
    if (range.fence < map_.next_fence || range.owner.node == settings_.node) continue;
    const owned_range* previous = map_.Find(range.keys.first);
    if (previous != nullptr && previous->owner.node == settings_.node) {
      reassigned_keys_.push_back(range.keys);
    }
  }
}

bool range_controller::MayBeReassigned(const key_range& keys) const {
  return reassigned_at_version_ == map_version_ &&
         std::any_of(reassigned_keys_.begin(), reassigned_keys_.end(),
                     [&keys](const key_range& reassigned) { return reassigned.Overlaps(keys); });
}

void range_controller::RecordReleased(const target_heartbeat& heartbeat) {
  for (pending_release& pending : pending_releases_) {
    for (const released_range& released : heartbeat.released) {
      if (!released.keys.Overlaps(pending.keys)) continue;
      TakeHandover(pending, released.handover);
      pending.released = true;
    }
    // The heartbeat may have been sent before the target learned that it has to release the keys.
    const bool still_held =
        std::any_of(heartbeat.held.begin(), heartbeat.held.end(),
                    [&](const held_range& held) { return held.keys.Overlaps(pending.keys); });
    if (still_held) pending.released = false;
  }
}

void range_controller::TakeHandover(pending_release& pending, const std::string& handover) {
  if (!pending.handover.empty()) return;
  if (IsUsableHandover(handover)) {
    pending.handover = handover;
  } else {
    ++unusable_handovers_;
  }
}

std::vector<granted_range> range_controller::PermittedRanges() const {
  std::vector<granted_range> permitted;
  for (const owned_range& range : map_.ranges) {
    if (range.owner != Self() || !IsOfPresentEra(range)) continue;
    uint32_t first = range.keys.first;
    const auto permit_part = [&](uint32_t from, uint32_t to) {
      permitted.push_back({{from, to}, range.fence, range.handover});
    };
    std::vector<key_range> excluded;
    for (const pending_release& pending : pending_releases_) {
      if (pending.keys.Overlaps(range.keys)) excluded.push_back(pending.keys);
    }
    if (MayBeReassigned(range.keys)) {
      for (const key_range& keys : reassigned_keys_) {
        if (keys.Overlaps(range.keys)) excluded.push_back(keys);
      }
    }
    std::sort(excluded.begin(), excluded.end());
    for (const key_range& hole : excluded) {
      if (hole.first > first) permit_part(first, hole.first - 1);
      first = std::max(first, hole.last + 1);
    }
    if (first <= range.keys.last) permit_part(first, range.keys.last);
  }
  return permitted;
}

std::optional<target_grant> range_controller::OnHeartbeat(instant now,
                                                          const target_heartbeat& heartbeat,
                                                          milliseconds lease_left) {
  if (heartbeat.incarnation != incarnation_) return std::nullopt;
  if (call_grants* calls = ByCall()) {
    calls->OnHeartbeat();
    return std::nullopt;
  }
  RecordReleased(heartbeat);
  // Without a grant, the target keeps what it holds until the present grant ends.
  if (lease_left <= kMinLeaseLeft || !MapIsFresh() || HasClaim(now)) return std::nullopt;
  target_grant grant;
  const auto lease_hold =
      duration_cast<milliseconds>(lease_left / (1 + settings_.grants.max_clock_slowness));
  grant.hold = std::min(settings_.grants.max_hold, lease_hold);
  grant.ranges = PermittedRanges();
  std::get<heartbeat_grants>(grants_).OnGranted(now, grant);
  return grant;
}

std::vector<grant_call> range_controller::NextCalls(instant now, milliseconds lease_left) {
  call_grants* calls = ByCall();
  const bool reachable =
      condition_ == target_condition::kReady || condition_ == target_condition::kLeaving;
  if (calls == nullptr || !reachable || map_era_ < era_.era() || HasClaim(now)) return {};
  std::vector<granted_range> permitted;
  if (MapIsFresh()) permitted = PermittedRanges();
  std::vector<grant_call> due = calls->DueGrants(now, incarnation_, permitted, lease_left);
  if (!calls->Identified()) return due;
  for (pending_release& pending : pending_releases_) {
    // A grant in flight might reach the target after the release.
    const bool wait = pending.released || pending.call_in_flight || now < pending.next_call ||
                      calls->InFlight(pending.keys);
    if (wait) continue;
    pending.call_in_flight = true;
    due.push_back(calls->Release(incarnation_, pending.keys, pending.fence));
  }
  return due;
}

void range_controller::OnCallOutcome(instant now, const grant_call& call,
                                     const grant_call_outcome& outcome) {
  call_grants* calls = ByCall();
  if (calls == nullptr) return;
  calls->OnOutcome(now, call, outcome);
  if (call.target != incarnation_ || call.type != grant_call::kind::kRelease) return;
  for (pending_release& pending : pending_releases_) {
    if (pending.keys != call.range.keys || pending.fence != call.range.fence) continue;
    pending.call_in_flight = false;
    pending.next_call = now + kReleaseRetryDelay;
    pending.released = pending.released || outcome.result == grant_call_result::kDone;
    TakeHandover(pending, outcome.handover);
  }
}

void range_controller::OnTargetDisconnected() {
  if (call_grants* calls = ByCall()) calls->OnConnectionLost();
}

void range_controller::OnNotHeld(instant now, uint32_t key) {
  WithGrants([now, key](auto& grants) { grants.OnNotHeld(now, key); });
}

std::optional<uint64_t> range_controller::Fence(instant now, uint32_t key) const {
  const granted_range* range =
      WithGrants([now, key](const auto& grants) { return grants.Find(now, key); });
  if (range == nullptr) return std::nullopt;
  return range->fence;
}

bool range_controller::IsFinished(instant now, const pending_release& pending) const {
  if (now >= pending.grant_end) return true;
  if (!pending.released) return false;
  return now >=
         WithGrants([&pending](const auto& grants) { return grants.LatestLateEnd(pending.keys); });
}

bool range_controller::Owns(uint32_t key) const {
  const owned_range* range = map_.Find(key);
  return range != nullptr && range->owner == Self();
}

bool range_controller::IsCoordinator(const std::vector<range_candidate>& candidates) const {
  const range_candidate* lowest = nullptr;
  for (const range_candidate& candidate : candidates) {
    if (!candidate.alive || !candidate.leased) continue;
    if (lowest == nullptr || candidate.node < lowest->node) lowest = &candidate;
  }
  return lowest != nullptr && lowest->node == settings_.node;
}

range_action range_controller::NextAction(instant now,
                                          const std::vector<range_candidate>& candidates,
                                          bool lease_valid) {
  if (reading_ || changing_) return range_action::kNone;
  if (map_stale_since_ || !MapIsFresh()) return StartRead(now, range_action::kReadMap);
  if (!lease_valid) return range_action::kNone;

  std::vector<std::string> accepting_nodes;
  for (const range_candidate& candidate : candidates) {
    if (candidate.alive && candidate.accepting) accepting_nodes.push_back(candidate.node);
  }
  if (accepting_nodes != last_candidates_) {
    last_candidates_ = std::move(accepting_nodes);
    candidates_changed_at_ = now;
  }

  change_ = {};
  change_.map_version = map_version_;
  change_.map = map_;
  uint64_t& next_fence = change_.map.next_fence;
  next_fence = std::max(next_fence, FirstFenceOf(map_era_));
  bool changed = HasClaim(now) && ClaimOwnKeys();
  bool needs_leases = false;
  if (!changed) {
    claim_.reset();
    changed = PlanChange(now, candidates, needs_leases);
  }
  if (!changed) {
    return needs_leases ? StartRead(now, range_action::kReadLeases) : range_action::kNone;
  }
  RecordReassignedKeys();
  changing_ = true;
  return range_action::kCommitChange;
}

range_action range_controller::StartRead(instant now, range_action read) {
  if (now < next_read_) return range_action::kNone;
  reading_ = true;
  return read;
}

bool range_controller::PlanChange(instant now, const std::vector<range_candidate>& candidates,
                                  bool& needs_leases) {
  const bool coordinator = IsCoordinator(candidates);
  if (map_.ranges.empty()) {
    const bool candidates_rest =
        !last_candidates_.empty() && now - candidates_changed_at_ >= settings_.settle_time;
    if (!coordinator || !candidates_rest || !Settled(now)) return false;
    AssignInitialOwners(candidates);
    return true;
  }
  if (MayReleaseKeys(now)) StartReleases(now, candidates);
  bool changed = MoveOwnKeys(now, candidates);
  if (coordinator) changed = ReassignOrphans(now, candidates, needs_leases) || changed;
  return changed;
}

}  // namespace bulrushway
