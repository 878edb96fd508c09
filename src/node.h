#ifndef BULRUSHWAY_NODE_H
#define BULRUSHWAY_NODE_H

// One router process beside a target: it connects the server for callers, the gate of the target,
// the peers, key ownership and the configuration. It accesses the platform only through the ports
// that the adapter provides.

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "configuration_handover.h"
#include "configuration_origin.h"
#include "decision_log.h"
#include "event_loop.h"
#include "fleet_view.h"
#include "header_names.h"
#include "http_server.h"
#include "membership.h"
#include "memory_budget.h"
#include "metrics.h"
#include "own_target.h"
#include "peer_mesh.h"
#include "peer_request_map.h"
#include "quota_service.h"
#include "request_router.h"
#include "route_table.h"
#include "row_store.h"
#include "store_relay.h"
#include "table_follower.h"
#include "target_gate.h"

namespace bulrushway {

/// Settings of a node. Only the limits that UpdateLimits() takes over may change while it runs.
struct node_settings {
  std::string name;
  std::string ip;
  std::string data_centre;
  std::string region;
  /// Service and address of the target beside this process.
  std::string service;
  socket_address target;
  /// Address that accepts requests of callers on this machine.
  socket_address callers;
  /// Address that accepts connections of other processes.
  socket_address peers;
  /// Address that serves counters and latencies.
  socket_address metrics;
  std::chrono::milliseconds heartbeat{1000};
  /// Time after the acknowledgement of a leave for which new requests may reach the target.
  std::chrono::milliseconds drain_limit{2500};
  /// Time after the acknowledgement of an evacuation for which requests may reach targets of the
  /// data centre.
  std::chrono::milliseconds evacuation_limit{5000};
  /// Time after the acknowledgement of a configuration within which it must be in force.
  std::chrono::milliseconds configuration_limit{2500};
  /// The platform kills a process this long after the request to stop.
  std::chrono::milliseconds stop_limit{6000};
  /// Whether requests that need the key of a workspace are refused once the configuration has not
  /// been confirmed for `revocation_limit`: a key may have been removed since.
  bool strict_revocation = false;
  std::chrono::milliseconds revocation_limit{5000};
  /// Maximum duration of a grant of keys.
  std::chrono::milliseconds longest_grant{10'000};
  /// How grants of keys reach the target.
  grant_delivery_kind grants = grant_delivery_kind::kHeartbeat;
  /// The whole system starts for the first time: nothing was stored before, so that the store
  /// cannot have lost anything.
  bool first_start = false;
  /// Extra arrivals at targets that all processes together may cause, as a share of requests.
  double retry_share = 0.2;
  /// Rate of the machine's link in each direction; zero means unknown, and the link is not limited.
  double link_bytes_per_second = 0;
  /// Memory that the process may use, in bytes; zero means unknown, and it is not limited.
  double memory_bytes = 0;
  /// Keeps slots of the target free of long requests for more urgent ones.
  bool urgent_room = false;
  /// Learns how many requests the target handles well, instead of using all its slots.
  bool adaptive_concurrency = false;
  /// Most pipelined requests of a caller's connection that are handled at the same time.
  size_t pipeline_depth = 8;
  /// Descriptors that the process may have open; zero means that only the system limits them.
  size_t descriptors = 0;
  /// Requests that a cold target can handle in addition to its rate, in total.
  double cold_slack = 5;
  header_names headers;

  bool operator==(const node_settings&) const = default;
};

/// Functions that the platform adapter provides.
struct node_ports {
  row_store store;
  /// Table that operators write to, and the function that parses one of its rows and calls one of
  /// the setters of node.
  std::string operator_table;
  std::function<void(instant, const stored_row&, const operator_row_source&)> operator_row;
  std::function<std::optional<reported_load>(const std::string&)> parse_load;
  /// Sends a grant or a release to the target; used only where the settings ask for calls.
  grant_call_function call_target;
};

/// A running process.
class node {
 public:
  node(event_loop& loop, const node_settings& settings, node_ports ports, uint64_t process);

