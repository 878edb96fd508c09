// Choice of the keys that the range controller moves, and of their new owners.

#include <algorithm>
#include <set>
#include <utility>

#include "range_controller.h"
#include "range_spread.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// The store takes 100 entries in a transaction: two for each lost owner, and four for the map and
// the lease of the process that writes it. The keys of further owners follow in the next change.
constexpr size_t kMaxLostOwnersPerChange = 48;
// Lease rows older than this are read again before keys are reassigned.
constexpr milliseconds kMaxLeaseReadAge{1000};
// An owner sheds load only if its demand is at least this share of its capacity: a move makes its
// keys unavailable for about a second, and below this share the wait for a slot costs less.
constexpr double kMinReliefDemand = 0.75;
// It also needs at least this many times the mean demand of all owners.
constexpr double kBusyRatio = 1.35;
// As kBusyRatio, for an overloaded owner, whose queue grows for as long as the overload lasts.
constexpr double kOverloadedRatio = 1.15;
// An owner with few keys receives more only if its demand is at most this many times the mean: a
// slow target has few keys because it shed load.
constexpr double kIdleRatio = 0.5;
// Smallest demand, as a share of an owner's capacity, for which keys are moved.
constexpr double kMinMoveDemand = 0.03;

std::vector<range_owner> AcceptingOwners(const std::vector<range_candidate>& candidates) {
  std::vector<range_owner> owners;
  for (const range_candidate& candidate : candidates) {
    if (candidate.alive && candidate.accepting)
      owners.push_back({candidate.node, candidate.target});
  }
  std::sort(owners.begin(), owners.end(),
            [](const range_owner& a, const range_owner& b) { return a.node < b.node; });
  return owners;
}

}  // namespace

void range_controller::AssignInitialOwners(const std::vector<range_candidate>& candidates) {
  change_.map = AssignEvenly(AcceptingOwners(candidates), change_.map.next_fence);
  change_.reason = "first deal";
}

bool range_controller::MayBeHeld(instant now, const key_range& keys) const {
  // A grant that answers a heartbeat reaches only its sender. That has ended if another incarnation
  // runs, or if a connection was refused after the last heartbeat.
  return ByCall() != nullptr && now < ByCall()->LatestEnd(keys);
}

std::string range_controller::NewFenceReason(const owned_range& range) const {
  if (range.owner.target != incarnation_) return "target restarted";
  // A change with unknown outcome cannot take effect after the map has a new version.
  if (MayBeReassigned(range.keys)) return "kept";
  if (HigherFenceSeen(range.fence)) return "higher fence seen";
  if (FenceMayBelongToOther(range.fence)) return "target may have restarted";
  return {};
}

bool range_controller::MoveOwnKeys(instant now, const std::vector<range_candidate>& candidates) {
  const bool settled = Settled(now);
  bool changed = false;
  std::vector<range_owner> others = AcceptingOwners(candidates);
  std::erase_if(others, [this](const range_owner& other) { return other.node == settings_.node; });
  key_map& map = change_.map;
  const std::vector<owned_range> ranges = map.ranges;
  for (const owned_range& range : ranges) {
    if (range.owner.node != settings_.node) continue;
    if (!IsOfPresentEra(range)) {
      if (!settled) continue;
      if (condition_ == target_condition::kReady || condition_ == target_condition::kLeaving) {
        Reassign(map, range.keys, Self(), {});
        change_.reason = "store returned, nobody claimed the keys";
        changed = true;
        continue;
      }
    }
    const bool former_incarnation = range.owner.target != incarnation_;
    if (condition_ == target_condition::kReady) {
      const std::string reason = NewFenceReason(range);
      if (reason.empty()) continue;
      Reassign(map, range.keys, Self(), {});
      change_.reason = reason;
      changed = true;
    } else if ((former_incarnation || condition_ == target_condition::kDown) && !others.empty() &&
               condition_ != target_condition::kUnknown && !MayBeHeld(now, range.keys)) {
      SpreadOver(map, range.keys, {}, others);
      change_.reason = "target down";
      changed = true;
    }
  }
  for (const pending_release& pending : pending_releases_) {
    if (!IsFinished(now, pending)) continue;
    std::vector<range_owner> new_owners = others;
    if (!pending.new_node.empty()) {
      std::erase_if(new_owners, [&pending](const range_owner& other) {
        return other.node != pending.new_node;
      });
      if (new_owners.empty()) new_owners = others;
    }
    if (new_owners.empty()) continue;
    SpreadOver(map, pending.keys, pending.released ? pending.handover : std::string{}, new_owners);
    change_.reason = "released by target";
    changed = true;
  }
  return changed;
}

