#include "tenure.h"

#include <algorithm>

namespace bulrushway {

void tenure::Propose(instant now, term_record record) {
  if (superseding_ || lapsed_) return;
  next_.emplace(rules_, std::move(record));
  proposed_at_ = now;
}

void tenure::Check(instant now) {
  if (active_) active_->Check(now);
  if (next_) next_->Check(now);
  if (active_ && active_->Lapsed()) lapsed_ = true;
  if (next_ && next_->Lapsed() && superseding_) lapsed_ = true;
  if (next_ && next_->Lapsed() && !superseding_) next_.reset();
}

void tenure::Tick(instant now, outbox& out) {
  Check(now);
  if (lapsed_) return;
  Advance(now);
  if (active_) out.Send(active_->Renew(now, true));
  if (next_) out.Send(next_->Renew(now, false));
  if (superseding_) out.Send(active_->Supersede(now));
}

void tenure::Advance(instant now) {
  if (!next_ || !next_->Good(now)) return;
  if (!active_) {
    Activate(std::nullopt);
    return;
  }
  if (!superseding_) {
    superseding_ = true;
    active_->BeginSupersede(next_->record());
  }
  const bool closed = active_->Superseded() && active_->Good(now);
  if (closed || !rules_.activation_waits_for_supersede) Activate(active_->record());
}

void tenure::Activate(std::optional<term_record> replaced) {
  active_ = std::move(next_);
  next_.reset();
  superseding_ = false;
  activated_ = activation{active_->record(), std::move(replaced)};
}

void tenure::OnRenewAnswer(instant now, const node_name& from, const renew_answer& answer,
                           outbox& out) {
  if (lapsed_) return;
  if (active_) out.Send(active_->OnAnswer(now, from, answer, true));
  if (next_) out.Send(next_->OnAnswer(now, from, answer, false));
}

void tenure::OnSupersedeAnswer(instant now, const node_name& from, const supersede_answer& answer) {
  if (lapsed_ || !superseding_) return;
  active_->OnSupersedeAnswer(now, from, answer);
  Advance(now);
}

bool tenure::Serving(instant now) const {
  if (lapsed_ || !active_ || !active_->Good(now)) return false;
  return !superseding_ || next_->Good(now);
}

instant tenure::Expiry() const {
  if (!active_) return instant{};
  if (!superseding_) return active_->Expiry();
  return std::min(active_->Expiry(), next_->Expiry());
}

std::vector<term_record> tenure::EndedForCertain() const {
  std::vector<term_record> ended;
  if (superseding_) return ended;
  if (active_) ended.push_back(active_->record());
  if (next_) ended.push_back(next_->record());
  return ended;
}

std::optional<tenure::activation> tenure::TakeActivation() {
  return std::exchange(activated_, std::nullopt);
}

}  // namespace bulrushway
