#include "range_controller.h"

#include <algorithm>
#include <utility>

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A grant starts for the target when it sends its heartbeat, and for this process when it receives
// it. The process stops relying on a grant this long before the end by its own clock.
constexpr milliseconds kGrantMargin{250};
// Delay after a target refused a key as not held, typically because its grant was still in transit.
constexpr milliseconds kNotHeldBackoff{100};

}  // namespace

void range_controller::OnMap(instant read_started, std::optional<key_map> map, uint64_t version) {
  reading_ = false;
  if (map_known_ && version < map_version_) return;
  map_known_ = true;
  map_ = map ? std::move(*map) : key_map{};
  map_version_ = version;
  if (map_stale_since_ && read_started >= *map_stale_since_) map_stale_since_.reset();
  map_read_at_ = std::max(map_read_at_, read_started);
  DropFinishedReleases();
}

void range_controller::DropFinishedReleases() {
  std::erase_if(pending_releases_, [this](const pending_release& pending) {
    const owned_range* range = map_.Find(pending.keys.first);
    return range == nullptr || range->owner != Self();
  });
}

instant range_controller::GrantEnd(const owned_range& range) const {
  const auto end = grant_ends_.find(range.fence);
  if (end != grant_ends_.end()) return end->second;
  return started_ +
         duration_cast<milliseconds>(settings_.max_grant * (1 + settings_.max_clock_slowness));
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
  DropFinishedReleases();
}

void range_controller::SetTarget(instant now, target_condition condition,
                                 const target_incarnation& incarnation) {
  if (incarnation != incarnation_) {
    // The grants of the previous incarnation ended with it.
    granted_.clear();
    grant_ends_.clear();
    pending_releases_.clear();
    granted_until_ = now;
    incarnation_ = incarnation;
  }
  condition_ = condition;
  if (condition == target_condition::kDown) {
    granted_.clear();
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
      if (pending.handover.empty()) pending.handover = released.handover;
      pending.released = true;
    }
    // The heartbeat may have been sent before the target learned that it has to release the keys.
    const bool still_held =
        std::any_of(heartbeat.held.begin(), heartbeat.held.end(),
                    [&](const held_range& held) { return held.keys.Overlaps(pending.keys); });
    if (still_held) pending.released = false;
  }
}

std::optional<target_grant> range_controller::OnHeartbeat(instant now,
                                                          const target_heartbeat& heartbeat,
                                                          milliseconds lease_left) {
  if (heartbeat.incarnation != incarnation_) return std::nullopt;
  RecordReleased(heartbeat);
  const bool map_is_fresh = map_known_ && map_read_at_ >= map_required_since_;
  if (lease_left <= kGrantMargin || !map_is_fresh) return std::nullopt;
  target_grant grant;
  const auto lease_hold =
      duration_cast<milliseconds>(lease_left / (1 + settings_.max_clock_slowness));
  grant.hold = std::min(settings_.max_grant, lease_hold);
  const instant end =
      now + duration_cast<milliseconds>(grant.hold * (1 + settings_.max_clock_slowness));
  for (const owned_range& range : map_.ranges) {
    if (range.owner != Self()) continue;
    // Parts that are being released or reassigned are excluded; the rest keeps its fence.
    uint32_t first = range.keys.first;
    const auto grant_part = [&](uint32_t from, uint32_t to) {
      grant.ranges.push_back({{from, to}, range.fence, range.handover});
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
      if (hole.first > first) grant_part(first, hole.first - 1);
      first = std::max(first, hole.last + 1);
    }
    if (first <= range.keys.last) grant_part(first, range.keys.last);
    instant& grant_end = grant_ends_[range.fence];
    grant_end = std::max(grant_end, end);
  }
  granted_ = grant.ranges;
  not_held_until_.clear();
  granted_until_ = now + grant.hold - kGrantMargin;
  return grant;
}

const granted_range* range_controller::FindGranted(uint32_t key) const {
  const auto found =
      std::find_if(granted_.begin(), granted_.end(),
                   [key](const granted_range& range) { return range.keys.Contains(key); });
  return found == granted_.end() ? nullptr : &*found;
}

void range_controller::OnNotHeld(instant now, uint32_t key) {
  if (const granted_range* range = FindGranted(key)) {
    not_held_until_[range->fence] = now + kNotHeldBackoff;
  }
}

std::optional<uint64_t> range_controller::Fence(instant now, uint32_t key) const {
  if (now >= granted_until_) return std::nullopt;
  const granted_range* range = FindGranted(key);
  if (range == nullptr) return std::nullopt;
  const auto not_held = not_held_until_.find(range->fence);
  if (not_held != not_held_until_.end() && now < not_held->second) return std::nullopt;
  return range->fence;
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
  if (!map_known_ || map_stale_since_ || map_read_at_ < map_required_since_) {
    reading_ = true;
    return range_action::kReadMap;
  }
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
  const bool coordinator = IsCoordinator(candidates);
  bool changed = false;
  bool needs_leases = false;
  if (map_.ranges.empty()) {
    if (!coordinator || last_candidates_.empty()) return range_action::kNone;
    if (now - candidates_changed_at_ < settings_.settle_time) return range_action::kNone;
    AssignInitialOwners(candidates);
    changed = true;
  } else {
    StartReleases(now, candidates);
    changed = MoveOwnKeys(now, candidates);
    if (coordinator) changed = ReassignOrphans(now, candidates, needs_leases) || changed;
  }
  if (needs_leases && !changed) {
    reading_ = true;
    return range_action::kReadLeases;
  }
  if (!changed) return range_action::kNone;
  RecordReassignedKeys();
  changing_ = true;
  return range_action::kCommitChange;
}

}  // namespace bulrushway
