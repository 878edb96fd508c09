#ifndef BULRUSHWAY_WITNESS_H
#define BULRUSHWAY_WITNESS_H

// The witness's side of leases: it hears renewals, and with the term's other witnesses agrees on
// the term's one outcome. It keeps everything in memory. After a restart it keeps silent for longer
// than a lease, and takes no part for a term of which it heard nothing since.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "clock.h"
#include "ownership_messages.h"
#include "ownership_types.h"

namespace bulrushway {

/// Terms that a witness remembers at most; the oldest closed ones are forgotten first.
constexpr size_t kMaxWitnessedTerms = 4096;

/// Memory of one process about the terms that it witnesses.
class witness {
 public:
  witness(const protocol_rules& rules, uint64_t process, instant started);

  std::optional<renew_answer> OnRenew(instant now, const renew_request& request);
  std::optional<supersede_answer> OnSupersede(instant now, const supersede_request& request);
  std::optional<attest_answer> OnAttest(instant now, const attest_request& request);
  std::optional<accept_answer> OnAccept(instant now, const accept_request& request);
  /// The outcome is known. A superseded term needs no notices any more.
  void OnOutcome(const term_id& term, term_outcome outcome);
  /// The heir or receiver has the notice.
  void OnLapseAnswer(const node_name& from, const lapse_answer& answer);

  /// Notices of lapses that are due, each to one heir or receiver.
  std::vector<send_message_action> Tick(instant now);

  size_t TermCount() const { return terms_.size(); }

 private:
  struct entry {
    std::vector<term_record> record;
    bool heard = false;
    bool active = false;
    instant heard_at;
    /// The entry rests on the word of an asker that the table shows no successor.
    bool presumed = false;
    uint64_t promised = 0;
    term_outcome accepted = term_outcome::kNone;
    uint64_t accepted_ballot = 0;
    std::vector<term_record> next;
    term_outcome known_outcome = term_outcome::kNone;
    /// Heirs and receivers that have the notice of the lapse.
    std::set<node_name> notified;
    instant last_notice;
    uint32_t notices = 0;
  };

  bool Quiet(instant now) const;
  bool OtherProcess(uint64_t meant) const;
  bool Stale(instant now, const entry& known) const;
  entry* Find(const term_id& term);
  entry* FindOrAdd(const term_id& term);
  void AllowForOwnPause(instant now);

  protocol_rules rules_;
  uint64_t process_;
  instant started_;
  instant last_tick_;
  std::map<term_id, entry> terms_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_WITNESS_H
