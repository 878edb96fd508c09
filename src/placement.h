#ifndef BULRUSHWAY_PLACEMENT_H
#define BULRUSHWAY_PLACEMENT_H

// Where things are placed: the witnesses and heirs of a node, and which slices move when nodes join
// or leave. Choices rank candidates by a hash of both names, so that they are stable, spread evenly
// over the fleet, and need no agreement.

#include <string>
#include <vector>

#include "ownership_types.h"
#include "slice.h"
#include "term.h"

namespace bulrushway {

/// Witnesses of a term.
constexpr size_t kWitnessCount = 3;

/// Up to three witnesses: the own data centre in another rack, a sister data centre of the region,
/// another region; whatever comes nearest when such nodes are missing. Members of `current` that
/// are as good as any other are kept. With two other nodes the node itself is the third.
std::vector<node_name> ChooseWitnesses(const ownership_settings& self,
                                       const std::vector<member>& members,
                                       const std::vector<node_name>& current);

/// Heirs: at least two in the own region, none in the own rack if possible. Nodes of `current` that
/// are still members are kept, with their latest terms.
std::vector<heir> ChooseHeirs(const ownership_settings& self, const std::vector<member>& members,
                              const std::vector<heir>& current);

/// The number of slices of the partition that the node should hold, by weight, among the members
/// that may hold them. `members` has the node itself.
double FairShare(const slice_layout& layout, const std::vector<member>& members, const member& node,
                 uint32_t partition);

/// How many slices of the partition the node holds.
uint32_t SlicesIn(const member& node, uint32_t partition);

/// How many slices of each partition one donor is asked for.
struct donor_share {
  node_name donor;
  std::vector<uint32_t> partition_counts;
};

/// The donors that a node with fewer slices than its share of a partition asks, those with the
/// largest surplus first, so that as few slices as possible move. `members` has the node itself.
std::vector<donor_share> ChooseDonors(const slice_layout& layout,
                                      const std::vector<member>& members, const member& self);

/// A receiver for each of the slices of a leaving node, by free share; slices that no member may
/// hold are left out.
std::vector<slice_gift> ChooseReceivers(const slice_layout& layout,
                                        const std::vector<member>& members, const node_name& giver,
                                        const std::vector<slice_number>& slices);

/// Whether the two lists name the same processes, whatever their terms.
bool SameProcesses(const std::vector<heir>& chosen, const std::vector<heir>& current,
                   const std::vector<member>& members);

/// The member as an heir or receiver.
heir AsHeir(const member& node);

}  // namespace bulrushway

#endif  // BULRUSHWAY_PLACEMENT_H
