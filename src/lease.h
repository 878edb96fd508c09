#ifndef BULRUSHWAY_LEASE_H
#define BULRUSHWAY_LEASE_H

// The holder's side of a term's lease. The lease counts from the sending of renewals, so that the
// holder's view always ends before that of its witnesses, and a lapse is final.

#include <deque>
#include <map>
#include <vector>

#include "clock.h"
#include "ownership_messages.h"
#include "ownership_types.h"

namespace bulrushway {

/// How many of the witnesses make a quorum: a majority.
size_t QuorumOf(size_t witnesses);

/// Lease of one term, renewed with its witnesses.
class lease {
 public:
  lease() = default;
  lease(const protocol_rules& rules, term_record record);

  /// Renewals that are due. Calls after BeginSupersede return none.
  std::vector<send_message_action> Renew(instant now, bool active);
  /// Takes a witness's answer. Returns a renewal to send at once when the witness asked for one.
  std::vector<send_message_action> OnAnswer(instant now, const node_name& from,
                                            const renew_answer& answer, bool active);

  /// From now on the witnesses are asked to close the term in favour of `next`; a supersede request
  /// renews as well, so the lease goes on until they have.
  void BeginSupersede(term_record next);
  /// Supersede requests that are due.
  std::vector<send_message_action> Supersede(instant now);
  void OnSupersedeAnswer(instant now, const node_name& from, const supersede_answer& answer);
  /// A quorum closed the term in favour of the next one.
  bool Superseded() const;

  /// Latches a lapse. To be called before anything else at each step.
  void Check(instant now);
  /// The lease is good: the node may serve under the term.
  bool Good(instant now) const;
  /// The lease was good once and lapsed for ever.
  bool Lapsed() const { return lapsed_; }
  /// When the lease ends, or the epoch of the clock if it never began.
  instant Expiry() const { return expiry_; }
  /// Witnesses that will never renew this term again.
  size_t ClosedWitnesses() const;
  const term_record& record() const { return record_; }

 private:
  struct sent_renewal {
    uint64_t sequence = 0;
    instant at;
  };
  struct witness_state {
    uint64_t process = 0;
    /// The process that acknowledged a renewal last.
    uint64_t acknowledged_by = 0;
    bool has_record = false;
    bool closed = false;
    bool superseded = false;
    bool heard = false;
    /// Sending time of the latest acknowledged renewal.
    instant acknowledged;
    instant last_sent;
    bool ever_sent = false;
    std::deque<sent_renewal> in_flight;
  };

  void ComputeExpiry();
  uint64_t NoteSent(instant now, witness_state& state);
  void Acknowledge(instant now, witness_state& state, uint64_t sequence);
  send_message_action MakeRenewal(instant now, const node_name& to, bool active);

  protocol_rules rules_;
  term_record record_;
  std::vector<term_record> next_;
  std::map<node_name, witness_state> witnesses_;
  uint64_t sequence_ = 0;
  instant expiry_;
  bool was_good_ = false;
  bool lapsed_ = false;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_LEASE_H
