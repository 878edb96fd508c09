#include "custody.h"

#include <algorithm>

namespace bulrushway {

void term_outcomes::NoteOrder(const term_id& term) {
  order_.push_back(term);
  if (order_.size() <= kMaxKnownOutcomes) return;
  gone_.erase(order_.front());
  next_.erase(order_.front());
  order_.pop_front();
}

void term_outcomes::NoteGone(const term_id& term) {
  if (gone_.insert(term).second) NoteOrder(term);
}

void term_outcomes::NoteSuperseded(const term_id& term, const term_record& next) {
  if (next_.emplace(term, next).second) NoteOrder(term);
}

const term_record* term_outcomes::Next(const term_id& term) const {
  const auto found = next_.find(term);
  return found == next_.end() ? nullptr : &found->second;
}

std::vector<heir> ChainOf(const slice_layout& layout, const term_record& record,
                          slice_number slice) {
  std::vector<heir> chain;
  if (const slice_gift* gift = GiftOf(record, slice)) chain.push_back(gift->receiver);
  chain.push_back({record.id, record.region, record.witnesses});
  std::vector<heir> heirs;
  for (const heir& entry : record.heirs) {
    if (SliceAllowed(layout, slice, entry.region)) heirs.push_back(entry);
  }
  if (!heirs.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(slice % heirs.size());
    std::rotate(heirs.begin(), heirs.begin() + first, heirs.end());
  }
  chain.insert(chain.end(), heirs.begin(), heirs.end());
  for (const heir& entry : record.late_heirs) {
    if (SliceAllowed(layout, slice, entry.region)) chain.push_back(entry);
  }
  return chain;
}

std::optional<custodian> HolderOf(const slice_layout& layout, const term_outcomes& outcomes,
                                  const term_record& record, slice_number slice,
                                  const passed_members& passed) {
  const std::optional<uint64_t> listed = EpochOf(record, slice);
  if (!listed) return std::nullopt;
  uint64_t epoch = *listed;
  for (heir member : ChainOf(layout, record, slice)) {
    while (const term_record* next = outcomes.Next(member.term)) {
      const std::optional<uint64_t> later = EpochOf(*next, slice);
      member = {next->id, next->region, next->witnesses};
      if (later && *later >= epoch) return custodian{member, *later, true};
    }
    const bool over = outcomes.Gone(member.term) || passed.contains({member.term, slice});
    if (!over) return custodian{member, epoch, false};
    ++epoch;
  }
  return std::nullopt;
}

}  // namespace bulrushway
