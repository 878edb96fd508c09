#ifndef BULRUSHWAY_FLEET_VIEW_H
#define BULRUSHWAY_FLEET_VIEW_H

// What this process knows of the other processes and their targets: where they are, from the
// platform's table, and how they do, from their reports and answers. This process is in it too.

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

/// A process as it announces itself in the platform's table.
struct member_record {
  std::string node;
  socket_address address;
  std::string data_centre;
  std::string region;
  /// Service of the target beside it.
  std::string service;
  /// Life of the process.
  uint64_t process = 0;
  /// Where it takes operators' questions; none where these go elsewhere.
  socket_address operators = {};

  bool operator==(const member_record&) const = default;
};

std::string EncodeMember(const member_record& member);
result<member_record> DecodeMember(const std::string& bytes);

/// Distance of a node, nearest first.
enum class node_locality : uint8_t { kSelf, kDataCentre, kRegion, kRemote };

/// What is known of one node.
struct node_state {
  member_record member;
  node_locality locality = node_locality::kRemote;
  /// A connection to it works both ways.
  bool reachable = false;
  /// Since when it is as it is.
  instant reachable_since{};
  bool reported = false;
  node_report report;
  /// When the target's load was last told, by a report or an answer.
  instant load_received{};
  /// Requests that this process sent since then.
  uint32_t sent_since_load = 0;
  /// Requests of this process that are under way there.
  uint32_t in_flight = 0;
  /// Round trip to the process.
  std::chrono::nanoseconds round_trip{0};
  /// Moving share of requests that failed there after they had been offered, 0 to 1.
  double failure_share = 0;
  /// Refused a request as full: not chosen again before this.
  instant avoid_until{};

  /// Whether its target may be sent new requests.
  bool Usable() const {
    return reachable && reported && !report.stopping && report.target.accepting &&
           !report.target.evacuated;
  }
};

/// All nodes known.
class fleet_view {
 public:
  fleet_view(std::string self, std::string data_centre, std::string region);

  /// The table has this row for a node. True if the node is new or has moved.
  bool OnMember(const member_record& member);
  /// The table has no row for the node any more.
  void OnMemberRemoved(const std::string& node);
  /// A report of the node, or of this process itself. Late ones are ignored.
  void OnReport(instant now, const node_report& report);
  /// The connection to the node was made, works again, or is lost.
  void OnReachable(instant now, const std::string& node, bool reachable);
  void OnRoundTrip(const std::string& node, std::chrono::nanoseconds round_trip);
  void OnSent(const std::string& node);
  void OnAnswer(instant now, const std::string& node, const dispatch_answer& answer);

  const node_state* Find(const std::string& node) const;
  const std::map<std::string, node_state>& nodes() const { return nodes_; }
  /// Nodes beside targets of the service.
  std::vector<const node_state*> OfService(const std::string& service) const;
  const std::string& self() const { return self_; }

 private:
  node_locality LocalityOf(const member_record& member) const;

  std::string self_;
  std::string data_centre_;
  std::string region_;
  std::map<std::string, node_state> nodes_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_FLEET_VIEW_H
