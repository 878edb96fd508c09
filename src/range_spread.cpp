#include "range_spread.h"

#include <algorithm>

namespace bulrushway {
namespace {

constexpr uint32_t kKeyCount = kLastKey + 1;
// Keys are moved for balance only if one owner has at least kSurplusRatio times its share and
// another at most kDeficitRatio times its share: a move makes its keys unavailable for about a
// second.
constexpr double kSurplusRatio = 1.25;
constexpr double kDeficitRatio = 0.6;

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
      (kKeyCount + static_cast<uint32_t>(owners.size()) - 1) / static_cast<uint32_t>(owners.size());
  uint32_t first = keys.first;
  while (first <= keys.last) {
    const range_owner& owner = OwnerWithFewestKeys(map, owners);
    const uint32_t owned = map.WidthOf(owner.node);
    const uint32_t remaining = keys.last - first + 1;
    // If no owner is below its share, one takes the whole rest. A minimum width avoids slivers.
    const uint32_t missing = owned < share ? share - owned : remaining;
    const uint32_t width = std::min(remaining, std::max(missing, kKeyCount / 64));
    Reassign(map, {first, first + width - 1}, owner, handover);
    first += width;
  }
}

namespace {

// Highest rate of a piece, as a multiple of the rate that its receiver is to take.
constexpr double kMaxFill = 1.4;
// Lowest rate of a piece, as a share of the rate that its receiver is to take. Smaller pieces are
// not moved.
constexpr double kMinFill = 0.3;

// Returns the part of `range` from key `from` to the end of that key's group.
key_range NextGroup(const key_range& range, uint32_t from) {
  const uint32_t end =
      from / key_rates::kGroupSize * key_rates::kGroupSize + key_rates::kGroupSize - 1;
  return {from, std::min(range.last, end)};
}

}  // namespace

std::vector<key_move> PlanRelief(instant now, const std::vector<key_range>& own_ranges,
                                 const key_rates& rates,
                                 const std::vector<load_receiver>& receivers) {
  std::vector<key_move> moves;
  auto receiver = receivers.begin();
  for (const key_range& range : own_ranges) {
    std::optional<key_range> piece;
    double rate = 0;
    const auto finish_piece = [&] {
      if (piece && receiver != receivers.end() && rate >= receiver->rate * kMinFill) {
        moves.push_back({*piece, receiver->owner});
        ++receiver;
      }
      piece.reset();
      rate = 0;
    };
    for (uint32_t from = range.first; from <= range.last && receiver != receivers.end();) {
      const key_range group = NextGroup(range, from);
      const double group_rate = rates.Rate(now, group);
      from = group.last + 1;
      if (rate + group_rate > receiver->rate * kMaxFill) {
        finish_piece();
        // The group alone is too busy for this receiver, so it stays with its owner.
        if (receiver == receivers.end() || group_rate > receiver->rate * kMaxFill) continue;
      }
      piece = key_range{piece ? piece->first : group.first, group.last};
      rate += group_rate;
      if (rate >= receiver->rate) finish_piece();
    }
    finish_piece();
  }
  return moves;
}

std::optional<key_move> ChooseBalancingMove(const key_map& map, const range_owner& self,
                                            const std::vector<range_owner>& owners) {
  if (owners.size() < 2) return std::nullopt;
  const double share = static_cast<double>(kKeyCount) / static_cast<double>(owners.size());
  const uint32_t own_width = map.WidthOf(self.node);
  const range_owner& smallest = OwnerWithFewestKeys(map, owners);
  const uint32_t smallest_width = map.WidthOf(smallest.node);
  if (smallest.node == self.node || own_width < share * kSurplusRatio ||
      smallest_width > share * kDeficitRatio) {
    return std::nullopt;
  }
  const auto surplus = static_cast<uint32_t>(own_width - share);
  const auto gap = static_cast<uint32_t>(share - smallest_width);
  const uint32_t wanted = std::min(surplus, gap);
  // The keys are cut from the end of the owner's last range.
  for (auto range = map.ranges.rbegin(); range != map.ranges.rend(); ++range) {
    if (range->owner != self) continue;
    const uint32_t width = std::min(wanted, range->keys.Width());
    if (width == 0) return std::nullopt;
    return key_move{{range->keys.last - width + 1, range->keys.last}, smallest};
  }
  return std::nullopt;
}

}  // namespace bulrushway
