#include "range_steward.h"

#include <algorithm>
#include <utility>

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The target counts a grant from the sending of its heartbeat, this process from the receipt. The
// process stops using a grant this much before its own count ends.
constexpr milliseconds kGrantMargin{250};
// A target that did not hold a key yet is asked again after this: its grant was on the way.
constexpr milliseconds kNotHeldPause{100};

}  // namespace

void range_steward::OnMap(instant read_started, std::optional<key_map> map, uint64_t version) {
  reading_ = false;
  if (map_known_ && version < map_version_) return;
  map_known_ = true;
  map_ = map ? std::move(*map) : key_map{};
  map_version_ = version;
  if (stale_since_ && read_started >= *stale_since_) stale_since_.reset();
  map_read_at_ = std::max(map_read_at_, read_started);
  DropFinishedReleases();
}

void range_steward::DropFinishedReleases() {
  std::erase_if(releasing_, [this](const release& moved) {
    const owned_range* range = map_.Find(moved.keys.first);
    return range == nullptr || range->owner != Self();
  });
}

instant range_steward::GrantEnd(const owned_range& range) const {
  const auto known = grant_ends_.find(range.fence);
  if (known != grant_ends_.end()) return known->second;
  return started_ +
         duration_cast<milliseconds>(settings_.longest_hold * (1 + settings_.clock_slowness));
}

void range_steward::OnLeaseAcquired(instant now) { map_needed_since_ = now; }

void range_steward::OnLeases(instant now, std::vector<observed_lease> leases,
                             store_time store_now) {
  reading_ = false;
  leases_.clear();
  for (observed_lease& lease : leases) {
    const std::string node = lease.record.node;
    leases_.insert_or_assign(node, std::move(lease));
  }
  leases_at_ = store_now;
  leases_read_ = now;
  leases_known_ = true;
}

void range_steward::OnChanged(instant now, result<uint64_t> outcome) {
  changing_ = false;
  leases_known_ = false;
  if (!outcome) {
    // Somebody else changed the map, or nobody knows whether this change took effect.
    stale_since_ = now;
    return;
  }
  // The feed may have brought a later change before the answer to this one.
  if (*outcome < map_version_) return;
  map_ = change_.map;
  map_version_ = *outcome;
  DropFinishedReleases();
}

void range_steward::SetTarget(instant now, target_condition condition, const target_life& life) {
  if (life != life_) {
    // Grants of the life before ended with it.
    granted_.clear();
    grant_ends_.clear();
    releasing_.clear();
    granted_until_ = now;
    life_ = life;
  }
  condition_ = condition;
  if (condition == target_condition::kDown) {
    granted_.clear();
    releasing_.clear();
  }
}

bool range_steward::IsReleasing(const key_range& keys) const {
  return std::any_of(releasing_.begin(), releasing_.end(),
                     [&keys](const release& one) { return one.keys.Overlaps(keys); });
}

void range_steward::NoteGivenAway() {
  if (given_away_version_ != map_version_) given_away_.clear();
  given_away_version_ = map_version_;
  for (const owned_range& range : change_.map.ranges) {
    if (range.fence < map_.next_fence || range.owner.node == settings_.node) continue;
    const owned_range* before = map_.Find(range.keys.first);
    if (before != nullptr && before->owner.node == settings_.node) {
      given_away_.push_back(range.keys);
    }
  }
}

bool range_steward::MayBeGivenAway(const key_range& keys) const {
  return given_away_version_ == map_version_ &&
         std::any_of(given_away_.begin(), given_away_.end(),
                     [&keys](const key_range& one) { return one.Overlaps(keys); });
}

void range_steward::NoteReleased(const target_heartbeat& heartbeat) {
  for (release& waiting : releasing_) {
    for (const released_range& released : heartbeat.released) {
      if (!released.keys.Overlaps(waiting.keys)) continue;
      if (waiting.handover.empty()) waiting.handover = released.handover;
      waiting.given_up = true;
    }
    // The heartbeat may have been sent before the target learned that it is to give them up.
    const bool still_held =
        std::any_of(heartbeat.held.begin(), heartbeat.held.end(),
                    [&](const held_range& held) { return held.keys.Overlaps(waiting.keys); });
    if (still_held) waiting.given_up = false;
  }
}

