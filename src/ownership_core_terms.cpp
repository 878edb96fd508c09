// How the ownership core goes from one term to the next: the first term of a process, take-over,
// planned moves and the choice of witnesses and heirs.

#include <algorithm>
#include <cmath>

#include "ownership_core.h"
#include "placement.h"

namespace bulrushway {
namespace {

/// A change waits this long for others to join it.
constexpr std::chrono::milliseconds kChangeDelay{100};
/// Witnesses and heirs are replaced only when gossip misses them for this long.
constexpr std::chrono::milliseconds kPlacementDelay{2000};
constexpr std::chrono::milliseconds kPauseAfterChange{300};
constexpr std::chrono::milliseconds kPauseAfterConflict{500};
constexpr std::chrono::milliseconds kPauseAfterDuplicate{5000};
/// A written term that gains no lease for this long is given up for a later one.
constexpr std::chrono::milliseconds kLeasePatience{3000};
constexpr std::chrono::milliseconds kRequestInterval{3000};
constexpr int64_t kRequestJitterMs = 1000;
/// A leaving node waits this long for a receiver of slices that nobody else may hold.
constexpr std::chrono::milliseconds kStopPatience{5000};
/// Pause between two notes in the node's row.
constexpr std::chrono::milliseconds kNoteInterval{1000};
/// Rows deleted in one transaction at most.
constexpr size_t kDeleteBatch = 32;

}  // namespace

void ownership_core::AdvancePhase(instant now) {
  if (const auto activated = tenure_.TakeActivation()) OnActivation(now, *activated);
  switch (phase_) {
    case ownership_phase::kIdle:
    case ownership_phase::kStopped:
      return;
    case ownership_phase::kStarting:
      startup_.Tick(now, store_, outcomes_, rounds_, out_);
      if (startup_.Ready() && members_known_) WriteFirstTerm(now);
      return;
    case ownership_phase::kWriting:
      if (store_.state() == term_store_state::kConflict) Restart(now);
      if (store_.state() != term_store_state::kApplied) return;
      store_.Cancel();
      tenure_.Propose(now, *writing_);
      latest_number_ = writing_->id.number;
      phase_ = ownership_phase::kGainingLease;
      return;
    case ownership_phase::kGainingLease:
      if (!tenure_.Changing() || now - tenure_.ProposedAt() >= kLeasePatience) {
        Leave(now, "the first term gained no lease");
      }
      return;
    case ownership_phase::kServing:
      break;
  }
  if (leaving_) GiveAway(now);
  if (stopping_) FinishStop(now);
  if (phase_ != ownership_phase::kServing) return;
  AdvanceChange(now);
  AskForSlices(now);
  const heir self = settings_.owner_capable ? AsHeir(SelfMember()) : heir{};
  recovery_.Tick(now, self, members_, inheritance_, random_, out_);
}

void ownership_core::WriteFirstTerm(instant now) {
  first_number_ = startup_.FirstNumber();
  // An earlier process of this node may have left slices whose heirs are all gone.
  if (const auto& previous = startup_.Previous()) {
    inheritance_.OnLapse(now, settings_.node, {*previous, false});
    const bool is_void =
        previous->predecessor != 0 && previous->predecessor == ended_active_number_;
    if (is_void) unneeded_rows_.push_back(previous->id);
  }
  term_record record = ComposeTerm(first_number_);
  std::vector<table_condition> conditions;
  std::vector<table_write> writes;
  for (const uint32_t partition : startup_.UnclaimedPartitions()) {
    if (!settings_.owner_capable) break;
    const std::string key = GenesisKey(settings_.service, partition);
    conditions.push_back({key, 0});
    writes.push_back({key, ToString(record.id)});
    const uint32_t first = partition * settings_.layout.slices_per_partition;
    for (uint32_t i = 0; i < settings_.layout.slices_per_partition; ++i) {
      record.slices.push_back({first + i, 1});
    }
  }
  writing_ = record;
  phase_ = ownership_phase::kWriting;
  store_.Commit(now, record, {first_number_, startup_.NotedNumber(), settings_.address},
                std::move(conditions), std::move(writes), out_);
}

void ownership_core::OnActivation(instant now, const tenure::activation& activated) {
  const term_record& record = activated.active;
  out_.Log(ownership_event::kTermActive,
           ToString(record.id) + " with " + std::to_string(record.slices.size()) + " slices");
  claim_changed_ = true;
  next_change_at_ = now + kPauseAfterChange;
  next_note_at_ = now;
  change_wanted_since_.reset();
  if (!activated.replaced) {
    phase_ = ownership_phase::kServing;
    Acquire(record.slices, "first owner");
    return;
  }
  outcomes_.NoteSuperseded(activated.replaced->id, record);
  unneeded_rows_.push_back(activated.replaced->id);
  slices_lost_action lost;
  lost.slices = handover_.OnActive(record);
  for (const slice_number slice : lost.slices) {
    held_.erase(slice);
    seen_[slice] = *EpochOf(record, slice);
  }
  if (!lost.slices.empty()) out_.Add(lost);
}

void ownership_core::TakeOver(instant now) {
  const own_terms own = OwnTerms();
  Acquire(inheritance_.Evaluate(now, own, outcomes_, rounds_, out_), "take-over or move");
  if (const term_record* active = tenure_.Active()) {
    Acquire(handover_.Tick(now, *active, outcomes_, in_flight_, rounds_, out_), "receiver gone");
  }
  const auto recorded = [this](const slice_epoch& entry) { return RecordedHere(entry); };
  for (const term_id& term : inheritance_.Settle(own, outcomes_, recorded)) {
    unneeded_rows_.push_back(term);
  }
}

void ownership_core::Acquire(const std::vector<slice_epoch>& slices, const std::string& how) {
  if (tenure_.Active() == nullptr || tenure_.Lapsed()) return;
  size_t count = 0;
  for (const slice_epoch& entry : slices) {
    const auto seen = seen_.find(entry.slice);
    if (seen != seen_.end() && seen->second >= entry.epoch) continue;
    if (!SliceAllowed(settings_.layout, entry.slice, settings_.region)) continue;
    seen_[entry.slice] = entry.epoch;
    held_[entry.slice] = entry.epoch;
    gained_.push_back(entry);
    ++count;
  }
  if (count == 0) return;
  claim_changed_ = true;
  out_.Log(ownership_event::kTakeOver, std::to_string(count) + " slices: " + how);
}

void ownership_core::AdvanceChange(instant now) {
  switch (store_.state()) {
    case term_store_state::kIdle:
      if (ChangeIsWanted(now) || NoteIsWanted(now)) store_.Begin(now, out_);
      return;
    case term_store_state::kRead:
      WriteNextTerm(now);
      return;
    case term_store_state::kApplied:
      OnApplied(now);
      return;
    case term_store_state::kConflict:
      store_.Cancel();
      noting_.reset();
      deleting_count_ = 0;
      next_change_at_ = now + kPauseAfterConflict;
      return;
    case term_store_state::kReading:
    case term_store_state::kCommitting:
    case term_store_state::kReadingBack:
      return;
  }
}

void ownership_core::WriteNextTerm(instant now) {
  const auto& row = store_.view().row;
  const bool moved = row && row->address != settings_.address;
  if (!row || row->latest_number != latest_number_ || moved) {
    store_.Cancel();
    next_change_at_ = now + kPauseAfterDuplicate;
    out_.Log(moved ? ownership_event::kAddressChanged : ownership_event::kDuplicateNode,
             "the row of node " + settings_.node + " was changed by another process");
    return;
  }
  if (!ChangeIsWanted(now)) {
    WriteNote(now);
    return;
  }
  writing_ = ComposeTerm(latest_number_ + 1);
  store_.Commit(now, *writing_,
                {writing_->id.number, tenure_.Active()->id.number, settings_.address}, {},
                TakeDeletions(), out_);
}

bool ownership_core::ChangeIsWanted(instant now) {
  const term_record* active = tenure_.Active();
  if (active == nullptr || now < next_change_at_) return false;
  if (tenure_.Changing()) {
    return tenure_.NextIsReplaceable() && now - tenure_.ProposedAt() >= kLeasePatience;
  }
  const bool unrecorded = std::any_of(held_.begin(), held_.end(), [&](const auto& entry) {
    return !RecordedHere({entry.first, entry.second});
  });
  const bool urgent = unrecorded || handover_.HasPlans() || tenure_.LostWitness();
  if (!urgent && !PlacementIsStale()) {
    change_wanted_since_.reset();
    return false;
  }
  if (!change_wanted_since_) change_wanted_since_ = now;
  return now - *change_wanted_since_ >= (urgent ? kChangeDelay : kPlacementDelay);
}

bool ownership_core::PlacementIsStale() {
  const term_record& active = *tenure_.Active();
  // The answer changes with the members or the term only, and looking through all members at each
  // tick would cost more than everything else that the core does.
  if (placement_ && placement_->term == active.id) return placement_->stale;
  bool stale = ChooseWitnesses(settings_, members_, active.witnesses) != active.witnesses;
  if (!stale) {
    const std::vector<heir> chosen = ChooseHeirs(settings_, members_, active.heirs);
    stale = !SameProcesses(chosen, active.heirs, members_);
  }
  placement_ = placement_check{active.id, stale};
  return stale;
}

term_record ownership_core::ComposeTerm(uint64_t number) const {
  const term_record none;
  const term_record& active = tenure_.Active() != nullptr ? *tenure_.Active() : none;
  term_record record;
  record.id = {settings_.node, number};
  record.service = settings_.service;
  record.region = settings_.region;
  record.witnesses = ChooseWitnesses(settings_, members_, active.witnesses);
  record.heirs = ChooseHeirs(settings_, members_, active.heirs);
  record.predecessor = active.id.number;
  record.predecessor_witnesses = active.witnesses;
  record.first_number = first_number_;
  record.ended_number = startup_.EndedNumber();
  handover_.Compose(held_, record);
  return record;
}

void ownership_core::AskForSlices(instant now) {
  if (leaving_ || !settings_.owner_capable) return;
  if (tenure_.Changing() || now < next_request_at_) return;
  const auto jitter = static_cast<int64_t>(random_() % kRequestJitterMs);
  next_request_at_ = now + kRequestInterval + std::chrono::milliseconds(jitter);
  std::vector<member> all = members_;
  const member self = SelfMember();
  all.push_back(self);
  for (const donor_share& share : ChooseDonors(settings_.layout, all, self)) {
    out_.Send(share.donor, slices_request{AsHeir(self), share.partition_counts});
  }
}

void ownership_core::OnSlicesRequest(const slices_request& request) {
  if (phase_ != ownership_phase::kServing || leaving_ || held_.empty()) return;
  std::vector<member> all = members_;
  const member self = SelfMember();
  all.push_back(self);
  const uint32_t partitions = PartitionCount(settings_.layout);
  for (uint32_t partition = 0; partition < partitions; ++partition) {
    if (partition >= request.partition_counts.size()) return;
    if (!PartitionAllowed(settings_.layout, partition, request.receiver.region)) continue;
    const double share = FairShare(settings_.layout, all, self, partition);
    const auto keep = static_cast<uint32_t>(std::ceil(share));
    PlanGifts(partition, keep, request.partition_counts[partition], request.receiver);
  }
}

void ownership_core::PlanGifts(uint32_t partition, uint32_t keep, uint32_t count,
                               const heir& receiver) {
  std::vector<slice_number> free;
  for (const auto& [slice, epoch] : held_) {
    if (PartitionOf(settings_.layout, slice) != partition) continue;
    if (!handover_.IsPlanned(slice)) free.push_back(slice);
  }
  std::shuffle(free.begin(), free.end(), random_);
  for (size_t i = 0; i < count && free.size() > keep; ++i) {
    handover_.Plan({free.back(), receiver});
    free.pop_back();
  }
}

void ownership_core::GiveAway(instant now) {
  if (held_.empty() || handover_.HasPlans()) return;
  std::vector<member> all = members_;
  all.push_back(SelfMember());
  std::vector<slice_number> slices;
  for (const auto& [slice, epoch] : held_) slices.push_back(slice);
  for (const slice_gift& gift : ChooseReceivers(settings_.layout, all, settings_.node, slices)) {
    handover_.Plan(gift);
    leaving_since_ = now;
  }
}

void ownership_core::FinishStop(instant now) {
  const bool moving = handover_.HasPlans() || handover_.OutgoingCount() > 0 || tenure_.Changing();
  if (moving) return;
  if (!held_.empty() && now - leaving_since_ < kStopPatience) return;
  out_.Log(ownership_event::kStopped,
           held_.empty() ? "all slices were handed over"
                         : std::to_string(held_.size()) + " slices have no receiver");
  phase_ = ownership_phase::kStopped;
  tenure_ = tenure(settings_.rules);
  held_.clear();
  claim_changed_ = true;
}

void ownership_core::PublishClaim() {
  publish_claim_action claim;
  claim.leaving = leaving_;
  if (const term_record* active = tenure_.Active()) {
    claim.term = active->id;
    claim.witnesses = active->witnesses;
    claim.first_number = first_number_;
  }
  for (const auto& [slice, epoch] : held_) claim.slices.push_back({slice, epoch});
  out_.Add(claim);
}

bool ownership_core::NoteIsWanted(instant now) const {
  const term_record* active = tenure_.Active();
  if (active == nullptr || tenure_.Changing() || now < next_note_at_) return false;
  const bool unnoted = active->predecessor != 0 && noted_number_ < active->id.number;
  return unnoted || !unneeded_rows_.empty();
}

void ownership_core::WriteNote(instant now) {
  noting_ = tenure_.Active()->id.number;
  store_.CommitRow(now, {latest_number_, *noting_, settings_.address}, TakeDeletions(), out_);
}

std::vector<table_write> ownership_core::TakeDeletions() {
  std::vector<table_write> writes;
  deleting_count_ = std::min(unneeded_rows_.size(), kDeleteBatch);
  for (size_t i = 0; i < deleting_count_; ++i) {
    writes.push_back({TermKey(unneeded_rows_[i]), std::nullopt});
  }
  return writes;
}

void ownership_core::OnApplied(instant now) {
  store_.Cancel();
  const auto count = static_cast<std::ptrdiff_t>(std::exchange(deleting_count_, 0));
  unneeded_rows_.erase(unneeded_rows_.begin(), unneeded_rows_.begin() + count);
  if (noting_) {
    noted_number_ = *std::exchange(noting_, std::nullopt);
    next_note_at_ = now + kNoteInterval;
    return;
  }
  latest_number_ = writing_->id.number;
  tenure_.Propose(now, *writing_);
}

member ownership_core::SelfMember() const {
  member self;
  self.node = settings_.node;
  if (const term_record* active = tenure_.Active()) {
    self.term = active->id;
    self.witnesses = active->witnesses;
  }
  self.first_number = first_number_;
  self.service = settings_.service;
  self.region = settings_.region;
  self.data_centre = settings_.data_centre;
  self.rack = settings_.rack;
  self.slice_count = static_cast<uint32_t>(held_.size());
  self.partition_slices.resize(PartitionCount(settings_.layout));
  for (const auto& [slice, epoch] : held_) {
    ++self.partition_slices[PartitionOf(settings_.layout, slice)];
  }
  self.weight = settings_.weight;
  self.owner_capable = settings_.owner_capable;
  self.leaving = leaving_;
  return self;
}

bool ownership_core::RecordedHere(const slice_epoch& entry) const {
  const term_record* active = tenure_.Active();
  if (active == nullptr) return false;
  const std::optional<uint64_t> listed = EpochOf(*active, entry.slice);
  return listed && *listed >= entry.epoch;
}

own_terms ownership_core::OwnTerms() const {
  const term_record* active = tenure_.Active();
  return {settings_.node, first_number_, active != nullptr ? active->id.number : 0};
}

}  // namespace bulrushway
