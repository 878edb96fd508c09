#include "range_steward.h"

#include <algorithm>
#include <utility>

#include "range_spread.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The target counts a grant from the sending of its heartbeat, this process from the receipt. The
// process stops using a grant this much before its own count ends.
constexpr milliseconds kGrantMargin{250};
// A target that did not hold a key yet is asked again after this: its grant was on the way.
constexpr milliseconds kNotHeldPause{100};
// A lease row that was read longer ago than this is read again before it decides anything.
constexpr milliseconds kLeaseReadAge{1000};
// An owner gives load away when its requests would keep more than this share of its slots busy: a
// move costs its keys about a second, and below this waiting costs less.
constexpr double kBusyDemand = 0.75;
// ... and when it has this many times the mean of all owners.
constexpr double kMuchBusier = 1.35;
// Least load, as a share of the slots, that is worth a move.
constexpr double kLeastGap = 0.03;

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
  // A change under way, or one with an unknown outcome, concerns no keys that are granted now.
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

bool range_steward::Holds(instant now, uint32_t key) const {
  if (now >= granted_until_) return false;
  const granted_range* range = FindGranted(key);
  if (range == nullptr) return false;
  const auto refused = not_held_until_.find(range->fence);
  return refused == not_held_until_.end() || now >= refused->second;
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

namespace {

std::vector<range_owner> AcceptingOwners(const std::vector<range_candidate>& candidates) {
  std::vector<range_owner> owners;
  for (const range_candidate& one : candidates) {
    if (one.alive && one.accepting) owners.push_back({one.node, one.target});
  }
  std::sort(owners.begin(), owners.end(),
            [](const range_owner& a, const range_owner& b) { return a.node < b.node; });
  return owners;
}

}  // namespace

void range_steward::Deal(const std::vector<range_candidate>& candidates) {
  change_.map = DealEvenly(AcceptingOwners(candidates), map_.next_fence);
  change_.reason = "first deal";
}

bool range_steward::MoveOwn(instant now, const std::vector<range_candidate>& candidates) {
  bool changed = false;
  std::vector<range_owner> others = AcceptingOwners(candidates);
  std::erase_if(others, [this](const range_owner& one) { return one.node == settings_.node; });
  key_map& map = change_.map;
  const std::vector<owned_range> before = map.ranges;
  for (const owned_range& range : before) {
    if (range.owner.node != settings_.node) continue;
    const bool former_life = range.owner.target != life_;
    if (former_life && condition_ == target_condition::kReady) {
      // The target started anew: it takes its keys back under new fences.
      Reassign(map, range.keys, Self(), {});
      change_.reason = "target restarted";
      changed = true;
    } else if ((former_life || condition_ == target_condition::kDown) && !others.empty() &&
               condition_ != target_condition::kUnknown) {
      SpreadOver(map, range.keys, {}, others);
      change_.reason = "target down";
      changed = true;
    }
  }
  for (const release& one : releasing_) {
    const bool over = one.given_up || now >= one.grant_end;
    if (!over) continue;
    std::vector<range_owner> to = others;
    if (!one.to.empty()) {
      std::erase_if(to, [&one](const range_owner& other) { return other.node != one.to; });
      if (to.empty()) to = others;
    }
    if (to.empty()) continue;
    SpreadOver(map, one.keys, one.given_up ? one.handover : std::string{}, to);
    change_.reason = "released by target";
    changed = true;
  }
  return changed;
}

bool range_steward::AdoptOrphans(instant now, const std::vector<range_candidate>& candidates,
                                 bool& wants_leases) {
  const std::vector<range_owner> owners = AcceptingOwners(candidates);
  if (owners.empty()) return false;
  const auto is_safe = [&candidates](const std::string& node) {
    return std::any_of(candidates.begin(), candidates.end(), [&node](const range_candidate& one) {
      return one.node == node && one.alive && one.leased;
    });
  };
  bool changed = false;
  const std::vector<owned_range> before = change_.map.ranges;
  for (const owned_range& range : before) {
    const std::string& node = range.owner.node;
    if (node == settings_.node || is_safe(node)) continue;
    if (!leases_known_ || now - leases_read_ > kLeaseReadAge) {
      wants_leases = true;
      return false;
    }
    const auto lease = leases_.find(node);
    if (lease != leases_.end() && !HasEnded(lease->second.record, leases_at_)) continue;
    if (lease != leases_.end()) {
      change_.ended_leases.emplace_back(node, lease->second.version);
    } else {
      change_.absent_leases.push_back(node);
    }
    SpreadOver(change_.map, range.keys, {}, owners);
    change_.reason = "lease of " + node + " ended";
    changed = true;
  }
  const auto unique = [](auto& list) {
    std::sort(list.begin(), list.end());
    list.erase(std::unique(list.begin(), list.end()), list.end());
  };
  unique(change_.ended_leases);
  unique(change_.absent_leases);
  if (!changed && leases_known_ && now - leases_read_ > settings_.lease_check) {
    wants_leases = std::any_of(before.begin(), before.end(), [&](const owned_range& range) {
      return range.owner.node != settings_.node && !is_safe(range.owner.node);
    });
  }
  return changed;
}

void range_steward::StartReleases(instant now, const std::vector<range_candidate>& candidates) {
  if (condition_ != target_condition::kLeaving) {
    StartBalancing(now, candidates);
    return;
  }
  const bool others = std::any_of(candidates.begin(), candidates.end(), [this](const auto& one) {
    return one.alive && one.accepting && one.node != settings_.node;
  });
  if (!others) return;
  for (const owned_range& range : map_.ranges) {
    if (range.owner != Self() || IsReleasing(range.keys)) continue;
    Release(now, range.keys, {});
  }
}

void range_steward::StartBalancing(instant now, const std::vector<range_candidate>& candidates) {
  if (condition_ != target_condition::kReady || !releasing_.empty()) return;
  if (StartRelief(now, candidates)) return;
  if (now - last_balance_ < settings_.balance_pause) return;
  const auto move = ChooseBalancingMove(map_, Self(), AcceptingOwners(candidates));
  if (!move) return;
  last_balance_ = now;
  Release(now, move->keys, move->to.node);
}

void range_steward::Release(instant now, const key_range& keys, const std::string& to) {
  const owned_range* range = map_.Find(keys.first);
  if (range == nullptr) return;
  releasing_.push_back({keys, std::max(now, GrantEnd(*range)), false, {}, to});
}

bool range_steward::StartRelief(instant now, const std::vector<range_candidate>& candidates) {
  if (now - last_relief_ < settings_.relief_pause) return false;
  double sum = 0;
  size_t count = 0;
  const range_candidate* self = nullptr;
  for (const range_candidate& one : candidates) {
    if (!one.alive || !one.accepting) continue;
    if (one.node == settings_.node) self = &one;
    sum += one.demand;
    ++count;
  }
  if (self == nullptr || count < 2 || self->cost <= 0) return false;
  const double mean = sum / static_cast<double>(count);
  if (self->demand < kBusyDemand || self->demand < mean * kMuchBusier) return false;

  std::vector<relief_owner> owners;
  double surplus = self->demand - mean;
  for (const range_candidate& one : candidates) {
    const double gap = mean - one.demand;
    if (!one.alive || !one.accepting || one.node == settings_.node || gap < kLeastGap) continue;
    const double taken = std::min(gap, surplus);
    if (taken < kLeastGap) break;
    surplus -= taken;
    owners.push_back({{one.node, one.target}, taken / std::max(one.cost, self->cost)});
  }
  std::vector<key_range> own;
  for (const owned_range& range : map_.ranges) {
    if (range.owner == Self()) own.push_back(range.keys);
  }
  const auto moves = PlanRelief(now, own, heat_, owners);
  if (moves.empty()) return false;
  last_relief_ = now;
  for (const balancing_move& move : moves) Release(now, move.keys, move.to.node);
  return true;
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
  changing_ = true;
  return steward_wish::kChange;
}

}  // namespace bulrushway
