#ifndef BULRUSHWAY_STARTUP_H
#define BULRUSHWAY_STARTUP_H

// What a process finds out before it writes its first term: the latest term number of its node,
// whether an earlier process of that name still lives, and which partitions have no first owner
// yet.

#include <optional>
#include <string>
#include <vector>

#include "attestation.h"
#include "custody.h"
#include "ownership_types.h"
#include "term_store.h"

namespace bulrushway {

/// One start of a node's tenure.
class startup {
 public:
  explicit startup(ownership_settings settings) : settings_(std::move(settings)) {}

  void Begin(instant now, term_store& store, outbox& out);
  /// Terms of this very process with this first number have ended: no proof is needed for them.
  void SetOwnEnded(uint64_t first_number) { own_first_ = first_number; }
  void Tick(instant now, term_store& store, const term_outcomes& outcomes, attestor& rounds,
            outbox& out);
  void OnRows(instant now, const std::string& prefix, const result<std::vector<table_row>>& rows,
              outbox& out);
  void OnAttested(instant now, const attest_result& found, outbox& out);

  /// The first term may be written.
  bool Ready() const { return step_ == step::kReady; }
  /// Number of the first term. Valid when ready.
  uint64_t FirstNumber() const { return latest_number_ + 1; }
  /// The term that an earlier process noted as in force. Valid when ready.
  uint64_t NotedNumber() const { return active_number_; }
  /// Up to this term all earlier processes were proven ended, or 0. Valid when ready.
  uint64_t EndedNumber() const { return ended_number_; }
  /// The latest term of an earlier process, if its row is still there. Valid when ready.
  const std::optional<term_record>& Previous() const { return previous_; }
  /// Partitions that this node may hold and that nobody ever owned. Valid when ready.
  const std::vector<uint32_t>& UnclaimedPartitions() const { return unclaimed_; }

 private:
  enum class step : uint8_t { kNodeRow, kPreviousRow, kPreviousEnd, kGenesis, kReady };

  void Enter(instant now, step next, outbox& out);
  void Read(instant now, outbox& out);
  void OnPreviousRow(instant now, const std::vector<table_row>& rows, outbox& out);
  void OnGenesis(instant now, const std::vector<table_row>& rows, outbox& out);
  std::string Prefix() const;
  void AskForEnd(instant now, const term_outcomes& outcomes, attestor& rounds, outbox& out);
  void LogAlive(instant now, outbox& out);

  ownership_settings settings_;
  step step_ = step::kNodeRow;
  uint64_t latest_number_ = 0;
  uint64_t active_number_ = 0;
  uint64_t ended_number_ = 0;
  uint64_t own_first_ = 0;
  std::string previous_address_;
  std::optional<term_record> previous_;
  uint32_t undecided_ = 0;
  bool alive_logged_ = false;
  instant previous_since_;
  instant last_asked_;
  std::optional<instant> read_at_;
  std::vector<uint32_t> unclaimed_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_STARTUP_H
