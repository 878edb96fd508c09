#ifndef BULRUSHWAY_DAEMON_H
#define BULRUSHWAY_DAEMON_H

// The bulrushd process: owns and connects the entry for callers, the gate in front of the target,
// the peer mesh, membership, configuration and the operators' paths.

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "configuration_service.h"
#include "daemon_settings.h"
#include "decision_log.h"
#include "entry.h"
#include "event_log.h"
#include "event_loop.h"
#include "fleet_view.h"
#include "gate.h"
#include "http_client.h"
#include "http_server.h"
#include "http_table_service.h"
#include "kernel.h"
#include "membership.h"
#include "metrics.h"
#include "peer_mesh.h"
#include "peer_request_map.h"
#include "rules_view.h"
#include "slice_owner.h"
#include "table_row_store.h"

namespace bulrushway {

/// One bulrushd process, which runs beside its target.
class daemon {
 public:
  daemon(daemon_settings settings, any_picker picker, bool hedge, uint64_t seed);
  ~daemon();

  /// Enables fault injection for tests: POST /-/faults makes this process drop traffic.
  void AllowFaults() { faults_allowed_ = true; }
  /// Listens on all addresses and joins the fleet. Returns the error of the service that failed.
  result<void> Start(instant now);
  /// Runs the event loop until a planned stop is complete.
  void Run();
  /// Begins a planned stop, which drains requests and keys; a second call ends Run() at once.
  void BeginStop(instant now);

  /// Kernel service that listens for callers and operators.
  struct callers_service {
    daemon* parent;
    result<void> Start(instant now);
    void Stop(instant now);
  };
  /// Kernel service that listens for peers and starts membership.
  struct peers_service {
    daemon* parent;
    result<void> Start(instant now);
    void Stop(instant now);
  };

 private:
  static std::chrono::sys_seconds WallNow();
  static gate_callbacks MakeGateCallbacks(daemon& self);
  static entry_callbacks MakeEntryCallbacks(daemon& self);
  static peer_mesh_events MakeMeshEvents(daemon& self);
  static membership_events MakeMembershipEvents(daemon& self);
  static slice_owner_callbacks MakeSliceCallbacks(daemon& self);
  membership_settings MakeMembershipSettings(uint64_t process) const;
  void OnExchange(std::shared_ptr<http_exchange> exchange);
  void OnPeerRequest(instant now, session_id from, dispatch_request request);
  void OnPeerCancelled(instant now, session_id from, uint64_t id);
  void OnPeerGone(instant now, session_id from);
  void OnPeerMessage(instant now, session_id from, const peer_message& message);
  void OnNotableDecision(std::string_view event, decision_log::fields values);
  node_report OwnReport(instant now) const;
  void BroadcastSuspects(instant now);
  void OnSlicesGained(instant now, const std::vector<gained_slice>& slices);
  void OnSlicesLost(instant now, const std::vector<slice_number>& slices, bool lapsed);
  void OnSliceMemoryRequest(session_id from, const slice_memory_request& request);
  void OnSliceMemoryAnswer(instant now, const slice_memory_answer& answer);
  uint32_t TargetSlots() const;
  bool Leaving() const;
  void ProbeTarget(instant now);
  void SetTargetUp(bool up);
  void Tick(instant now);
  void OnConfigurationAdopted(instant now);
  void FinishStopWhenDrained(instant now);
  std::optional<gate_refusal> CheckRules(instant now, const dispatch_request& request) const;
  gate_refusal NotServedRefusal(instant now, slice_number slice) const;
  std::string OwnerOf(const std::string& service, slice_number slice) const;
  size_t CountOwnedSlices(const std::string& service) const;
  http_answer HandleOperatorRequest(instant now, const http_request& request);
  http_answer ShowStatus(instant now) const;
  http_answer ShowOwner(const http_request& request) const;
  http_answer ShowMetrics(instant now);
  http_answer ShowEvents(const http_request& request) const;
  http_answer SetFaults(const http_request& request);
  http_answer HandleQuarantine(instant now, const http_request& request);

  daemon_settings settings_;
  event_loop loop_;
  event_log log_;
  decision_log decisions_;
  metrics metrics_;
  kernel kernel_;
  http_client platform_client_;
  http_table_service table_;
  table_row_store row_tables_;
  row_store rows_;
  rules_view rules_;
  fleet_view fleet_;
  peer_mesh mesh_;
  membership members_;
  slice_owner slices_;
  configuration_service configuration_;
  gate gate_;
  entry entry_;
  http_server http_;
  callers_service callers_{this};
  peers_service peers_{this};
  timer tick_;
  // Requests from peers that the gate has not answered yet.
  peer_request_map<gate::ticket> peer_requests_;
  // Nodes whose traffic an injected fault drops; "platform" stands for the platform.
  std::set<std::string> dropped_peers_;
  bool faults_allowed_ = false;
  http_client probe_client_;
  uint64_t process_;
  uint64_t report_sequence_ = 0;
  bool probing_ = false;
  int failed_probes_ = 0;
  instant next_probe_;
  bool target_up_ = true;
  bool stopping_ = false;
  bool data_centre_out_ = false;
  instant data_centre_out_since_;
  instant last_tick_;
  instant stop_deadline_;
  instant drained_since_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_DAEMON_H
