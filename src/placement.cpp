#include "placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace bulrushway {
namespace {

/// Heirs that should stand in the node's own region.
constexpr size_t kHeirsInRegion = 2;

/// A node keeps this share of surplus or deficit before slices move.
constexpr double kShareTolerance = 0.05;

uint64_t Rank(const node_name& self, const node_name& other) {
  const std::string both = self + "|" + other;
  return XXH3_64bits(both.data(), both.size());
}

bool Contains(const std::vector<node_name>& names, const node_name& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// How far apart the failures of two nodes are; larger is farther.
enum class separation : uint8_t { kSameRack, kSameDataCentre, kSameRegion, kOtherRegion };

separation SeparationOf(const ownership_settings& self, const member& other) {
  if (other.region != self.region) return separation::kOtherRegion;
  if (other.data_centre != self.data_centre) return separation::kSameRegion;
  if (other.rack != self.rack) return separation::kSameDataCentre;
  return separation::kSameRack;
}

/// The other nodes that do not leave, current choices first, then by rank.
std::vector<const member*> Candidates(const ownership_settings& self,
                                      const std::vector<member>& members,
                                      const std::vector<node_name>& current) {
  std::vector<const member*> candidates;
  for (const member& other : members) {
    if (other.node != self.node && !other.leaving) candidates.push_back(&other);
  }
  std::sort(candidates.begin(), candidates.end(), [&](const member* a, const member* b) {
    const bool kept_a = Contains(current, a->node);
    const bool kept_b = Contains(current, b->node);
    if (kept_a != kept_b) return kept_a;
    return Rank(self.node, a->node) < Rank(self.node, b->node);
  });
  return candidates;
}

/// Moves the first candidate that fits into `chosen`.
template <class Predicate>
bool TakeFirst(std::vector<const member*>& candidates, std::vector<const member*>& chosen,
               Predicate fits) {
  const auto found = std::find_if(candidates.begin(), candidates.end(), fits);
  if (found == candidates.end()) return false;
  chosen.push_back(*found);
  candidates.erase(found);
  return true;
}

bool MayOwn(const member& node, const std::string& service) {
  return node.owner_capable && !node.leaving && node.service == service;
}

double TotalWeight(const slice_layout& layout, const std::vector<member>& members,
                   const std::string& service, uint32_t partition) {
  double total = 0;
  for (const member& node : members) {
    if (!MayOwn(node, service) || !PartitionAllowed(layout, partition, node.region)) continue;
    total += node.weight;
  }
  return total;
}

double Tolerance(double share) { return std::max(1.0, share * kShareTolerance); }

struct surplus {
  node_name node;
  double amount = 0;
};

/// Members with more than their share of the partition, the largest surplus first.
std::vector<surplus> SurplusOf(const slice_layout& layout, const std::vector<member>& members,
                               const member& self, uint32_t partition) {
  std::vector<surplus> rich;
  for (const member& other : members) {
    if (other.node == self.node || other.service != self.service) continue;
    const double amount = SlicesIn(other, partition) - FairShare(layout, members, other, partition);
    if (amount >= 1) rich.push_back({other.node, amount});
  }
  std::sort(rich.begin(), rich.end(), [&](const surplus& a, const surplus& b) {
    if (a.amount != b.amount) return a.amount > b.amount;
    return Rank(self.node, a.node) < Rank(self.node, b.node);
  });
  return rich;
}

}  // namespace

heir AsHeir(const member& node) { return {node.term, node.region, node.witnesses}; }

std::vector<node_name> ChooseWitnesses(const ownership_settings& self,
                                       const std::vector<member>& members,
                                       const std::vector<node_name>& current) {
  std::vector<const member*> candidates = Candidates(self, members, current);
  std::vector<const member*> chosen;
  const auto at = [&](separation wanted) {
    return [&self, wanted](const member* other) { return SeparationOf(self, *other) == wanted; };
  };
  TakeFirst(candidates, chosen, at(separation::kSameDataCentre)) ||
      TakeFirst(candidates, chosen, at(separation::kSameRack));
  TakeFirst(candidates, chosen, at(separation::kSameRegion));
  TakeFirst(candidates, chosen, at(separation::kOtherRegion));
  while (chosen.size() < kWitnessCount) {
    if (TakeFirst(candidates, chosen, at(separation::kSameRegion))) continue;
    if (TakeFirst(candidates, chosen, at(separation::kSameDataCentre))) continue;
    if (!TakeFirst(candidates, chosen, [](const member*) { return true; })) break;
  }
  std::vector<node_name> names;
  names.reserve(chosen.size() + 1);
  for (const member* other : chosen) names.push_back(other->node);
  if (names.empty() || names.size() == 2) names.push_back(self.node);
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<heir> ChooseHeirs(const ownership_settings& self, const std::vector<member>& members,
                              const std::vector<heir>& current) {
  std::vector<node_name> kept;
  kept.reserve(current.size());
  for (const heir& entry : current) kept.push_back(entry.term.node);
  std::vector<const member*> candidates = Candidates(self, members, kept);
  std::erase_if(candidates, [&](const member* other) {
    return !MayOwn(*other, self.service) || other->term.number == 0;
  });
  std::stable_partition(candidates.begin(), candidates.end(), [&](const member* other) {
    return SeparationOf(self, *other) != separation::kSameRack;
  });
  std::vector<const member*> chosen;
  const auto in_region = [&](const member* other) { return other->region == self.region; };
  while (chosen.size() < std::min<size_t>(kHeirsInRegion, self.heir_count)) {
    if (!TakeFirst(candidates, chosen, in_region)) break;
  }
  while (chosen.size() < self.heir_count) {
    if (!TakeFirst(candidates, chosen, [](const member*) { return true; })) break;
  }
  std::vector<heir> heirs;
  heirs.reserve(chosen.size());
  for (const member* other : chosen) heirs.push_back(AsHeir(*other));
  std::sort(heirs.begin(), heirs.end());
  return heirs;
}

bool SameProcesses(const std::vector<heir>& chosen, const std::vector<heir>& current,
                   const std::vector<member>& members) {
  if (chosen.size() != current.size()) return false;
  return std::all_of(chosen.begin(), chosen.end(), [&](const heir& entry) {
    const auto listed = std::find_if(current.begin(), current.end(), [&](const heir& other) {
      return other.term.node == entry.term.node;
    });
    const auto node = std::find_if(members.begin(), members.end(), [&](const member& other) {
      return other.node == entry.term.node;
    });
    if (listed == current.end() || node == members.end()) return false;
    return listed->term.number >= node->first_number;
  });
}

double FairShare(const slice_layout& layout, const std::vector<member>& members, const member& node,
                 uint32_t partition) {
  if (!MayOwn(node, node.service)) return 0;
  if (!PartitionAllowed(layout, partition, node.region)) return 0;
  const double total = TotalWeight(layout, members, node.service, partition);
  return total > 0 ? layout.slices_per_partition * node.weight / total : 0;
}

uint32_t SlicesIn(const member& node, uint32_t partition) {
  return partition < node.partition_slices.size() ? node.partition_slices[partition] : 0;
}

std::vector<donor_share> ChooseDonors(const slice_layout& layout,
                                      const std::vector<member>& members, const member& self) {
  std::map<node_name, donor_share> donors;
  for (uint32_t partition = 0; partition < PartitionCount(layout); ++partition) {
    const double share = FairShare(layout, members, self, partition);
    double wanted = std::round(share - SlicesIn(self, partition));
    if (wanted < Tolerance(share)) continue;
    for (const surplus& rich : SurplusOf(layout, members, self, partition)) {
      const double part = std::floor(std::min(wanted, rich.amount));
      if (part < 1) break;
      donor_share& donor = donors[rich.node];
      donor.donor = rich.node;
      donor.partition_counts.resize(PartitionCount(layout));
      donor.partition_counts[partition] = static_cast<uint32_t>(part);
      wanted -= part;
    }
  }
  std::vector<donor_share> chosen;
  chosen.reserve(donors.size());
  for (auto& [node, donor] : donors) chosen.push_back(std::move(donor));
  return chosen;
}

std::vector<slice_gift> ChooseReceivers(const slice_layout& layout,
                                        const std::vector<member>& members, const node_name& giver,
                                        const std::vector<slice_number>& slices) {
  const auto giving = std::find_if(members.begin(), members.end(),
                                   [&](const member& node) { return node.node == giver; });
  if (giving == members.end()) return {};
  std::vector<member> staying = members;
  std::erase_if(staying, [&](const member& node) {
    return node.node == giver || node.term.number == 0 || !MayOwn(node, giving->service);
  });
  // Free share of each receiver, worked out once for each partition.
  std::map<uint32_t, std::vector<double>> free_shares;
  std::vector<slice_gift> gifts;
  for (const slice_number slice : slices) {
    const uint32_t partition = PartitionOf(layout, slice);
    std::vector<double>& free = free_shares[partition];
    if (free.empty()) {
      for (const member& node : staying) {
        free.push_back(FairShare(layout, staying, node, partition) - SlicesIn(node, partition));
      }
    }
    std::optional<size_t> best;
    for (size_t i = 0; i < staying.size(); ++i) {
      if (!PartitionAllowed(layout, partition, staying[i].region)) continue;
      if (!best || free[i] > free[*best]) best = i;
    }
    if (!best) continue;
    free[*best] -= 1;
    gifts.push_back({slice, AsHeir(staying[*best])});
  }
  return gifts;
}

}  // namespace bulrushway