bool range_controller::ReassignOrphans(instant now, const std::vector<range_candidate>& candidates,
                                       bool& needs_leases) {
  const bool settled = Settled(now);
  const std::vector<range_owner> owners = AcceptingOwners(candidates);
  if (owners.empty()) return false;
  const auto has_lease = [&candidates](const std::string& node) {
    return std::any_of(candidates.begin(), candidates.end(),
                       [&node](const range_candidate& candidate) {
                         return candidate.node == node && candidate.alive && candidate.leased;
                       });
  };
  bool changed = false;
  std::set<std::string> lost_owners;
  const std::vector<owned_range> ranges = change_.map.ranges;
  for (const owned_range& range : ranges) {
    const std::string& node = range.owner.node;
    if (node == settings_.node || has_lease(node)) continue;
    if (lost_owners.size() >= kMaxLostOwnersPerChange && !lost_owners.contains(node)) continue;
    if (!IsOfPresentEra(range) && !settled) continue;
    if (!leases_known_ || now - leases_read_at_ > kMaxLeaseReadAge) {
      needs_leases = true;
      return false;
    }
    const auto lease = leases_.find(node);
    if (lease != leases_.end() && !HasEnded(lease->second.record, leases_store_time_)) continue;
    const bool lost = lease == leases_.end() || lease->second.record.era != era_.era();
    if (lost && !settled) continue;
    if (lease != leases_.end()) {
      change_.ended_leases.emplace_back(node, lease->second.version);
    } else {
      change_.absent_leases.push_back(node);
    }
    lost_owners.insert(node);
    SpreadOver(change_.map, range.keys, {}, owners);
    change_.reason = "lease of " + node + " ended";
    changed = true;
  }
  const auto sort_and_deduplicate = [](auto& list) {
    std::sort(list.begin(), list.end());
    list.erase(std::unique(list.begin(), list.end()), list.end());
  };
  sort_and_deduplicate(change_.ended_leases);
  sort_and_deduplicate(change_.absent_leases);
  if (!changed && leases_known_ && now - leases_read_at_ > settings_.lease_check_interval) {
    needs_leases = std::any_of(ranges.begin(), ranges.end(), [&](const owned_range& range) {
      return range.owner.node != settings_.node && !has_lease(range.owner.node);
    });
  }
  return changed;
}

void range_controller::StartReleases(instant now, const std::vector<range_candidate>& candidates) {
  if (condition_ != target_condition::kLeaving) {
    StartBalancing(now, candidates);
    return;
  }
  const bool has_other_owner =
      std::any_of(candidates.begin(), candidates.end(), [this](const auto& candidate) {
        return candidate.alive && candidate.accepting && candidate.node != settings_.node;
      });
  if (!has_other_owner) return;
  for (const owned_range& range : map_.ranges) {
    if (range.owner != Self() || IsReleasing(range.keys)) continue;
    StartRelease(now, range.keys, {});
  }
}

void range_controller::StartBalancing(instant now, const std::vector<range_candidate>& candidates) {
  if (condition_ != target_condition::kReady || !pending_releases_.empty()) return;
  // Released keys could not be handed over before a late grant of them has ended.
  const bool late_grants = WithGrants([now](const auto& grants) {
    return now < grants.LatestLateEnd({0, kLastKey});
  });
  if (late_grants) return;
  if (StartRelief(now, candidates)) return;
  if (now - last_balance_at_ < settings_.balance_interval) return;
  const auto move = ChooseBalancingMove(map_, Self(), AcceptingOwners(candidates));
  if (!move || IsLoaded(candidates, move->new_owner.node)) return;
  last_balance_at_ = now;
  StartRelease(now, move->keys, move->new_owner.node);
}

bool range_controller::IsLoaded(const std::vector<range_candidate>& candidates,
                                const std::string& node) {
  double sum = 0;
  double node_demand = 0;
  for (const range_candidate& candidate : candidates) {
    if (candidate.alive && candidate.accepting) sum += candidate.demand;
    if (candidate.node == node) node_demand = candidate.demand;
  }
  const double mean = sum / static_cast<double>(std::max<size_t>(1, candidates.size()));
  return node_demand > kMinMoveDemand && node_demand > mean * kIdleRatio;
}

void range_controller::StartRelease(instant now, const key_range& keys,
                                    const std::string& new_node) {
  const owned_range* range = map_.Find(keys.first);
  if (range == nullptr) return;
  const uint64_t fence = range->fence;
  const instant grant_end =
      WithGrants([&keys](const auto& grants) { return grants.LatestEnd(keys); });
  pending_releases_.push_back({keys, fence, std::max(now, grant_end), false, {}, new_node});
}

bool range_controller::StartRelief(instant now, const std::vector<range_candidate>& candidates) {
  if (now - last_relief_at_ < settings_.relief_interval) return false;
  double sum = 0;
  size_t count = 0;
  const range_candidate* self = nullptr;
  for (const range_candidate& candidate : candidates) {
    if (!candidate.alive || !candidate.accepting) continue;
    if (candidate.node == settings_.node) self = &candidate;
    sum += candidate.demand;
    ++count;
  }
  if (self == nullptr || count < 2 || self->cost <= 0) return false;
  const double mean = sum / static_cast<double>(count);
  const double threshold_ratio = self->demand > 1 ? kOverloadedRatio : kBusyRatio;
  if (self->demand < kMinReliefDemand || self->demand < mean * threshold_ratio) {
    overloaded_since_.reset();
    return false;
  }
  if (!overloaded_since_) overloaded_since_ = now;
  if (now - *overloaded_since_ < settings_.relief_delay) return false;

  std::vector<load_receiver> receivers;
  double surplus = self->demand - mean;
  for (const range_candidate& candidate : candidates) {
    const double spare = mean - candidate.demand;
    if (!candidate.alive || !candidate.accepting || candidate.node == settings_.node ||
        spare < kMinMoveDemand)
      continue;
    const double transferred = std::min(spare, surplus);
    if (transferred < kMinMoveDemand) break;
    surplus -= transferred;
    receivers.push_back(
        {{candidate.node, candidate.target}, transferred / std::max(candidate.cost, self->cost)});
  }
  std::vector<key_range> own_ranges;
  for (const owned_range& range : map_.ranges) {
    if (range.owner == Self()) own_ranges.push_back(range.keys);
  }
  const auto moves = PlanRelief(now, own_ranges, key_rates_, receivers);
  if (moves.empty()) return false;
  last_relief_at_ = now;
  for (const key_move& move : moves) StartRelease(now, move.keys, move.new_owner.node);
  return true;
}

}  // namespace bulrushway
