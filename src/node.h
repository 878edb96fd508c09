#ifndef BULRUSHWAY_NODE_H
#define BULRUSHWAY_NODE_H

// One process beside a target, put together: callers' requests, the gate to the target, the other
// processes, the keys, and the configuration. It knows the platform only through the ports that the
// adapter fills in.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "decision_log.h"
#include "event_loop.h"
#include "fleet_view.h"
#include "header_names.h"
#include "http_server.h"
#include "membership.h"
#include "metrics.h"
#include "own_target.h"
#include "peer_mesh.h"
#include "peer_request_map.h"
#include "request_router.h"
#include "route_table.h"
#include "row_store.h"
#include "table_follower.h"
#include "target_gate.h"

namespace bulrushway {

/// Fixed properties of a node.
struct node_settings {
  std::string name;
  std::string ip;
  std::string data_centre;
  std::string region;
  /// Service of the target beside this process, and its address.
  std::string service;
  socket_address target;
  /// Where callers on this machine send their requests.
  socket_address callers;
  /// Where other processes connect.
  socket_address peers;
  /// Where counters and latencies are served.
  socket_address metrics;
  std::chrono::milliseconds heartbeat{1000};
  /// New requests may reach a leaving target for this long after the acknowledgement.
  std::chrono::milliseconds drain_limit{2500};
  /// A process that is asked to stop is killed after this time.
  std::chrono::milliseconds stop_limit{6000};
  /// Longest grant of keys that a target takes.
  std::chrono::milliseconds longest_grant{10'000};
  /// Extra arrivals at targets that all processes may cause, as a share of requests.
  double retry_share = 0.2;
  /// What the machine's link carries each way; 0: unknown, taken for ample.
  double link_bytes_per_second = 0;
  /// Requests per second that a cold target bears beyond its rate, in all.
  double cold_slack = 5;
  header_names headers;

  bool operator==(const node_settings&) const = default;
};

/// What the adapter provides.
struct node_ports {
  row_store store;
  /// Table in which operators write, and how to read one of its rows: calls one of the node's
  /// setters below.
  std::string operator_table;
  std::function<void(instant, const stored_row&)> operator_row;
  std::function<std::optional<reported_load>(const std::string&)> parse_load;
};

/// A running process.
class node {
 public:
  node(event_loop& loop, const node_settings& settings, node_ports ports, uint64_t process);

  /// Listens and begins to follow the store.
  result<void> Start(instant now);
  /// A planned stop: takes no new work and ends when what is under way is done.
  void Stop(instant now);

  /// A heartbeat of the target beside this process. Its grant, if there is one to give.
  struct heartbeat_answer {
    heartbeat_verdict verdict = heartbeat_verdict::kAccepted;
    std::optional<target_grant> grant;
  };
  heartbeat_answer OnHeartbeat(instant now, const target_heartbeat& heartbeat);
  /// The target says that it is gone. False when it is not the one that runs.
  bool OnTargetLeft(instant now, const std::string& id);
  /// A version of the configuration; older ones than that in force are ignored.
  void OnConfiguration(instant now, std::shared_ptr<const route_table> table);
  /// The operators have taken a data centre out of service, or taken it back.
  void OnEvacuation(instant now, const std::string& data_centre, bool out);
  /// Takes over limits that have changed; names and addresses stay.
  void UpdateLimits(instant now, const node_settings& settings);
  /// Whether new callers may come.
  bool Ready(instant now) const;

  decision_log& log() { return log_; }
  metrics& counters() { return metrics_; }
  event_loop& loop() { return loop_; }
  const node_settings& settings() const { return settings_; }

 private:
  void Tick(instant now);
  void UpdateTargetState(instant now);
  node_report OwnReport(instant now);
  void OnPeerRequest(instant now, connection_id from, dispatch_request request);
  void Relay(const peer_request_key& key, dispatch_request request);
  void OnPeerCancelled(instant now, connection_id from, uint64_t id);
  void OnPeerDisconnected(instant now, connection_id from);
  void OnPeerReport(instant now, const node_report& report);
  void BroadcastSuspects(instant now);
  void RefreshIfBehind(instant now);
  range_service* OwnKeys() { return members_.Find(settings_.service); }
  const range_service* OwnKeys() const { return members_.Find(settings_.service); }
  bool OwnServiceKeyed() const;
  std::pair<refusal_reason, std::chrono::milliseconds> WhyNotHeld(instant now, uint32_t key) const;
  std::string OtherOwner(uint32_t key) const;
  bool DataCentreOut() const { return evacuated_.contains(settings_.data_centre); }
  void FinishStop(instant now);
  std::optional<std::chrono::milliseconds> TimeUntilRestart(instant now) const;
  static target_gate_ports GatePorts(node& self);
  static peer_mesh_events MeshEvents(node& self);
  static request_router_ports RouterPorts(node& self);
  static membership_events MemberEvents(node& self);

  event_loop& loop_;
  node_settings settings_;
  node_ports ports_;
  uint64_t process_;
  decision_log log_;
  metrics metrics_;
  fleet_view fleet_;
  bulk_pacer pacer_;
  own_target target_;
  target_gate gate_;
  peer_mesh mesh_;
  request_router router_;
  http_server callers_;
  http_server metrics_server_;
  membership members_;
  table_follower operator_rows_;
  std::shared_ptr<const route_table> table_;
  std::set<std::string> evacuated_;
  // Requests of peers at the gate.
  peer_request_map<target_gate::ticket> peer_requests_;
  // Requests that peers have this process pass on.
  peer_request_map<peer_mesh::ticket> relayed_;
  uint64_t report_sequence_ = 0;
  uint64_t newest_peer_version_ = 0;
  std::optional<instant> behind_since_;
  std::string unknown_peer_;
  std::optional<instant> unknown_peer_since_;
  std::optional<instant> stopping_since_;
  instant last_busy_{};
  target_report last_told_;
  timer tick_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_NODE_H
