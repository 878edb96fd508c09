#include "ownership_core.h"

#include <algorithm>

#include "placement.h"

namespace bulrushway {
namespace {

constexpr std::chrono::milliseconds kLongestRestartPause{200};

}  // namespace

ownership_core::ownership_core(ownership_settings settings, uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      process_(random_() | 1),
      out_(settings_.node),
      rounds_(settings_.rules, process_),
      inheritance_(settings_.layout, settings_.rules),
      handover_(settings_.layout),
      recovery_(settings_, process_),
      store_(settings_.node, process_),
      startup_(settings_),
      tenure_(settings_.rules),
      in_flight_([](slice_number) { return size_t{0}; }) {}

void ownership_core::Start(instant now) {
  started_ = now;
  last_now_ = now;
  witness_.emplace(settings_.rules, process_, now);
  phase_ = ownership_phase::kStarting;
  startup_.Begin(now, store_, out_);
  out_.Log(ownership_event::kStarted, "node " + settings_.node + " starts");
}

void ownership_core::Enter(instant now) {
  if (now < last_now_) {
    out_.Log(ownership_event::kClockJumped, "the clock went back");
    last_now_ = now;
    Leave(now, "the clock went back");
    return;
  }
  last_now_ = now;
  tenure_.Check(now);
  if (tenure_.Lapsed()) Leave(now, "the lease lapsed");
}

void ownership_core::Leave(instant now, const std::string& detail) {
  if (phase_ == ownership_phase::kStopped || phase_ == ownership_phase::kIdle) return;
  if (const term_record* active = tenure_.Active()) {
    out_.Log(ownership_event::kLapsed, ToString(active->id) + ": " + detail);
  }
  slices_lost_action lost;
  lost.lapsed = true;
  for (const auto& [slice, epoch] : held_) lost.slices.push_back(slice);
  out_.Add(lost);
  held_.clear();
  gained_.clear();
  handover_.Clear();
  if (tenure_.Lapsed()) DeclareEnd(now);
  tenure_ = tenure(settings_.rules);
  writing_.reset();
  store_.Cancel();
  noting_.reset();
  deleting_count_ = 0;
  if (first_number_ != 0) startup_.SetOwnEnded(first_number_);
  first_number_ = 0;
  claim_changed_ = true;
  phase_ = ownership_phase::kIdle;
  const auto pause = static_cast<int64_t>(random_() % kLongestRestartPause.count());
  restart_at_ = now + std::chrono::milliseconds(pause);
}

void ownership_core::DeclareEnd(instant now) {
  // The holder itself knows best that its term ended: nobody has to wait for the witnesses.
  const std::vector<term_record> ended = tenure_.EndedForCertain();
  const bool active_ended = !ended.empty() && tenure_.Active() != nullptr;
  ended_active_number_ = active_ended ? tenure_.Active()->id.number : 0;
  for (const term_record& record : ended) {
    outcomes_.NoteGone(record.id);
    witness_->OnOutcome(record.id, term_outcome::kGone);
    out_.Add(publish_fact_action{record.id});
    const bool active = tenure_.Active() != nullptr && tenure_.Active()->id == record.id;
    const lapse_notice notice{record, active};
    inheritance_.OnLapse(now, settings_.node, notice);
    for (const heir& entry : record.heirs) {
      out_.Send(entry.term.node, notice);
      out_.Send(entry.term.node, outcome_notice{record.id, term_outcome::kGone, {}});
    }
  }
}

void ownership_core::Restart(instant now) {
  phase_ = ownership_phase::kStarting;
  startup_.Begin(now, store_, out_);
}

void ownership_core::Tick(instant now) {
  if (!witness_) return;
  Enter(now);
  if (phase_ == ownership_phase::kIdle && now >= restart_at_) Restart(now);
  out_.Send(witness_->Tick(now));
  rounds_.Tick(now, out_);
  store_.Tick(now, random_, out_);
  if (phase_ != ownership_phase::kStopped) {
    tenure_.Tick(now, out_);
    AdvancePhase(now);
  }
  Settle(now);
}

void ownership_core::OnMessage(instant now, const node_name& from,
                               const ownership_message& message) {
  if (!witness_) return;
  Enter(now);
  Dispatch(now, from, message);
  Settle(now);
}

void ownership_core::Dispatch(instant now, const node_name& from,
                              const ownership_message& message) {
  const auto answer = [&](auto reply) {
    if (reply) out_.Send(from, *reply);
  };
  const auto handle = [&](const auto& item) {
    using kind = std::decay_t<decltype(item)>;
    if constexpr (std::is_same_v<kind, renew_request>) answer(witness_->OnRenew(now, item));
    if constexpr (std::is_same_v<kind, renew_answer>) tenure_.OnRenewAnswer(now, from, item, out_);
    if constexpr (std::is_same_v<kind, supersede_request>) answer(witness_->OnSupersede(now, item));
    if constexpr (std::is_same_v<kind, supersede_answer>) {
      tenure_.OnSupersedeAnswer(now, from, item);
    }
    if constexpr (std::is_same_v<kind, attest_request>) answer(witness_->OnAttest(now, item));
    if constexpr (std::is_same_v<kind, attest_answer>) {
      rounds_.OnAttestAnswer(now, from, item, out_);
    }
    if constexpr (std::is_same_v<kind, accept_request>) answer(witness_->OnAccept(now, item));
    if constexpr (std::is_same_v<kind, accept_answer>) rounds_.OnAcceptAnswer(now, from, item);
    if constexpr (std::is_same_v<kind, outcome_notice>) {
      if (item.outcome == term_outcome::kGone) outcomes_.NoteGone(item.term);
      if (!item.next.empty()) outcomes_.NoteSuperseded(item.term, item.next.front());
      witness_->OnOutcome(item.term, item.outcome);
    }
    if constexpr (std::is_same_v<kind, lapse_notice>) {
      inheritance_.OnLapse(now, settings_.node, item);
      out_.Send(from, lapse_answer{item.record.id});
    }
    if constexpr (std::is_same_v<kind, lapse_answer>) witness_->OnLapseAnswer(from, item);
    if constexpr (std::is_same_v<kind, release_notice>) OnReleaseNotice(now, from, item);
    if constexpr (std::is_same_v<kind, taken_notice>) handover_.OnTaken(item);
    if constexpr (std::is_same_v<kind, slices_request>) OnSlicesRequest(item);
  };
  std::visit(handle, message);
}

void ownership_core::DeliverLocal(instant now) {
  for (auto messages = out_.TakeLocal(); !messages.empty(); messages = out_.TakeLocal()) {
    for (const ownership_message& message : messages) Dispatch(now, settings_.node, message);
  }
}

void ownership_core::Settle(instant now) {
  DeliverLocal(now);
  for (const attest_result& found : rounds_.TakeResults()) OnAttested(now, found);
  if (auto activated = tenure_.TakeActivation()) OnActivation(now, *activated);
  if (phase_ == ownership_phase::kServing) TakeOver(now);
  DeliverLocal(now);
  if (!gained_.empty()) out_.Add(slices_gained_action{std::exchange(gained_, {})});
  if (std::exchange(claim_changed_, false)) PublishClaim();
}

void ownership_core::OnAttested(instant now, const attest_result& found) {
  startup_.OnAttested(now, found, out_);
  switch (found.verdict) {
    case attest_verdict::kGone:
      outcomes_.NoteGone(found.term);
      out_.Log(ownership_event::kTermGone, ToString(found.term) + " is gone");
      out_.Add(publish_fact_action{found.term});
      TellOutcome(found);
      return;
    case attest_verdict::kSuperseded:
      outcomes_.NoteSuperseded(found.term, found.next.front());
      TellOutcome(found);
      return;
    case attest_verdict::kAlive:
      inheritance_.OnAlive(now, found.term);
      return;
    case attest_verdict::kUndecided:
      if (found.unknown > 0) recovery_.WantProof(now, found.term, found.witnesses);
      return;
  }
}

void ownership_core::TellOutcome(const attest_result& found) {
  if (found.record.empty()) return;
  const term_record& record = found.record.front();
  outcome_notice notice;
  notice.term = found.term;
  notice.next = found.next;
  notice.outcome = found.next.empty() ? term_outcome::kGone : term_outcome::kSuperseded;
  for (const node_name& name : record.witnesses) out_.Send(name, notice);
  for (const heir& entry : record.heirs) out_.Send(entry.term.node, notice);
}

void ownership_core::OnReleaseNotice(instant now, const node_name& from,
                                     const release_notice& notice) {
  inheritance_.OnRelease(notice);
  if (phase_ == ownership_phase::kServing) TakeOver(now);
  AnswerTaken(from, notice);
}

void ownership_core::AnswerTaken(const node_name& from, const release_notice& notice) {
  taken_notice taken;
  taken.giver = notice.record.id;
  for (const slice_number slice : notice.released) {
    const slice_gift* gift = GiftOf(notice.record, slice);
    const std::optional<uint64_t> epoch = EpochOf(notice.record, slice);
    if (gift == nullptr || !epoch || gift->receiver.term.node != settings_.node) continue;
    if (first_number_ == 0 || gift->receiver.term.number < first_number_) continue;
    const auto seen = seen_.find(slice);
    const bool passed_on = seen != seen_.end() && seen->second >= *epoch && !held_.contains(slice);
    if (passed_on || RecordedHere({slice, *epoch})) taken.slices.push_back(slice);
  }
  if (!taken.slices.empty()) out_.Send(from, taken);
}

void ownership_core::OnCommit(instant now, const std::string& operation, commit_outcome outcome) {
  if (!witness_) return;
  Enter(now);
  recovery_.OnCommit(now, operation, outcome, inheritance_);
  store_.OnCommit(now, operation, outcome, out_);
  if (phase_ != ownership_phase::kStopped) AdvancePhase(now);
  Settle(now);
}

void ownership_core::OnRows(instant now, const std::string& prefix,
                            const result<std::vector<table_row>>& rows) {
  if (!witness_) return;
  Enter(now);
  store_.OnRows(now, prefix, rows, out_);
  if (phase_ == ownership_phase::kStarting) startup_.OnRows(now, prefix, rows, out_);
  recovery_.OnRows(now, prefix, rows, AsHeir(SelfMember()), inheritance_, outcomes_, rounds_, out_);
  if (phase_ != ownership_phase::kStopped) AdvancePhase(now);
  Settle(now);
}

void ownership_core::OnMembers(instant now, std::vector<member> members) {
  if (!witness_) return;
  Enter(now);
  placement_.reset();
  members_ = std::move(members);
  std::erase_if(members_, [&](const member& node) { return node.node == settings_.node; });
  members_known_ = true;
  Settle(now);
}

void ownership_core::OnFact(instant now, const term_id& gone) {
  if (!witness_) return;
  Enter(now);
  outcomes_.NoteGone(gone);
  witness_->OnOutcome(gone, term_outcome::kGone);
  Settle(now);
}

void ownership_core::SetDrain(instant now, bool drain) {
  if (!witness_ || stopping_ || leaving_ == drain) return;
  Enter(now);
  leaving_ = drain;
  leaving_since_ = now;
  claim_changed_ = true;
  Settle(now);
}

void ownership_core::BeginStop(instant now) {
  if (!witness_ || stopping_) return;
  SetDrain(now, true);
  stopping_ = true;
  leaving_since_ = now;
  Settle(now);
}

std::optional<uint64_t> ownership_core::Serves(instant now, slice_number slice) const {
  if (phase_ != ownership_phase::kServing || now < last_now_) return std::nullopt;
  if (!tenure_.Serving(now)) return std::nullopt;
  const auto found = held_.find(slice);
  if (found == held_.end()) return std::nullopt;
  return found->second;
}

node_name ownership_core::ReceiverOf(slice_number slice) const {
  const heir* receiver = handover_.ReceiverOf(slice);
  return receiver == nullptr ? node_name{} : receiver->term.node;
}

ownership_status ownership_core::Status() const {
  ownership_status status;
  status.phase = phase_;
  if (const term_record* active = tenure_.Active()) status.term = active->id;
  status.held = held_.size();
  status.outgoing = handover_.OutgoingCount();
  status.changing = tenure_.Changing();
  status.leaving = leaving_;
  status.witnessed_terms = witness_ ? witness_->TermCount() : 0;
  return status;
}

}  // namespace bulrushway