  ~node() { loop_.OnException({}); }
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  /// Listens for callers and peers, and starts to follow the store.
  result<void> Start(instant now);
  /// Starts a planned stop: refuses new requests after a short time and exits when all requests are
  /// done.
  void Stop(instant now);

  /// Processes a heartbeat of the target. The answer contains a grant of keys if there is one.
  struct heartbeat_answer {
    heartbeat_verdict verdict = heartbeat_verdict::kAccepted;
    std::optional<target_grant> grant;
  };
  heartbeat_answer OnHeartbeat(instant now, const target_heartbeat& heartbeat);
  /// The target reports that it has left. False when `id` is not the current incarnation.
  bool OnTargetLeft(instant now, const std::string& id);
  /// An idle connection over which grants reach the target was closed.
  void OnTargetDisconnected() { members_.OnTargetDisconnected(); }
  /// Takes over a configuration; ignored unless it is newer than the one in force.
  void OnConfiguration(instant now, std::shared_ptr<const route_table> table,
                       const operator_row_source& source);
  /// Operators have taken a data centre out of service, or put it back.
  void OnEvacuation(instant now, const std::string& data_centre, bool out);
  /// Updates limits; names and addresses stay.
  void UpdateLimits(instant now, const node_settings& settings);
  /// Whether the process accepts new callers.
  bool Ready(instant now) const;

  decision_log& log() { return log_; }
  metrics& counters() { return metrics_; }
  event_loop& loop() { return loop_; }
  const node_settings& settings() const { return settings_; }

 private:
  void Tick(instant now);
  void UpdateTargetState(instant now);
  // The port for calls to the target; their outcomes tell whether it runs.
  grant_call_function CallTarget();
  // Logs that grants reach the target in another session than before.
  void ReportGrantSession(instant now, const grant_call& call, uint64_t session);
  node_report OwnReport(instant now);
  void OnPeerRequest(instant now, session_id from, dispatch_request request);
  void OnPeerBody(instant now, session_id from, const request_body& body);
  void Relay(instant now, const peer_request_key& key, dispatch_request request);
  void OnPeerCancelled(instant now, session_id from, uint64_t id);
  void OnPeerGone(instant now, session_id from);
  void OnPeerReport(instant now, const node_report& report);
  // Tables that a process of the data centre may follow for all.
  std::array<table_follower*, 3> FollowedTables() {
    return {&operator_rows_, &members_.member_follower(), &members_.key_map_follower()};
  }
  // Decides whether to follow the store, and reads changes that did not arrive.
  void UpdateRelay(instant now);
  void UpdateTableMetrics(instant now);
  // Whether all followed tables are current.
  bool TablesCurrent(instant now);
  // Sends the change to the processes of this data centre, and to one process of each other one,
  // which passes it on: the cost must not grow with the fleet.
  void SendKeyMapChange(key_map_change change, bool to_other_data_centres);
  void OnTableChanges(instant now, const std::string& from, const table_changes_notice& notice);
  // Passes a row of the operators to the adapter, and keeps the one of the configuration in force.
  void OnOperatorRow(instant now, const stored_row& row, const operator_row_source& source);
  void AskForConfiguration(instant now, uint64_t own_version);
  void OnConfigurationRequest(instant now, session_id from,
                              const configuration_row_request& request);
  void OnConfigurationAnswer(instant now, const configuration_row_answer& answer);
  static http_limits LimitsOf(const caller_limits& limits);
  void PassOn(const std::string& table, uint64_t after, uint64_t version,
              const std::vector<stored_row>& rows);
  void BroadcastSuspects(instant now);
  void RefreshIfBehind(instant now);
  // Whether the store has confirmed lately, to this process or to the neighbour that follows the
  // store for it, that there is no newer configuration.
  bool ConfigurationConfirmed(instant now) {
    return neighbour_follows_ || operator_rows_.Current(now);
  }
  bool MayAcceptKeys(instant now) const {
    return !settings_.strict_revocation ||
           now - configuration_confirmed_ <= settings_.revocation_limit;
  }
  // Reacts to a return of the store from a copy, as seen in its answers or reported by peers.
  void FollowStoreEra(instant now);
  range_service* OwnKeys() { return members_.Find(settings_.service); }
  const range_service* OwnKeys() const { return members_.Find(settings_.service); }
  bool OwnServiceKeyed() const;
  // Connections that callers may have open; zero means that they are not limited.
  size_t MaxCallerConnections() const;
  void UpdateCallerLimits(instant now);
  std::pair<refusal_reason, std::chrono::milliseconds> WhyNotHeld(instant now, uint32_t key) const;
  std::string OtherOwner(uint32_t key) const;
  bool DataCentreOut() const { return evacuated_.contains(settings_.data_centre); }
  // Whether the target may still serve keys that it holds: until they have moved, it is the only
  // one that can.
  bool MayServeKeys(instant now) const;
  void FinishStop(instant now);
  // When a process that stops answers its last requests.
  instant LatestAnswer() const;
  std::optional<std::chrono::milliseconds> TimeUntilRestart(instant now) const;
  static target_gate_ports GatePorts(node& self);
  static peer_mesh_events MeshEvents(node& self);
  static request_router_ports RouterPorts(node& self);
  static quota_service_ports QuotaPorts(node& self);
  // Node that issues the part of a quota which belongs to the key.
  std::string QuotaIssuer(uint32_t key) const;
  // Whether no other process can issue the tokens that this one issues.
  bool MayIssueQuota(instant now) const;
  static membership_events MemberEvents(node& self);

