#ifndef BULRUSHWAY_FLEET_VIEW_H
#define BULRUSHWAY_FLEET_VIEW_H

// State of all processes and their targets, this process included: addresses and locations come
// from the member table of the platform, load and health from reports and answers.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "clock.h"
#include "error.h"
#include "peer_messages.h"
#include "socket_address.h"

namespace bulrushway {

/// Row of a process in the platform's member table.
struct member_record {
  std::string node;
  socket_address address;
  std::string data_centre;
  std::string region;
  /// Service of the target beside the process.
  std::string service;
  /// Incarnation of the process: differs after each restart.
  uint64_t process = 0;
  /// Address for requests of operators; empty when they are served elsewhere.
  socket_address operators = {};

  bool operator==(const member_record&) const = default;
};

std::string EncodeMember(const member_record& member);
result<member_record> DecodeMember(const std::string& bytes);

/// Distance of a node, nearest first.
enum class node_locality : uint8_t { kSelf, kDataCentre, kRegion, kRemote };

/// State of one node.
struct node_state {
  member_record member;
  node_locality locality = node_locality::kRemote;
  /// The connection to the node works in both directions.
  bool reachable = false;
  /// The node owes a receipt: others are preferred.
  bool suspect = false;
  /// Time of the last change of `reachable`.
  instant reachable_since{};
  bool reported = false;
  node_report report;
  instant report_received{};
  /// Time at which the target's load was last received, in a report or an answer.
  instant load_received{};
  /// Requests that this process has sent since `load_received`.
  uint32_t sent_since_load = 0;
  /// Requests of this process to the node without an answer yet.
  uint32_t in_flight = 0;
  /// EWMA of the round trip time to the process; zero when unknown.
  std::chrono::nanoseconds round_trip{0};
  /// EWMA of the share of requests that failed after the target received them, 0 to 1.
  double failure_share = 0;
  /// Not chosen before this time, after a refusal because of load.
  instant avoid_until{};

  /// The incarnation of the target that has said that it is leaving, and when this process learned
  /// of it. Survives a restart of the node's process, which does not know it any more.
  target_incarnation leaving_target;
  instant leaving_since{};

  bool TargetLeaving() const {
    return !leaving_target.id.empty() && report.target.incarnation == leaving_target;
  }
  /// Whether the target has been leaving for longer than `drain_limit`.
  bool TargetLeft(instant now, std::chrono::milliseconds drain_limit) const {
    return TargetLeaving() && now - leaving_since > drain_limit;
  }
  /// Whether new requests may be sent to its target.
  bool Usable() const {
    return reachable && reported && !report.stopping && report.target.accepting &&
           !TargetLeaving() && !report.target.evacuated;
  }
};

/// All nodes in the member table.
class fleet_view {
 public:
  fleet_view(std::string self, std::string data_centre, std::string region);

  /// Updates a node from its row in the member table. Returns whether the row is new or has
  /// changed.
  bool OnMember(const member_record& member);
  /// Removes a node whose row was deleted from the member table.
  void OnMemberRemoved(const std::string& node);
  /// Takes over a report of a node or of this process. Outdated reports are ignored.
  void OnReport(instant now, const node_report& report);
  /// The connection to the node was established, restored or lost.
  void OnReachable(instant now, const std::string& node, bool reachable);
  void OnSuspect(const std::string& node, bool suspect);
  void OnRoundTrip(const std::string& node, std::chrono::nanoseconds round_trip);
  void OnSent(const std::string& node);
  void OnAnswer(instant now, const std::string& node, const dispatch_answer& answer);

  const node_state* Find(const std::string& node) const;
  const std::map<std::string, node_state>& nodes() const { return nodes_; }
  /// Nodes whose targets run the service.
  std::vector<const node_state*> OfService(const std::string& service) const;
  const std::string& self() const { return self_; }

 private:
  node_locality LocalityOf(const member_record& member) const;
  static void RecordLeaving(instant now, node_state& state);

  std::string self_;
  std::string data_centre_;
  std::string region_;
  std::map<std::string, node_state> nodes_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_FLEET_VIEW_H
