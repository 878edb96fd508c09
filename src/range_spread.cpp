#include "range_spread.h"

#include <algorithm>

namespace bulrushway {
namespace {

constexpr uint32_t kAllKeys = kLastKey + 1;
// Keys are only moved to balance when an owner has this much more, and another this much less, than
// its share: each move makes its keys unavailable for about a second.
constexpr double kClearlyMore = 1.25;
constexpr double kClearlyLess = 0.6;

const range_owner& OwnerWithFewestKeys(const key_map& map, const std::vector<range_owner>& owners) {
  return *std::min_element(owners.begin(), owners.end(),
                           [&map](const range_owner& a, const range_owner& b) {
                             return map.WidthOf(a.node) < map.WidthOf(b.node);
                           });
}

}  // namespace

void SpreadOver(key_map& map, const key_range& keys, const std::string& handover,
                const std::vector<range_owner>& owners) {
  if (owners.empty()) return;
  const uint32_t share =
      (kAllKeys + static_cast<uint32_t>(owners.size()) - 1) / static_cast<uint32_t>(owners.size());
  uint32_t first = keys.first;
  while (first <= keys.last) {
    const range_owner& owner = OwnerWithFewestKeys(map, owners);
    const uint32_t has = map.WidthOf(owner.node);
    const uint32_t left = keys.last - first + 1;
    // The last owner below its share takes the rest, so that no slivers arise.
    const uint32_t room = has < share ? share - has : left;
    const uint32_t width = std::min(left, std::max(room, kAllKeys / 64));
    Reassign(map, {first, first + width - 1}, owner, handover);
    first += width;
  }
}

namespace {

// A piece may be this much busier than what its new owner is to take.
constexpr double kOverfill = 1.4;
// Pieces below this share of what the new owner is to take are not worth a move.
constexpr double kUnderfill = 0.3;

// The next group of keys of a range, or what the range has of it.
key_range NextGroup(const key_range& range, uint32_t from) {
  const uint32_t end = from / key_heat::kGroup * key_heat::kGroup + key_heat::kGroup - 1;
  return {from, std::min(range.last, end)};
}

}  // namespace

std::vector<balancing_move> PlanRelief(instant now, const std::vector<key_range>& own,
                                       const key_heat& heat,
                                       const std::vector<relief_owner>& owners) {
  std::vector<balancing_move> moves;
  auto to = owners.begin();
  for (const key_range& range : own) {
    std::optional<key_range> piece;
    double rate = 0;
    const auto close = [&] {
      if (piece && to != owners.end() && rate >= to->rate * kUnderfill) {
        moves.push_back({*piece, to->owner});
        ++to;
      }
      piece.reset();
      rate = 0;
    };
    for (uint32_t from = range.first; from <= range.last && to != owners.end();) {
      const key_range group = NextGroup(range, from);
      const double group_rate = heat.Rate(now, group);
      from = group.last + 1;
      if (rate + group_rate > to->rate * kOverfill) {
        close();
        // Too busy for this owner by itself: it stays where it is.
        if (to == owners.end() || group_rate > to->rate * kOverfill) continue;
      }
      piece = key_range{piece ? piece->first : group.first, group.last};
      rate += group_rate;
      if (rate >= to->rate) close();
    }
    close();
  }
  return moves;
}

std::optional<balancing_move> ChooseBalancingMove(const key_map& map, const range_owner& self,
                                                  const std::vector<range_owner>& owners) {
  if (owners.size() < 2) return std::nullopt;
  const double share = static_cast<double>(kAllKeys) / static_cast<double>(owners.size());
  const uint32_t mine = map.WidthOf(self.node);
  const range_owner& poorest = OwnerWithFewestKeys(map, owners);
  const uint32_t theirs = map.WidthOf(poorest.node);
  if (poorest.node == self.node || mine < share * kClearlyMore || theirs > share * kClearlyLess) {
    return std::nullopt;
  }
  const auto surplus = static_cast<uint32_t>(mine - share);
  const auto gap = static_cast<uint32_t>(share - theirs);
  const uint32_t wanted = std::min(surplus, gap);
  // The last range of this owner gives keys away from its end.
  for (auto range = map.ranges.rbegin(); range != map.ranges.rend(); ++range) {
    if (range->owner != self) continue;
    const uint32_t width = std::min(wanted, range->keys.Width());
    if (width == 0) return std::nullopt;
    return balancing_move{{range->keys.last - width + 1, range->keys.last}, poorest};
  }
  return std::nullopt;
}

}  // namespace bulrushway
