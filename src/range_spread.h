#ifndef BULRUSHWAY_RANGE_SPREAD_H
#define BULRUSHWAY_RANGE_SPREAD_H

// Chooses new owners for keys that move: by number of keys in as few pieces as possible, or by
// request rate to relieve a busy owner.

#include <optional>
#include <string>
#include <vector>

#include "key_map.h"
#include "key_rates.h"

namespace bulrushway {

/// Assigns the keys to the owners with the fewest keys, in pieces that bring each up to its share.
void SpreadOver(key_map& map, const key_range& keys, const std::string& handover,
                const std::vector<range_owner>& owners);

/// Keys to move, and their new owner.
struct key_move {
  key_range keys;
  range_owner new_owner;
};

/// An owner that can take load from a busy one.
struct load_receiver {
  range_owner owner;
  /// Requests per second that it is to take.
  double rate = 0;
};

/// Plans moves that relieve an overloaded owner. Cuts its ranges, in order, into pieces that each
/// have about the rate that the next receiver is to take. A group of keys whose rate is too high
/// for the receiver stays with its owner.
std::vector<key_move> PlanRelief(instant now, const std::vector<key_range>& own_ranges,
                                 const key_rates& rates,
                                 const std::vector<load_receiver>& receivers);

/// Returns the move that brings `self` closest to an even share of the keys; nullopt unless `self`
/// has clearly more than its share and another owner clearly less.
std::optional<key_move> ChooseBalancingMove(const key_map& map, const range_owner& self,
                                            const std::vector<range_owner>& owners);

}  // namespace bulrushway

#endif  // BULRUSHWAY_RANGE_SPREAD_H
