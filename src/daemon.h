#ifndef BULRUSHWAY_DAEMON_H
#define BULRUSHWAY_DAEMON_H

// Puts the services of one bulrushd together and lets them find each other: the callers' side, the
// gate beside the target, membership, configuration and the operators' paths.

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "configuration_service.h"
#include "daemon_settings.h"
#include "entry.h"
#include "event_log.h"
#include "event_loop.h"
#include "forwarder.h"
#include "gate.h"
#include "http_client.h"
#include "http_server.h"
#include "http_table_service.h"
#include "kernel.h"
#include "membership.h"
#include "metrics.h"
#include "peer_transport.h"
#include "rules_view.h"

namespace bulrushway {

/// One process beside a target.
class daemon {
 public:
  daemon(daemon_settings settings, any_picker picker, bool hedge, uint64_t seed);
  ~daemon();

  /// Lets operators of a test make this process drop traffic (POST /-/faults).
  void AllowFaults() { faults_allowed_ = true; }
  /// Listens on all addresses and joins the fleet.
  result<void> Start(instant now);
  /// Runs until a planned stop is complete.
  void Run();
  /// Begins a planned stop; a second call ends the process at once.
  void BeginStop(instant now);

  /// A service of the kernel: accepts callers and operators.
  struct callers_service {
    daemon* owner;
    result<void> Start(instant now);
    void Stop(instant now);
  };
  /// A service of the kernel: accepts peers.
  struct peers_service {
    daemon* owner;
    result<void> Start(instant now);
    void Stop(instant now);
  };

 private:
  struct incoming_request;

  static std::chrono::sys_seconds WallNow();
  gate_ports MakeGatePorts();
  entry_ports MakeEntryPorts();
  membership_ports MakeMembershipPorts();
  announcement MakeAnnouncement() const;
  void OnExchange(std::shared_ptr<http_exchange> exchange);
  void OnPeerMessage(connection_id from, peer_message message);
  void OnPeerClosed(connection_id id, bool stood, const error& reason);
  void OnForwarded(instant now, connection_id from, forward_request request);
  void PublishSuspects(instant now);
  void OnItem(instant now, const gossip_item& item);
  void OnGained(instant now, const std::vector<slice_epoch>& slices);
  void OnMemoryRequest(connection_id from, const memory_request& request);
  void OnMemoryAnswer(instant now, const memory_answer& answer);
  uint32_t Slots() const;
  void ProbeTarget(instant now);
  void SetTargetUp(bool up);
  void Tick(instant now);
  void OnRules(instant now);
  void CheckStopped(instant now);
  std::optional<gate_refusal> CheckRules(instant now, const forward_request& request) const;
  gate_refusal NotServed(instant now, uint32_t slice) const;
  http_answer Administer(instant now, const http_request& request);
  http_answer ShowStatus(instant now) const;
  http_answer ShowOwner(const http_request& request) const;
  http_answer ShowMetrics(instant now);
  http_answer ShowEvents(const http_request& request) const;
  http_answer SetFaults(const http_request& request);
  bool Dropped(connection_id from) const;
  http_answer Quarantine(instant now, const http_request& request);

  daemon_settings settings_;
  event_loop loop_;
  event_log log_;
  metrics metrics_;
  kernel kernel_;
  http_client platform_client_;
  http_table_service table_;
  rules_view rules_;
  peer_transport transport_;
  forwarder forwarder_;
  membership membership_;
  configuration_service configuration_;
  gate gate_;
  entry entry_;
  http_server http_;
  callers_service callers_{this};
  peers_service peers_{this};
  timer tick_;
  std::map<std::pair<connection_id, uint64_t>, gate::ticket> incoming_;
  std::map<connection_id, std::string> hellos_;
  std::set<std::string> dropped_;
  bool faults_allowed_ = false;
  http_client probe_client_;
  bool probing_ = false;
  int failed_probes_ = 0;
  instant next_probe_;
  bool target_up_ = true;
  bool stopping_ = false;
  bool data_centre_out_ = false;
  instant out_since_;
  instant next_forwarder_tick_;
  instant stop_deadline_;
  instant drained_since_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_DAEMON_H
