#ifndef BULRUSHWAY_OWNERSHIP_CORE_H
#define BULRUSHWAY_OWNERSHIP_CORE_H

// Ownership of slices by one node: its terms and leases, its duty as a witness of others, take-over
// from lost nodes and planned moves. It does no I/O and reads no clock: inputs are method calls
// with the present time, outputs are actions to be taken after each call.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "attestation.h"
#include "custody.h"
#include "handover.h"
#include "inheritance.h"
#include "ownership_messages.h"
#include "ownership_types.h"
#include "recovery.h"
#include "startup.h"
#include "tenure.h"
#include "term_store.h"
#include "witness.h"

namespace bulrushway {

/// How far a node is.
enum class ownership_phase : uint8_t {
  kIdle,
  kStarting,
  kWriting,
  kGainingLease,
  kServing,
  kStopped
};

/// What operators see of a node.
struct ownership_status {
  ownership_phase phase = ownership_phase::kIdle;
  term_id term;
  size_t held = 0;
  size_t outgoing = 0;
  bool changing = false;
  bool leaving = false;
  size_t witnessed_terms = 0;
};

/// The ownership module of one process.
class ownership_core {
 public:
  /// `seed` makes the random choices and the process's identity; it must differ at each start.
  ownership_core(ownership_settings settings, uint64_t seed);

  /// To be called once, before all others.
  void Start(instant now);
  /// To be called every 50 ms or so.
  void Tick(instant now);
  void OnMessage(instant now, const node_name& from, const ownership_message& message);
  void OnCommit(instant now, const std::string& operation, commit_outcome outcome);
  void OnRows(instant now, const std::string& prefix, const result<std::vector<table_row>>& rows);
  /// The live members as gossip knows them; the node itself may be among them.
  void OnMembers(instant now, std::vector<member> members);
  /// Gossip says that the term is gone.
  void OnFact(instant now, const term_id& gone);
  /// Gives everything away and takes nothing while `drain` holds; term and lease stay.
  void SetDrain(instant now, bool drain);
  /// Planned stop: gives everything away; the status is kStopped when done.
  void BeginStop(instant now);
  /// Sets the query for the requests of a slice in flight. Without it none are.
  void SetInFlightQuery(in_flight_query query) { in_flight_ = std::move(query); }

  /// What is to be done, in order.
  std::vector<ownership_action> TakeActions() { return out_.Take(); }

  /// The epoch under which a request of the slice may be handed on right now, or none.
  std::optional<uint64_t> Serves(instant now, slice_number slice) const;
  /// When the lease ends; requests handed on carry an earlier deadline.
  instant LeaseExpiry() const { return tenure_.Expiry(); }
  /// The node to which this one is giving the slice; empty when it is not.
  node_name ReceiverOf(slice_number slice) const;
  ownership_status Status() const;

 private:
  void Enter(instant now);
  void Restart(instant now);
  void Leave(instant now, const std::string& detail);
  void DeclareEnd(instant now);
  void Settle(instant now);
  void DeliverLocal(instant now);
  void Dispatch(instant now, const node_name& from, const ownership_message& message);
  void OnAttested(instant now, const attest_result& found);
  void TellOutcome(const attest_result& found);
  void OnSlicesRequest(const slices_request& request);
  void PlanGifts(uint32_t partition, uint32_t keep, uint32_t count, const heir& receiver);
  void OnReleaseNotice(instant now, const node_name& from, const release_notice& notice);
  void AnswerTaken(const node_name& from, const release_notice& notice);

  void AdvancePhase(instant now);
  void WriteFirstTerm(instant now);
  void OnActivation(instant now, const tenure::activation& activated);
  void TakeOver(instant now);
  void Acquire(const std::vector<slice_epoch>& slices, const std::string& how);
  void AdvanceChange(instant now);
  void WriteNextTerm(instant now);
  bool ChangeIsWanted(instant now);
  bool PlacementIsStale();
  void AskForSlices(instant now);
  void GiveAway(instant now);
  void FinishStop(instant now);
  void PublishClaim();
  bool NoteIsWanted(instant now) const;
  void WriteNote(instant now);
  void OnApplied(instant now);
  std::vector<table_write> TakeDeletions();

  term_record ComposeTerm(uint64_t number) const;
  member SelfMember() const;
  bool RecordedHere(const slice_epoch& entry) const;
  own_terms OwnTerms() const;

  ownership_settings settings_;
  std::mt19937_64 random_;
  uint64_t process_;
  outbox out_;
  std::optional<witness> witness_;
  attestor rounds_;
  term_outcomes outcomes_;
  inheritance inheritance_;
  handover handover_;
  recovery recovery_;
  term_store store_;
  startup startup_;
  tenure tenure_;
  in_flight_query in_flight_;

  ownership_phase phase_ = ownership_phase::kIdle;
  std::vector<member> members_;
  /// Whether witnesses and heirs of a term are still the best choice among `members_`.
  struct placement_check {
    term_id term;
    bool stale = false;
  };
  std::optional<placement_check> placement_;
  bool members_known_ = false;
  uint64_t first_number_ = 0;
  uint64_t latest_number_ = 0;
  /// The active term of this process's earlier tenure if it certainly had no successor in force.
  uint64_t ended_active_number_ = 0;
  std::optional<term_record> writing_;
  std::map<slice_number, uint64_t> held_;
  /// The highest epoch of each slice that this process ever knew as its own or gave.
  std::map<slice_number, uint64_t> seen_;
  std::vector<term_id> unneeded_rows_;
  std::vector<slice_epoch> gained_;
  bool claim_changed_ = false;
  /// Gives its slices away: it drains or stops.
  bool leaving_ = false;
  bool stopping_ = false;
  bool stop_stuck_logged_ = false;
  instant started_;
  instant last_now_;
  instant leaving_since_;
  instant restart_at_;
  std::optional<instant> change_wanted_since_;
  instant next_change_at_;
  instant next_request_at_;
  /// The active term that is being noted in the node's row, and the latest one noted.
  std::optional<uint64_t> noting_;
  uint64_t noted_number_ = 0;
  instant next_note_at_;
  /// How many of the unneeded rows the write in hand deletes.
  size_t deleting_count_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_OWNERSHIP_CORE_H
