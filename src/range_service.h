#ifndef BULRUSHWAY_RANGE_SERVICE_H
#define BULRUSHWAY_RANGE_SERVICE_H

// Connects the range controller of one target to the platform's store: maintains the lease of the
// process, reads the key map and the leases, and commits changes of ownership. Runs on each node
// that has a target of a service with exclusively owned keys.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "decision_log.h"
#include "metrics.h"
#include "peer_messages.h"
#include "process_lease.h"
#include "range_controller.h"
#include "row_store.h"

namespace bulrushway {

/// Table of the key maps, by service. Every process follows it.
inline constexpr const char* kKeyMapTable = "key-maps";
/// Table of the leases, by service and node. Separate from the key maps, so that the frequent
/// renewals do not reach the processes that follow those.
inline constexpr const char* kLeaseTable = "leases";

/// Identity of the process and its service, with the limits of leases and grants.
struct range_service_settings {
  std::string node;
  std::string ip;
  std::string service;
  /// Incarnation of the process.
  uint64_t process = 0;
  lease_settings lease;
  range_controller_settings controller;
};

/// Called after this process has changed the key map. Other processes would also learn it from the
/// store, but later as the fleet grows, and nobody serves the moved keys until then.
using map_changed_function = std::function<void(instant, const key_map_change&)>;

/// Runs the range controller of one target against the store. `call_target` delivers grants by
/// calls, where the settings ask for it.
class range_service {
 public:
  range_service(decision_log& log, metrics& counters, const row_store& store,
                const range_service_settings& settings, instant now,
                map_changed_function map_changed, grant_call_function call_target = {});

  /// Maintains the lease and carries out the controller's next action.
  void Tick(instant now, const std::vector<range_candidate>& candidates);
  /// Reports the row of the key map. `sent` is when the call that returned it was sent.
  void OnMapRow(instant now, instant sent, const stored_row& row);
  /// Reports a newer map that another process has committed.
  void OnMapChanged(instant now, const key_map& map, uint64_t version);
  /// Reports that the store's present era has lasted for at least `age`.
  void OnStoreEra(instant now, uint64_t era, std::chrono::milliseconds age);
  std::optional<target_grant> OnHeartbeat(instant now, const target_heartbeat& heartbeat);
  void SetTarget(instant now, target_condition condition, const target_incarnation& incarnation,
                 instant ended_before = {}) {
    controller_.SetTarget(now, condition, incarnation, ended_before);
  }
  /// An idle connection to the target was closed.
  void OnTargetDisconnected() { controller_.OnTargetDisconnected(); }
  bool Leased(instant now) const { return lease_.Valid(now, clock_); }
  bool Holds(instant now, uint32_t key) const { return Leased(now) && controller_.Holds(now, key); }
  /// Earliest instant at which the lease may end.
  instant LeaseEnd(instant now) const { return now + lease_.Remaining(now, clock_); }
  /// Records a request for the key.
  void OnRequest(instant now, uint32_t key) { controller_.OnRequest(now, key); }
  /// Reports that the target refused a request because it does not hold the key, although the key
  /// was granted.
  void OnNotHeld(instant now, uint32_t key) { controller_.OnNotHeld(now, key); }
  const range_controller& controller() const { return controller_; }

 private:
  // Logs and counts the handovers that have turned out unusable since the last call.
  void ReportUnusableHandovers(std::string_view source);
  void OnMapUnreadable(instant now, const std::string& reason);
  row_key LeaseRowKey(const std::string& node) const {
    return {kLeaseTable, settings_.service + "/" + node};
  }
  // Decodes the rows of the lease table that belong to this service.
  std::vector<observed_lease> DecodeLeases(const row_snapshot& rows) const;
  // Takes over the store's time and era from an answer to a call sent at `sent`.
  template <class Answer>
  void ObserveStore(instant sent, instant answered, const Answer& answer) {
    controller_.OnStoreAnswered();
    clock_.AddSample(sent, answered, answer.now);
    OnStoreEra(answered, EraOf(answer.version), {});
  }
  void MaintainLease(instant now);
  void ReadMap(instant now);
  void ReadLeases(instant now);
  void CommitChange(instant now);
  void OnCommitted(instant now, instant sent, const std::string& reason,
                   const result<row_receipt>& outcome, const std::vector<stored_row>& current);
  // Takes over the rows that a failed commit found: they need not be read again.
  void TakeCurrentRows(instant now, const std::vector<stored_row>& current);
  void SendCalls(instant now);
  void OnCallOutcome(instant now, const grant_call& call, const grant_call_outcome& outcome);

  decision_log& log_;
  metrics& metrics_;
  const row_store& store_;
  range_service_settings settings_;
  map_changed_function map_changed_;
  grant_call_function call_target_;
  store_clock clock_;
  process_lease lease_;
  range_controller controller_;
  bool leased_ = false;
  uint64_t reported_unusable_handovers_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_RANGE_SERVICE_H
