#ifndef BULRUSHWAY_OWNERSHIP_MESSAGES_H
#define BULRUSHWAY_OWNERSHIP_MESSAGES_H

// Messages between the ownership modules of two nodes. A term ends in one of two outcomes, gone or
// superseded, and the term's three witnesses agree on it as the acceptors of a consensus on a
// single value: the holder proposes "superseded" with ballot 0, an heir proposes with a higher
// ballot.

#include <cstdint>
#include <variant>
#include <vector>

#include "term.h"

namespace bulrushway {

/// How a term ended.
enum class term_outcome : uint8_t { kNone = 0, kGone, kSuperseded };

/// Holder to witness: the holder of the term is alive.
struct renew_request {
  term_id term;
  uint64_t sequence = 0;
  /// Process of the witness that the holder means; a restarted witness refuses what was sent to its
  /// predecessor. 0 while unknown.
  uint64_t witness_process = 0;
  /// The holder serves under this term: its predecessor was superseded.
  bool active = false;
  /// The record, or none when the witness has it.
  std::vector<term_record> record;
};

enum class renew_status : uint8_t { kAcknowledged = 0, kOtherProcess, kRecordNeeded, kClosed };

/// Witness to holder.
struct renew_answer {
  term_id term;
  uint64_t sequence = 0;
  uint64_t witness_process = 0;
  renew_status status = renew_status::kAcknowledged;
};

/// Holder to a witness of `term`: never call the term lapsed, `next` follows it.
struct supersede_request {
  term_id term;
  uint64_t sequence = 0;
  uint64_t witness_process = 0;
  term_record next;
};

/// Witness to holder.
struct supersede_answer {
  term_id term;
  uint64_t sequence = 0;
  uint64_t witness_process = 0;
  renew_status status = renew_status::kAcknowledged;
};

/// Asker to witness: has the term lapsed? Then accept no proposal with a lower ballot.
struct attest_request {
  uint64_t round = 0;
  term_id term;
  uint64_t ballot = 0;
  /// The table, read after the start of the round, shows no successor of the term, so a witness
  /// that never heard of the term may count it as lapsed.
  bool no_successor_recorded = false;
};

enum class attest_status : uint8_t { kPromised = 0, kAlive, kUnknown, kHigherBallot };

/// Witness to asker.
struct attest_answer {
  uint64_t round = 0;
  term_id term;
  uint64_t witness_process = 0;
  attest_status status = attest_status::kUnknown;
  /// With kPromised: what the witness accepted so far. With kHigherBallot: the ballot to exceed.
  term_outcome accepted = term_outcome::kNone;
  uint64_t ballot = 0;
  /// The next term's record when `accepted` is superseded.
  std::vector<term_record> next;
  /// The witness knows that the holder served under the term.
  bool active = false;
  /// The term's own record, when the witness has it.
  std::vector<term_record> record;
};

/// Asker to witness: accept this outcome.
struct accept_request {
  uint64_t round = 0;
  term_id term;
  uint64_t witness_process = 0;
  uint64_t ballot = 0;
  term_outcome outcome = term_outcome::kNone;
  std::vector<term_record> next;
};

/// Witness to asker.
struct accept_answer {
  uint64_t round = 0;
  term_id term;
  bool accepted = false;
};

/// The term's outcome is decided. Sent to whom it concerns; may be lost.
struct outcome_notice {
  term_id term;
  term_outcome outcome = term_outcome::kNone;
  std::vector<term_record> next;
};

/// Witness to heirs and receivers, repeated until answered: the term of this record lapsed here.
struct lapse_notice {
  term_record record;
  bool active = false;
};

/// Heir or receiver to witness: the notice arrived.
struct lapse_answer {
  term_id term;
};

/// Giver to receiver, repeated until taken: the slices of `record` that are released to the
/// receiver.
struct release_notice {
  term_record record;
  std::vector<slice_number> released;
};

/// Receiver to giver: these slices are recorded in an active term of the receiver.
struct taken_notice {
  term_id giver;
  std::vector<slice_number> slices;
};

/// A node with less than its share asks for slices.
struct slices_request {
  heir receiver;
  /// How many of each partition.
  std::vector<uint32_t> partition_counts;
};

using ownership_message =
    std::variant<renew_request, renew_answer, supersede_request, supersede_answer, attest_request,
                 attest_answer, accept_request, accept_answer, outcome_notice, lapse_notice,
                 release_notice, taken_notice, slices_request, lapse_answer>;

}  // namespace bulrushway

#endif  // BULRUSHWAY_OWNERSHIP_MESSAGES_H