std::optional<target_grant> range_steward::OnHeartbeat(instant now,
                                                       const target_heartbeat& heartbeat,
                                                       milliseconds lease_left) {
  if (heartbeat.life != life_) return std::nullopt;
  NoteReleased(heartbeat);
  const bool map_counts = map_known_ && map_read_at_ >= map_needed_since_;
  if (lease_left <= kGrantMargin || !map_counts) return std::nullopt;
  target_grant grant;
  const auto safe = duration_cast<milliseconds>(lease_left / (1 + settings_.clock_slowness));
  grant.hold = std::min(settings_.longest_hold, safe);
  const instant end =
      now + duration_cast<milliseconds>(grant.hold * (1 + settings_.clock_slowness));
  for (const owned_range& range : map_.ranges) {
    if (range.owner != Self()) continue;
    // Parts that are being given up are left out; the rest keeps its fence.
    uint32_t first = range.keys.first;
    const auto grant_part = [&](uint32_t from, uint32_t to) {
      grant.ranges.push_back({{from, to}, range.fence, range.handover});
    };
    std::vector<key_range> left_out;
    for (const release& one : releasing_) {
      if (one.keys.Overlaps(range.keys)) left_out.push_back(one.keys);
    }
    if (MayBeGivenAway(range.keys)) {
      for (const key_range& keys : given_away_) {
        if (keys.Overlaps(range.keys)) left_out.push_back(keys);
      }
    }
    std::sort(left_out.begin(), left_out.end());
    for (const key_range& gap : left_out) {
      if (gap.first > first) grant_part(first, gap.first - 1);
      first = std::max(first, gap.last + 1);
    }
    if (first <= range.keys.last) grant_part(first, range.keys.last);
    instant& known_end = grant_ends_[range.fence];
    known_end = std::max(known_end, end);
  }
  granted_ = grant.ranges;
  not_held_until_.clear();
  granted_until_ = now + grant.hold - kGrantMargin;
  return grant;
}

const granted_range* range_steward::FindGranted(uint32_t key) const {
  const auto found =
      std::find_if(granted_.begin(), granted_.end(),
                   [key](const granted_range& range) { return range.keys.Contains(key); });
  return found == granted_.end() ? nullptr : &*found;
}

void range_steward::OnNotHeld(instant now, uint32_t key) {
  if (const granted_range* range = FindGranted(key)) {
    not_held_until_[range->fence] = now + kNotHeldPause;
  }
}

std::optional<uint64_t> range_steward::Fence(instant now, uint32_t key) const {
  if (now >= granted_until_) return std::nullopt;
  const granted_range* range = FindGranted(key);
  if (range == nullptr) return std::nullopt;
  const auto refused = not_held_until_.find(range->fence);
  if (refused != not_held_until_.end() && now < refused->second) return std::nullopt;
  return range->fence;
}

bool range_steward::Owns(uint32_t key) const {
  const owned_range* range = map_.Find(key);
  return range != nullptr && range->owner == Self();
}

bool range_steward::IsCoordinator(const std::vector<range_candidate>& candidates) const {
  const range_candidate* lowest = nullptr;
  for (const range_candidate& one : candidates) {
    if (!one.alive || !one.leased) continue;
    if (lowest == nullptr || one.node < lowest->node) lowest = &one;
  }
  return lowest != nullptr && lowest->node == settings_.node;
}

steward_wish range_steward::Next(instant now, const std::vector<range_candidate>& candidates,
                                 bool lease_valid) {
  if (reading_ || changing_) return steward_wish::kNothing;
  if (!map_known_ || stale_since_ || map_read_at_ < map_needed_since_) {
    reading_ = true;
    return steward_wish::kReadMap;
  }
  if (!lease_valid) return steward_wish::kNothing;

  std::vector<std::string> names;
  for (const range_candidate& one : candidates) {
    if (one.alive && one.accepting) names.push_back(one.node);
  }
  if (names != last_candidates_) {
    last_candidates_ = std::move(names);
    candidates_changed_ = now;
  }

  change_ = {};
  change_.map_version = map_version_;
  change_.map = map_;
  const bool coordinator = IsCoordinator(candidates);
  bool changed = false;
  bool wants_leases = false;
  if (map_.ranges.empty()) {
    if (!coordinator || last_candidates_.empty()) return steward_wish::kNothing;
    if (now - candidates_changed_ < settings_.settle) return steward_wish::kNothing;
    Deal(candidates);
    changed = true;
  } else {
    StartReleases(now, candidates);
    changed = MoveOwn(now, candidates);
    if (coordinator) changed = AdoptOrphans(now, candidates, wants_leases) || changed;
  }
  if (wants_leases && !changed) {
    reading_ = true;
    return steward_wish::kReadLeases;
  }
  if (!changed) return steward_wish::kNothing;
  NoteGivenAway();
  changing_ = true;
  return steward_wish::kChange;
}

}  // namespace bulrushway
