#ifndef BULRUSHWAY_PEER_MESH_H
#define BULRUSHWAY_PEER_MESH_H

// The connections of this process to the others. Each peer gets two: one for reports and small
// requests, one for requests with large answers, so that these do not hold up the others. Reports
// are receipted, which shows whether a connection still works both ways; one that does not is
// replaced.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "decision_log.h"
#include "fleet_view.h"
#include "peer_transport.h"

namespace bulrushway {

/// What the owner of the mesh wants to hear.
struct peer_mesh_events {
  /// A peer sent a request for the target beside this process. Answer through Answer().
  std::function<void(instant, connection_id from, dispatch_request)> request;
  /// The peer that sent the request does not want it any more.
  std::function<void(instant, connection_id from, uint64_t id)> cancelled;
  /// A connection that peers opened is gone, and with it all of their requests.
  std::function<void(instant, connection_id from)> incoming_closed;
  std::function<void(instant, const node_report&)> report;
  /// The report to send to peers now.
  std::function<node_report(instant)> own_report;
  /// A peer tells of requests that were at targets when these crashed.
  std::function<void(instant, const poison_notice&)> poison_reported;
  /// Any other message. Answer through Reply().
  std::function<void(instant, connection_id from, const peer_message&)> other_message;
};

/// Time between two reports to a peer at this distance, of this many peers in all.
std::chrono::milliseconds ReportInterval(node_locality locality, size_t peers);

/// Connections to all peers.
class peer_mesh {
 public:
  using callback = std::function<void(instant, dispatch_answer)>;
  /// Names a request that is under way at a peer; 0: none.
  using ticket = uint64_t;

  peer_mesh(event_loop& loop, decision_log& log, fleet_view& fleet, peer_mesh_events events,
            bulk_pacer* pacer = nullptr);

  result<void> Listen(const socket_address& address) { return transport_.Listen(address); }
  /// Follows the members in the fleet view: connects to new ones, forgets those that are gone.
  void FollowMembers(instant now);
  /// Sends a request. `done` is called once, never before Send returns; 0 if there is no
  /// connection, and `done` is not called.
  ticket Send(const std::string& node, dispatch_request request, bool large_answer, callback done);
  /// The answer is not wanted any more.
  void Cancel(ticket id);
  /// Answers a request of a peer.
  void Answer(connection_id to, const dispatch_answer& answer) { transport_.Send(to, answer); }
  /// Sends a message to a peer. False when there is no connection: nothing was sent.
  bool SendMessage(const std::string& node, const peer_message& message);
  /// Answers a message of a peer.
  void Reply(connection_id to, const peer_message& message) { transport_.Send(to, message); }
  /// Address at the other end of a connection; empty when it is gone.
  std::string AddressOf(connection_id id) const { return transport_.PeerAddress(id); }
  /// Ignores all that these peers send, as if their packets were lost. For failure tests.
  void SetDropped(std::set<std::string> nodes) { dropped_ = std::move(nodes); }
  /// Bytes sent to and received from peers since the start.
  uint64_t BytesSent() const { return transport_.BytesSent(); }
  uint64_t BytesReceived() const { return transport_.BytesReceived(); }
  /// Sends a message, made for each, to all peers that are connected.
  void SendToAll(const std::function<peer_message(const node_state&)>& make);
  /// Whether bytes for peers wait to be sent.
  bool HasUnsent() const { return transport_.HasUnsent(); }
  /// Sends reports, replaces connections that do not work.
  void Tick(instant now);
  /// Sends a report to everybody at once: something changed that peers should know now.
  void ReportNow(instant now);

 private:
  struct link {
    connection_id connection = 0;
    bool established = false;
    instant opened;
    instant retry_at;
  };
  struct peer {
    socket_address address;
    node_locality locality = node_locality::kRemote;
    // For small requests and reports, and for large answers.
    link links[2];
    instant next_report;
    uint64_t unacked_sequence = 0;
    instant unacked_since;
    bool acknowledged = true;
  };
  struct pending {
    std::string node;
    connection_id connection = 0;
    callback done;
  };

  bool IsEstablished(const link& peer_link) const {
    return peer_link.connection != 0 && transport_.Established(peer_link.connection);
  }
  // What follows from the loss of a connection that this process opened.
  void OnLinkLost(instant now, const std::string& node, connection_id connection,
                  bool was_established, const std::string& why);
  void Open(instant now, peer& remote, link& peer_link);
  void SendReport(instant now, peer& remote);
  void OnMessage(instant now, connection_id from, peer_message message);
  bool IsDropped(connection_id from, const peer_message& message);
  void OnClosed(instant now, connection_id from, bool was_established, const error& reason);
  void CloseLink(instant now, const std::string& node, link& peer_link, const std::string& why);
  void FailPending(instant now, connection_id connection, bool was_established);
  void OnAck(instant now, connection_id from, const node_report_ack& ack);

  decision_log& log_;
  fleet_view& fleet_;
  peer_mesh_events events_;
  peer_transport transport_;
  std::map<std::string, peer> peers_;
  std::map<connection_id, std::string> outgoing_;
  std::map<ticket, pending> pending_;
  // Nodes by connections that they opened, as far as they have reported.
  std::map<connection_id, std::string> senders_;
  std::set<std::string> dropped_;
  ticket next_ticket_ = 1;
  uint64_t report_sequence_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_PEER_MESH_H
