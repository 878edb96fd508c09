#ifndef BULRUSHWAY_RANGE_SPREAD_H
#define BULRUSHWAY_RANGE_SPREAD_H

// How keys are divided between owners when they have to move: evenly by the number of keys, in as
// few pieces as possible.

#include <optional>
#include <string>
#include <vector>

#include "key_map.h"
#include "key_rates.h"

namespace bulrushway {

/// Gives the keys to the owners that have the fewest, in pieces that bring each up to its share.
void SpreadOver(key_map& map, const key_range& keys, const std::string& handover,
                const std::vector<range_owner>& owners);

/// Keys that go to another owner.
struct key_move {
  key_range keys;
  range_owner new_owner;
};

/// An owner that can take load over.
struct load_receiver {
  range_owner owner;
  /// Requests per second that are to go there.
  double rate = 0;
};

/// Divides the load of an owner that has too much: pieces of its ranges, in their order, each with
/// about the rate that its new owner is to take. A group of keys that is too busy for a new owner
/// stays.
std::vector<key_move> PlanRelief(instant now, const std::vector<key_range>& own_ranges,
                                 const key_rates& rates,
                                 const std::vector<load_receiver>& receivers);

/// The move that brings `self` closest to its share, if it has clearly more than that and another
/// of the owners has clearly less.
std::optional<key_move> ChooseBalancingMove(const key_map& map, const range_owner& self,
                                            const std::vector<range_owner>& owners);

}  // namespace bulrushway

#endif  // BULRUSHWAY_RANGE_SPREAD_H
