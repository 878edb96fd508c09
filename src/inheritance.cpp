#include "inheritance.h"

#include <algorithm>

namespace bulrushway {
namespace {

/// Time between two rounds about one term.
constexpr std::chrono::milliseconds kAskInterval{300};
/// By how much a later heir waits longer before it asks, so that heirs do not disturb each other.
constexpr std::chrono::milliseconds kHeirStagger{100};
/// For this long after a notice, a round that finds the term alive does not end the suspicion.
constexpr std::chrono::milliseconds kNoticeHolds{1000};
/// Records kept at most.
constexpr size_t kMaxRecords = 4096;

std::chrono::milliseconds DelayOf(const term_record& record, const node_name& self) {
  for (const slice_gift& gift : record.gifts) {
    if (gift.receiver.term.node == self) return std::chrono::milliseconds{0};
  }
  int position = 0;
  for (const heir& entry : record.heirs) {
    if (entry.term.node == self) break;
    ++position;
  }
  return position * kHeirStagger;
}

}  // namespace

void inheritance::OnLapse(instant now, const node_name& self, const lapse_notice& notice) {
  if (entries_.size() >= kMaxRecords && !entries_.contains(notice.record.id)) return;
  entry& known = entries_[notice.record.id];
  if (!known.suspect) known.suspect_since = now;
  known.suspect = true;
  known.last_notice = now;
  // A witness's copy lacks late heirs that the table has.
  if (known.record.late_heirs.empty()) known.record = notice.record;
  known.active = known.active || notice.active;
  known.delay = DelayOf(notice.record, self);
}

void inheritance::OnRelease(const release_notice& notice) {
  if (entries_.size() >= kMaxRecords && !entries_.contains(notice.record.id)) return;
  entry& known = entries_[notice.record.id];
  known.record = notice.record;
  known.active = true;
  known.released.insert(notice.released.begin(), notice.released.end());
}

void inheritance::OnAlive(instant now, const term_id& term) {
  const auto found = entries_.find(term);
  if (found == entries_.end()) return;
  // A notice that came while the round ran may be newer than its answers.
  if (now - found->second.last_notice < kNoticeHolds) return;
  found->second.suspect = false;
  if (found->second.released.empty()) entries_.erase(found);
}

void inheritance::AskPaced(instant now, const term_id& term,
                           const std::vector<node_name>& witnesses, attestor& rounds, outbox& out) {
  const auto last = last_asked_.find(term);
  if (last != last_asked_.end() && now - last->second < kAskInterval) return;
  if (last_asked_.size() > kMaxRecords) last_asked_.clear();
  last_asked_[term] = now;
  rounds.Ask(now, term, witnesses, false, now, out);
}

bool inheritance::Mine(const own_terms& own, const heir& holder) const {
  if (own.active_number == 0 || holder.term.node != own.node) return false;
  return holder.term.number >= own.first_number && holder.term.number <= own.active_number;
}

bool inheritance::ProvenActive(instant now, entry& known, const term_outcomes& outcomes,
                               attestor& rounds, outbox& out) {
  if (known.active || known.record.predecessor == 0) return true;
  const term_id before{known.record.id.node, known.record.predecessor};
  if (const term_record* next = outcomes.Next(before)) {
    known.active = next->id == known.record.id;
    return known.active;
  }
  if (!outcomes.Gone(before)) {
    AskPaced(now, before, known.record.predecessor_witnesses, rounds, out);
  }
  return false;
}

void inheritance::EvaluateReleased(const own_terms& own, const entry& known,
                                   std::vector<slice_epoch>& taken) const {
  for (const slice_gift& gift : known.record.gifts) {
    if (!Mine(own, gift.receiver)) continue;
    const bool released = known.released.contains(gift.slice) || !rules_.receiver_waits_for_release;
    const std::optional<uint64_t> epoch = EpochOf(known.record, gift.slice);
    if (released && epoch) taken.push_back({gift.slice, *epoch});
  }
}

void inheritance::EvaluateGone(instant now, const own_terms& own, entry& known,
                               const term_outcomes& outcomes, attestor& rounds,
                               std::vector<slice_epoch>& taken, outbox& out) {
  known.orphans.clear();
  for (const slice_epoch& listed : known.record.slices) {
    const std::optional<custodian> found =
        HolderOf(layout_, outcomes, known.record, listed.slice, known.passed);
    if (!found) {
      known.orphans.push_back(listed.slice);
    } else if (found->recorded_elsewhere) {
      continue;
    } else if (Mine(own, found->holder)) {
      taken.push_back({listed.slice, found->epoch});
    } else {
      AskPaced(now, found->holder.term, found->holder.witnesses, rounds, out);
    }
  }
}

std::vector<slice_epoch> inheritance::Evaluate(instant now, const own_terms& own,
                                               const term_outcomes& outcomes, attestor& rounds,
                                               outbox& out) {
  std::vector<slice_epoch> taken;
  for (auto& [term, known] : entries_) {
    if (outcomes.Next(term) != nullptr) continue;
    if (known.suspect && now - known.suspect_since < known.delay && !outcomes.Gone(term)) continue;
    if (!ProvenActive(now, known, outcomes, rounds, out)) continue;
    if (outcomes.Gone(term)) {
      EvaluateGone(now, own, known, outcomes, rounds, taken, out);
      continue;
    }
    EvaluateReleased(own, known, taken);
    if (known.suspect) AskPaced(now, term, known.record.witnesses, rounds, out);
  }
  return taken;
}

bool inheritance::AllRecorded(const own_terms& own, const entry& known,
                              const term_outcomes& outcomes,
                              const std::function<bool(const slice_epoch&)>& recorded) const {
  const auto& slices = known.record.slices;
  return std::all_of(slices.begin(), slices.end(), [&](const slice_epoch& listed) {
    const auto found = HolderOf(layout_, outcomes, known.record, listed.slice, known.passed);
    if (!found) return false;
    if (found->recorded_elsewhere) return true;
    return Mine(own, found->holder) && recorded({listed.slice, found->epoch});
  });
}

std::vector<term_id> inheritance::Settle(const own_terms& own, const term_outcomes& outcomes,
                                         const std::function<bool(const slice_epoch&)>& recorded) {
  std::vector<term_id> unneeded;
  std::vector<term_id> settled;
  for (const auto& [term, known] : entries_) {
    const term_id before{term.node, known.record.predecessor};
    const term_record* rival = outcomes.Next(before);
    const bool is_void = known.record.predecessor != 0 && !known.active &&
                         (outcomes.Gone(before) || (rival != nullptr && rival->id != term));
    if (is_void || outcomes.Next(term) != nullptr) {
      settled.push_back(term);
      if (is_void) unneeded.push_back(term);
      continue;
    }
    if (!outcomes.Gone(term)) continue;
    if (!known.active && known.record.predecessor != 0) continue;
    if (!AllRecorded(own, known, outcomes, recorded)) continue;
    settled.push_back(term);
    unneeded.push_back(term);
  }
  for (const term_id& term : settled) {
    entries_.erase(term);
    last_asked_.erase(term);
  }
  return unneeded;
}

std::vector<term_record> inheritance::Orphans() const {
  std::vector<term_record> orphans;
  for (const auto& [term, known] : entries_) {
    if (!known.orphans.empty()) orphans.push_back(known.record);
  }
  return orphans;
}

bool inheritance::HasOrphanFor(const term_id& term, const std::string& region) const {
  const auto found = entries_.find(term);
  if (found == entries_.end()) return false;
  const auto& orphans = found->second.orphans;
  return std::any_of(orphans.begin(), orphans.end(),
                     [&](slice_number slice) { return SliceAllowed(layout_, slice, region); });
}

void inheritance::PassOver(const term_id& ended, const std::vector<term_record>& rows) {
  std::set<term_id> present;
  for (const term_record& row : rows) present.insert(row.id);
  std::erase_if(entries_, [&](const auto& item) { return !present.contains(item.first); });
  for (auto& item : entries_) {
    entry& known = item.second;
    for (const slice_epoch& listed : known.record.slices) {
      // A receiver records the very epoch that the giver listed, an heir a later one.
      const bool given = GiftOf(known.record, listed.slice) != nullptr;
      const uint64_t taken_epoch = given ? listed.epoch : listed.epoch + 1;
      const bool taken = std::any_of(rows.begin(), rows.end(), [&](const term_record& row) {
        return row.id != known.record.id && EpochOf(row, listed.slice).value_or(0) >= taken_epoch;
      });
      if (!taken) known.passed.insert({ended, listed.slice});
    }
  }
}

void inheritance::Refresh(const term_record& record) {
  const auto found = entries_.find(record.id);
  if (found == entries_.end()) return;
  found->second.record = record;
  found->second.orphans.clear();
}

}  // namespace bulrushway
