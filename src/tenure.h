#ifndef BULRUSHWAY_TENURE_H
#define BULRUSHWAY_TENURE_H

// The terms of one process, one after the other: the active term with its lease, and the change to
// the next one. The next term first gets a lease of its own, then the witnesses of the active term
// close that one in favour of the next. A lapse on the way ends the tenure for good.

#include <optional>
#include <vector>

#include "lease.h"
#include "ownership_types.h"

namespace bulrushway {

/// From the first term of a process to its lapse.
class tenure {
 public:
  explicit tenure(const protocol_rules& rules) : rules_(rules) {}

  /// A written term: the first one, or the successor of the active one. Replaces a successor for
  /// which no supersede request was sent yet.
  void Propose(instant now, term_record record);
  /// No supersede request for the next term was sent: another may replace it.
  bool NextIsReplaceable() const { return next_ && !superseding_; }
  bool Changing() const { return next_.has_value(); }
  /// Since when the next term waits.
  instant ProposedAt() const { return proposed_at_; }

  /// Latches lapses. To be called before anything else at each step.
  void Check(instant now);
  /// Renews what is due and goes on with the change.
  void Tick(instant now, outbox& out);
  void OnRenewAnswer(instant now, const node_name& from, const renew_answer& answer, outbox& out);
  void OnSupersedeAnswer(instant now, const node_name& from, const supersede_answer& answer);

  /// The node may serve: its lease is good, and during the change both leases are.
  bool Serving(instant now) const;
  /// The tenure is over for good.
  bool Lapsed() const { return lapsed_; }
  instant Expiry() const;
  /// The active term, or null.
  const term_record* Active() const { return active_ ? &active_->record() : nullptr; }
  /// Set once after each activation: the term that became active, and the one it replaced.
  struct activation {
    term_record active;
    std::optional<term_record> replaced;
  };
  std::optional<activation> TakeActivation();
  /// The terms of this tenure that can never be called superseded: after a lapse the active term
  /// and its successor, provided that no supersede request was sent.
  std::vector<term_record> EndedForCertain() const;
  /// A witness of the active term will not renew it any more.
  bool LostWitness() const { return active_ && active_->ClosedWitnesses() > 0; }

 private:
  void Advance(instant now);
  void Activate(std::optional<term_record> replaced);

  protocol_rules rules_;
  std::optional<lease> active_;
  std::optional<lease> next_;
  bool superseding_ = false;
  bool lapsed_ = false;
  instant proposed_at_;
  std::optional<activation> activated_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TENURE_H
