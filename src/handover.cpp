#include "handover.h"

#include <algorithm>
#include <set>

namespace bulrushway {
namespace {

constexpr std::chrono::milliseconds kTellInterval{300};
constexpr std::chrono::milliseconds kCheckInterval{1000};

}  // namespace

const heir* handover::ReceiverOf(slice_number slice) const {
  const auto found = outgoing_.find(slice);
  return found == outgoing_.end() ? nullptr : &found->second.receiver;
}

void handover::Clear() {
  planned_.clear();
  outgoing_.clear();
}

void handover::Compose(const std::map<slice_number, uint64_t>& held, term_record& record) const {
  for (const auto& [slice, epoch] : held) {
    const auto plan = planned_.find(slice);
    const bool given = plan != planned_.end();
    record.slices.push_back({slice, given ? epoch + 1 : epoch});
    if (given) record.gifts.push_back({slice, plan->second});
  }
  for (const auto& [slice, out] : outgoing_) {
    record.slices.push_back({slice, out.epoch});
    record.gifts.push_back({slice, out.receiver});
  }
  std::sort(record.slices.begin(), record.slices.end());
}

std::vector<slice_number> handover::OnActive(const term_record& record) {
  std::vector<slice_number> given;
  for (const slice_gift& gift : record.gifts) {
    if (outgoing_.contains(gift.slice)) continue;
    const std::optional<uint64_t> epoch = EpochOf(record, gift.slice);
    if (!epoch || !planned_.contains(gift.slice)) continue;
    planned_.erase(gift.slice);
    outgoing& out = outgoing_[gift.slice];
    out.receiver = gift.receiver;
    out.epoch = *epoch;
    out.since_number = record.id.number;
    given.push_back(gift.slice);
  }
  tell_now_ = true;
  return given;
}

void handover::OnTaken(const taken_notice& notice) {
  for (const slice_number slice : notice.slices) {
    const auto found = outgoing_.find(slice);
    if (found == outgoing_.end() || !found->second.released) continue;
    if (notice.giver.number >= found->second.since_number) outgoing_.erase(found);
  }
}

void handover::Release(instant now, const in_flight_query& in_flight) {
  for (auto& [slice, out] : outgoing_) {
    if (!out.listed) out.listed_at = now;
    out.listed = true;
    if (out.released || in_flight(slice) > 0) continue;
    out.released = true;
    tell_now_ = true;
  }
}

void handover::Tell(instant now, const term_record& active, outbox& out) {
  if (!tell_now_ && now - last_told_ < kTellInterval) return;
  tell_now_ = false;
  last_told_ = now;
  std::map<node_name, release_notice> notices;
  for (const auto& [slice, gone_out] : outgoing_) {
    if (!gone_out.released) continue;
    release_notice& notice = notices[gone_out.receiver.term.node];
    notice.record = active;
    notice.released.push_back(slice);
  }
  for (const auto& [node, notice] : notices) out.Send(node, notice);
}

std::vector<slice_epoch> handover::CheckReceivers(instant now, const term_record& active,
                                                  const term_outcomes& outcomes, attestor& rounds,
                                                  outbox& out) {
  std::vector<slice_epoch> returned;
  std::vector<slice_number> recorded;
  std::set<term_id> asked;
  const bool ask = now - last_checked_ >= kCheckInterval;
  if (ask) last_checked_ = now;
  for (const auto& [slice, gone_out] : outgoing_) {
    if (now - gone_out.listed_at < kCheckInterval) continue;
    const auto holder = HolderOf(layout_, outcomes, active, slice);
    if (!holder) continue;
    if (holder->recorded_elsewhere) {
      recorded.push_back(slice);
    } else if (holder->holder.term == active.id) {
      returned.push_back({slice, holder->epoch});
    } else if (ask && asked.insert(holder->holder.term).second) {
      rounds.Ask(now, holder->holder.term, holder->holder.witnesses, false, now, out);
    }
  }
  for (const slice_number slice : recorded) outgoing_.erase(slice);
  for (const slice_epoch& entry : returned) outgoing_.erase(entry.slice);
  return returned;
}

std::vector<slice_epoch> handover::Tick(instant now, const term_record& active,
                                        const term_outcomes& outcomes,
                                        const in_flight_query& in_flight, attestor& rounds,
                                        outbox& out) {
  if (outgoing_.empty()) return {};
  Release(now, in_flight);
  Tell(now, active, out);
  return CheckReceivers(now, active, outcomes, rounds, out);
}

}  // namespace bulrushway
