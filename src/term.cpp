#include "term.h"

#include <algorithm>

namespace bulrushway {

std::optional<uint64_t> EpochOf(const term_record& record, slice_number slice) {
  const auto found = std::lower_bound(
      record.slices.begin(), record.slices.end(), slice,
      [](const slice_epoch& entry, slice_number wanted) { return entry.slice < wanted; });
  if (found == record.slices.end() || found->slice != slice) return std::nullopt;
  return found->epoch;
}

const slice_gift* GiftOf(const term_record& record, slice_number slice) {
  for (const slice_gift& gift : record.gifts) {
    if (gift.slice == slice) return &gift;
  }
  return nullptr;
}

std::string ToString(const term_id& term) { return term.node + "/" + std::to_string(term.number); }

}  // namespace bulrushway
