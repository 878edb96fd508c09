// Which keys the steward moves, and to whom.

#include <algorithm>
#include <utility>

#include "range_spread.h"
#include "range_steward.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// A lease row that was read longer ago than this is read again before it decides anything.
constexpr milliseconds kLeaseReadAge{1000};
// An owner gives load away when its requests would keep more than this share of its slots busy: a
// move costs its keys about a second, and below this waiting costs less.
constexpr double kBusyDemand = 0.75;
// ... and when it has this many times the mean of all owners.
constexpr double kMuchBusier = 1.35;
// The same for an owner that cannot keep up: its requests wait longer the longer it stays so.
constexpr double kOverloadedBusier = 1.15;
// An owner with few keys is given more only if it has less than this many times the mean load: a
// slow target has given its keys away for good reason.
constexpr double kIdleDemand = 0.5;
// Least load, as a share of the slots, that is worth a move.
constexpr double kLeastGap = 0.03;

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
    } else if (condition_ == target_condition::kReady && MayBeGivenAway(range.keys)) {
      // Under a new version of the map the change of unknown outcome cannot take effect any more.
      Reassign(map, range.keys, Self(), {});
      change_.reason = "kept";
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
  if (!move || IsBusy(candidates, move->to.node)) return;
  last_balance_ = now;
  Release(now, move->keys, move->to.node);
}

bool range_steward::IsBusy(const std::vector<range_candidate>& candidates,
                           const std::string& node) {
  double sum = 0;
  double own = 0;
  for (const range_candidate& one : candidates) {
    if (one.alive && one.accepting) sum += one.demand;
    if (one.node == node) own = one.demand;
  }
  const double mean = sum / static_cast<double>(std::max<size_t>(1, candidates.size()));
  return own > kLeastGap && own > mean * kIdleDemand;
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
  const double much = self->demand > 1 ? kOverloadedBusier : kMuchBusier;
  if (self->demand < kBusyDemand || self->demand < mean * much) {
    busy_since_.reset();
    return false;
  }
  if (!busy_since_) busy_since_ = now;
  if (now - *busy_since_ < settings_.relief_patience) return false;

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

}  // namespace bulrushway
