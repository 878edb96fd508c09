#ifndef BULRUSHWAY_ATTESTATION_H
#define BULRUSHWAY_ATTESTATION_H

// Finds out with a term's witnesses how the term ended. A round asks all of them, and with the
// promises of a quorum inside its window has them accept one outcome: what a witness accepted
// before, or else gone. Answers of earlier rounds are thrown away.

#include <map>
#include <vector>

#include "clock.h"
#include "ownership_messages.h"
#include "ownership_types.h"

namespace bulrushway {

enum class attest_verdict : uint8_t { kGone, kSuperseded, kAlive, kUndecided };

/// What a round found.
struct attest_result {
  term_id term;
  std::vector<node_name> witnesses;
  attest_verdict verdict = attest_verdict::kUndecided;
  /// The next term's record when superseded.
  std::vector<term_record> next;
  /// A witness knows that the holder served under the term.
  bool active = false;
  /// The term's record, when a witness had it.
  std::vector<term_record> record;
  /// Witnesses that answered and never heard of the term.
  size_t unknown = 0;
  /// Witnesses that answered.
  size_t answers = 0;
};

/// Runs the rounds of one node, at most one a term.
class attestor {
 public:
  /// `process` makes the ballots of this process differ from all others.
  attestor(const protocol_rules& rules, uint64_t process);

  /// Starts a round unless one is running for the term. `started` is the present time, or with
  /// `no_successor_recorded` the time when the read of the table that showed so was sent.
  void Ask(instant now, const term_id& term, const std::vector<node_name>& witnesses,
           bool no_successor_recorded, instant started, outbox& out);
  bool Running(const term_id& term) const { return rounds_.contains(term); }

  void OnAttestAnswer(instant now, const node_name& from, const attest_answer& answer, outbox& out);
  void OnAcceptAnswer(instant now, const node_name& from, const accept_answer& answer);
  /// Repeats what was not answered and ends rounds whose window is over.
  void Tick(instant now, outbox& out);
  /// Results since the last call.
  std::vector<attest_result> TakeResults() { return std::exchange(results_, {}); }

 private:
  struct reply {
    attest_answer answer;
    bool accepted = false;
  };
  struct round {
    uint64_t number = 0;
    uint64_t ballot = 0;
    instant started;
    instant last_sent;
    bool no_successor_recorded = false;
    std::vector<node_name> witnesses;
    std::map<node_name, reply> replies;
    term_outcome proposed = term_outcome::kNone;
    std::vector<term_record> next;
  };

  round* Current(instant now, const term_id& term, uint64_t number);
  void SendQuestions(instant now, const term_id& term, round& running, outbox& out);
  void SendProposals(const term_id& term, const round& running, outbox& out);
  void ConsiderPromises(instant now, const term_id& term, round& running, outbox& out);
  void Finish(const term_id& term, attest_verdict verdict);

  protocol_rules rules_;
  uint64_t process_;
  uint64_t counter_ = 0;
  std::map<term_id, round> rounds_;
  std::vector<attest_result> results_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_ATTESTATION_H
