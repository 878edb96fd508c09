#ifndef BULRUSHWAY_MEMBERSHIP_H
#define BULRUSHWAY_MEMBERSHIP_H

// Binds the pure modules of membership and ownership to the world: gossip and leases travel as
// datagrams, terms are written to the platform's table, and what changes is told to the gate and
// the log. It decides nothing itself.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "announcement.h"
#include "control_codec.h"
#include "datagram_transport.h"
#include "directory.h"
#include "event_log.h"
#include "event_loop.h"
#include "forwarder.h"
#include "gossip.h"
#include "http_table_service.h"
#include "metrics.h"
#include "ownership_core.h"

namespace bulrushway {

/// What membership tells the rest of the process.
struct membership_ports {
  /// Slices that this node owns from now on.
  std::function<void(instant, const std::vector<slice_epoch>&)> gained;
  /// Slices that this node owns no longer; with `lapsed`, what is in flight must be cut.
  std::function<void(instant, const std::vector<slice_number>&, bool lapsed)> lost;
  /// Requests in flight for a slice.
  in_flight_query in_flight;
  /// A gossip item of another kind arrived.
  std::function<void(instant, const gossip_item&)> item;
};

/// This process in the fleet.
class membership {
 public:
  membership(event_loop& loop, event_log& log, metrics& counters, http_table_service& table,
             forwarder& peers, announcement self, std::vector<socket_address> seeds, uint64_t seed);
  ~membership();

  /// To be called before Start.
  void SetPorts(membership_ports ports) { ports_ = std::move(ports); }
  result<void> Start(instant now);
  void Stop(instant now);

  /// The layout of the service's slices is known from the first configuration on; ownership begins
  /// then. `owns_keys` is false for lookup services, whose processes only witness.
  void BeginOwnership(instant now, const slice_layout& layout, bool owns_keys);
  /// Drops all control messages of a node, as a network partition would. For failure tests.
  void SetDropped(const std::string& node, bool dropped);
  /// A control message that came over a connection.
  void OnControl(instant now, const std::string& bytes, const std::string& peer);
  /// Publishes an item of another module to all processes.
  void Publish(instant now, gossip_item item);
  /// What this process says about itself. While it is leaving, or its target is down, it gives its
  /// slices away.
  void SetState(instant now, bool target_up, bool leaving, uint64_t configuration_version,
                uint32_t slots);
  /// Gives all slices away; Stopped() tells when that is done.
  void BeginStop(instant now);
  bool Stopped() const;

  /// The epoch under which this node may serve the slice right now.
  std::optional<uint64_t> Serves(instant now, uint32_t slice) const;
  /// When the lease of this node ends.
  instant LeaseExpiry() const;
  /// The node that owns the slice as far as this one knows, preferring what it gives away itself.
  std::string OwnerHint(uint32_t slice) const;
  /// Learns from a peer's refusal who owns a slice.
  void LearnOwner(const std::string& service, uint32_t slice, const std::string& node);
  const directory& Known() const { return directory_; }
  const gossip& Items() const { return gossip_; }
  const announcement& Self() const { return self_; }
  std::optional<ownership_status> OwnershipStatus() const;
  /// Counters of control traffic, for metrics.
  void ExportMetrics(instant now);

 private:
  void Tick(instant now);
  result<control_envelope> Decode(std::string_view bytes, const std::string& peer) const;
  void OnBadMessage(const error& cause);
  void Receive(instant now, const control_envelope& envelope, const socket_address* from);
  void OnItem(instant now, const gossip_item& item);
  void OnAnnouncement(const announcement& heard, uint64_t version);
  void SendTo(const std::string& node, const control_envelope& envelope);
  void SendBytes(const socket_address& address, const std::string& bytes);
  void Announce(instant now);
  void PublishClaims(instant now);
  void TellMembers(instant now);
  void RunActions(instant now);
  void Perform(instant now, const send_message_action& action);
  void Perform(instant now, const commit_action& action);
  void Perform(instant now, const read_prefix_action& action);
  void Perform(instant now, const publish_claim_action& action);
  void Perform(instant now, const publish_fact_action& action);
  void Perform(instant now, const slices_gained_action& action);
  void Perform(instant now, const slices_lost_action& action);
  void Perform(instant now, const event_action& action);
  void FindPeers(instant now);
  void RefreshGossipPeers();
  uint64_t NextVersion(uint64_t floor);

  event_log& log_;
  metrics& metrics_;
  http_table_service& table_;
  forwarder& peers_;
  datagram_transport datagrams_;
  timer tick_;
  gossip gossip_;
  directory directory_;
  announcement self_;
  std::vector<socket_address> seeds_;
  uint64_t seed_;
  std::unique_ptr<ownership_core> core_;
  slice_layout layout_;
  membership_ports ports_;
  std::vector<std::pair<uint32_t, uint64_t>> claimed_;
  size_t claim_parts_ = 0;
  std::vector<ownership_claim> published_claims_;
  uint64_t last_version_ = 0;
  uint64_t members_revision_ = 0;
  uint64_t gossip_revision_ = 0;
  std::vector<std::string> gossip_peers_;
  instant next_gossip_;
  instant next_search_;
  instant last_tick_;
  bool announce_ = true;
  std::set<std::string> dropped_;
  uint64_t conflicts_ = 0;
  uint64_t control_messages_ = 0;
  uint64_t control_bytes_ = 0;
  bool running_ = false;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_MEMBERSHIP_H
