#ifndef BULRUSHWAY_RANGE_SERVICE_H
#define BULRUSHWAY_RANGE_SERVICE_H

// Carries out what the steward of a target's keys decides: holds the lease, reads and changes the
// map of owners in the platform's store. Runs on each node beside a target of a divided service.

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "decision_log.h"
#include "metrics.h"
#include "process_lease.h"
#include "range_controller.h"
#include "row_store.h"

namespace bulrushway {

/// Table of the maps of owners, by service. Everybody follows it.
inline constexpr const char* kKeyMapTable = "key-maps";
/// Table of leases, by service and node. A table of its own, since its many renewals concern
/// nobody.
inline constexpr const char* kLeaseTable = "leases";

/// Identity of the process.
struct range_service_settings {
  std::string node;
  std::string ip;
  std::string service;
  uint64_t process = 0;
  lease_settings lease;
  range_controller_settings controller;
};

/// Tells a node that it owns keys which it did not own before, by the map of this version. It would
/// hear it from the store too, but later the larger the fleet is, and nobody serves the keys until
/// then.
using keys_assigned_function =
    std::function<void(instant, const std::string& node, uint64_t version)>;

/// The steward of one target's keys with its store.
class range_service {
 public:
  range_service(decision_log& log, metrics& counters, const row_store& store,
                const range_service_settings& settings, instant now,
                keys_assigned_function keys_assigned);

  /// Renews the lease and carries out the next step of the steward.
  void Tick(instant now, const std::vector<range_candidate>& candidates);
  /// The feed brought the map.
  void OnMapRow(instant sent, const stored_row& row);
  std::optional<target_grant> OnHeartbeat(instant now, const target_heartbeat& heartbeat);
  void SetTarget(instant now, target_condition condition, const target_incarnation& incarnation) {
    controller_.SetTarget(now, condition, incarnation);
  }
  bool Leased(instant now) const { return lease_.Valid(now, clock_); }
  bool Holds(instant now, uint32_t key) const { return Leased(now) && controller_.Holds(now, key); }
  /// Until when the lease is valid for certain.
  instant LeaseEnd(instant now) const { return now + lease_.Remaining(now, clock_); }
  /// A request for the key came to the gate.
  void OnRequest(instant now, uint32_t key) { controller_.OnRequest(now, key); }
  /// The target refused a key that it was granted.
  void OnNotHeld(instant now, uint32_t key) { controller_.OnNotHeld(now, key); }
  const range_controller& controller() const { return controller_; }

 private:
  row_key LeaseRowKey(const std::string& node) const {
    return {kLeaseTable, settings_.service + "/" + node};
  }
  // The leases of this service among all rows of the table.
  std::vector<observed_lease> DecodeLeases(const row_snapshot& rows) const;
  void MaintainLease(instant now);
  void ReadMap(instant now);
  void ReadLeases(instant now);
  void CommitChange(instant now);
  // Other nodes that the change gives keys to.
  std::set<std::string> NewOwners(const ownership_change& change) const;

  decision_log& log_;
  metrics& metrics_;
  const row_store& store_;
  range_service_settings settings_;
  keys_assigned_function keys_assigned_;
  store_clock clock_;
  process_lease lease_;
  range_controller controller_;
  bool leased_ = false;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_RANGE_SERVICE_H