  event_loop& loop_;
  node_settings settings_;
  node_ports ports_;
  store_contact contact_;
  row_store store_;
  uint64_t process_;
  decision_log log_;
  metrics metrics_;
  fleet_view fleet_;
  memory_budget budget_;
  bulk_pacer pacer_;
  own_target target_;
  target_condition target_condition_ = target_condition::kUnknown;
  // Session of the latest grant.
  uint64_t grant_session_ = 0;
  target_gate gate_;
  peer_mesh mesh_;
  quota_service quotas_;
  request_router router_;
  http_server callers_;
  http_server metrics_server_;
  membership members_;
  table_follower operator_rows_;
  std::shared_ptr<const route_table> table_;
  operator_row_source table_source_;
  instant table_adopted_{};
  instant configuration_confirmed_{};
  // The row that holds the configuration in force.
  stored_row configuration_row_;
  configuration_search search_;
  handover_limit handovers_;
  // The peer that passed on the rows that are being applied.
  std::string relaying_peer_;
  // Data centres out of service, and since when this process knows.
  std::map<std::string, instant> evacuated_;
  // Requests of peers at the gate.
  peer_request_map<target_gate::ticket> peer_requests_;
  // Requests that this process relays for peers.
  peer_request_map<peer_mesh::ticket> relayed_;
  uint64_t report_sequence_ = 0;
  uint64_t newest_peer_version_ = 0;
  instant started_{};
  uint64_t handled_era_ = 0;
  // Time of the store's answer after which its tables were last read again.
  instant handled_answer_{};
  std::optional<instant> behind_since_;
  // When the store was first read because of a newer configuration at peers.
  std::optional<instant> refreshed_;
  // Latest changes that peers have reported, in the order of FollowedTables().
  std::array<uint64_t, 3> newest_peer_changes_{};
  relay_gap relay_gap_;
  bool follows_store_ = false;
  // A neighbour follows the store for this process.
  bool neighbour_follows_ = false;
  std::string unknown_peer_;
  std::optional<instant> unknown_peer_since_;
  std::optional<instant> stopping_since_;
  instant next_limits_{};
  instant last_busy_{};
  target_report last_told_;
  timer tick_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_NODE_H
