#ifndef BULRUSHWAY_PEER_MESH_H
#define BULRUSHWAY_PEER_MESH_H

// The connections of this process to its peers. Each peer has two: one for reports and small
// requests, one for requests with large answers, which avoids head-of-line blocking of the small
// ones. Peers acknowledge reports and requests, which shows whether a connection works in both
// directions. One that does not is replaced, and the requests that were sent over it are resumed
// over the new one: the peer says which of them it has not seen, so that they can be sent
// elsewhere.

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "decision_log.h"
#include "fleet_view.h"
#include "link_watch.h"
#include "metrics.h"
#include "peer_sessions.h"
#include "peer_transport.h"
#include "token_bucket.h"

namespace bulrushway {

/// Callbacks of the mesh to its owner.
struct peer_mesh_events {
  /// A peer sent a request for the target beside this process. The owner answers with Answer().
  std::function<void(instant, session_id from, dispatch_request)> request;
  /// The peer cancelled its request.
  std::function<void(instant, session_id from, uint64_t id)> cancelled;
  /// A peer is gone. Its requests need no answer.
  std::function<void(instant, session_id from)> session_ended;
  /// A peer sent its report.
  std::function<void(instant, const node_report&)> report;
  /// Returns the current report of this process.
  std::function<node_report(instant)> own_report;
  /// A peer reported requests that were running at targets when these crashed.
  std::function<void(instant, const poison_notice&)> poison_reported;
  /// Any other message. The owner answers with Reply().
  std::function<void(instant, session_id from, const peer_message&)> other_message;
};

/// Interval of reports to a peer at this distance, given the total number of peers.
std::chrono::milliseconds ReportInterval(node_locality locality, size_t peers);

/// The connections to all peers.
class peer_mesh {
 public:
  using callback = std::function<void(instant, dispatch_answer)>;
  /// Identifies a request in flight to a peer; 0 means none.
  using ticket = uint64_t;

  peer_mesh(event_loop& loop, decision_log& log, metrics& counters, fleet_view& fleet,
            peer_mesh_events events, bulk_pacer* pacer = nullptr,
            const memory_budget* budget = nullptr);
  /// Sends bodies of more bytes separately, when the peer permits it. By default all bodies are
  /// part of their requests.
  void SetMaxInlineBody(size_t bytes) { max_inline_body_ = bytes; }

  /// Accepts connections of peers on this address.
  result<void> Listen(const socket_address& address) { return transport_.Listen(address); }
  /// Applies the members of the fleet view: connects to new ones and drops those that have left.
  void FollowMembers(instant now);
  /// Sends a request and calls `done` once, after Send has returned. Without a connection, returns
  /// 0 and never calls `done`.
  ticket Send(instant now, const std::string& node, dispatch_request request, bool large_answer,
              callback done);
  /// Whether any byte of the request may have reached the peer's target: not while the peer has yet
  /// to permit its body.
  bool MayHaveRun(ticket id) const;
  /// Cancels a request; its `done` is not called.
  void Cancel(ticket id);
  /// Answers a request of a peer.
  void Answer(instant now, session_id to, const dispatch_answer& answer);
  /// Sends a message to a peer. Returns false, without sending, when there is no connection.
  /// `large_answer`: the answer must not delay reports. A peer that is not a member yet is reached
  /// over the connection that it opened.
  bool SendMessage(const std::string& node, const peer_message& message, bool large_answer = false);
  /// Node that has reported over the session's connection; empty when it is not known.
  std::string NodeOf(session_id id) const;
  /// Answers a message of a peer.
  void Reply(session_id to, const peer_message& message) {
    transport_.Send(sessions_.ConnectionOf(to), message);
  }
  /// Remote address of a session's connection; empty when it is closed.
  std::string AddressOf(session_id id) const {
    return transport_.PeerAddress(sessions_.ConnectionOf(id));
  }
  /// Discards all messages from these peers, as if their packets were lost. For failure tests.
  void SetDropped(std::set<std::string> nodes) { dropped_ = std::move(nodes); }
  /// Total bytes sent to and received from peers since the start.
  uint64_t BytesSent() const { return transport_.BytesSent(); }
  uint64_t BytesReceived() const { return transport_.BytesReceived(); }
  /// Calls `make` for each connected peer and sends it the message.
  void SendToAll(const std::function<peer_message(const node_state&)>& make);
  /// Bytes of messages that are being sent or received, and of bodies that wait to be sent.
  size_t BufferedBytes() const;
  /// Whether output to any peer is still buffered.
  bool HasUnsent() const { return transport_.HasUnsent(); }
  /// Sends reports that are due and replaces failed connections.
  void Tick(instant now);
  /// Sends a report to all peers immediately, after a change that cannot wait for the next
  /// interval.
  void ReportNow(instant now);

 private:
  struct link {
    connection_id connection = 0;
    bool established = false;
    instant opened;
    instant retry_at;
    link_watch watch;
  };
  struct peer {
    socket_address address;
    node_locality locality = node_locality::kRemote;
    // [0] carries reports and small requests, [1] requests with large bodies or answers.
    link links[2];
    instant next_report;
    uint64_t unacked_sequence = 0;
    instant unacked_since;
    bool acknowledged = true;
    // When the peer last answered a request or a report.
    instant last_received{};
    // The peer answers link_hello, and so gives receipts.
    bool gives_receipts = false;
    // Since when no connection could be established, after one was lost in silence.
    std::optional<instant> lost_since;
    // When a suspicion of the peer was last sent or received.
    instant last_suspicion{};
  };
  struct pending {
    std::string node;
    uint32_t purpose = 0;
    // Present connection; 0 while there is none.
    connection_id connection = 0;
    // Connection that carried the request.
    connection_id sent_over = 0;
    callback done;
    bool has_separate_body = false;
    // The separate body until all of it was sent, and how much was.
    std::optional<std::string> body = std::nullopt;
    size_t body_sent = 0;
    // While the request is being resumed: when it is given up.
    std::optional<instant> give_up = std::nullopt;
  };

  bool IsEstablished(const link& peer_link) const {
    return peer_link.connection != 0 && transport_.Established(peer_link.connection);
  }
  // Handles the loss of an outgoing connection: marks the peer unreachable, and prepares its
  // requests to be resumed.
  void OnLinkLost(instant now, const std::string& node, connection_id connection, bool refused,
                  const std::string& why);
  // Opens a connection, which resumes the requests that have none.
  void Open(instant now, const std::string& node, peer& remote, uint32_t purpose);
  // Keeps the requests of a lost connection for the next one. `refused`: the peer's process is
  // gone.
  void Suspend(instant now, connection_id connection, bool refused);
  void OnResumed(instant now, connection_id from, const link_resumed& resumed);
  void OnHello(instant now, connection_id from, const link_hello& hello);
  // Turns an answer of a target that callers must not get into a refusal of its request alone.
  void DiscardInvalidAnswer(connection_id from, dispatch_answer& received);
  void OnReceipt(connection_id from, uint64_t id);
  void OnSuspicion(instant now, const peer_suspicion& suspicion);
  void PassOn(peer_suspicion suspicion, bool to_other_data_centres);
  // Probes or replaces connections that do not work.
  void WatchLinks(instant now, const std::string& node, peer& remote,
                  const std::map<connection_id, size_t>& in_flight);
  void ShareLoss(instant now, const std::string& node, peer& remote);
  void Probe(instant now, link& peer_link);
  // Ends the requests that could not be resumed in time.
  void GiveUp(instant now);
  void Fail(instant now, ticket id, run_state state);
  std::map<connection_id, size_t> InFlight() const;
  void SendReport(instant now, peer& remote);
  // Whether the peer has been silent for too long although it has requests of this process.
  bool IsSuspect(instant now, const std::string& node, const peer& remote) const;
  void OnMessage(instant now, connection_id from, peer_message message);
  bool IsDropped(connection_id from, const peer_message& message);
  void OnClosed(instant now, connection_id from, bool was_established, const error& reason);
  void CloseLink(instant now, const std::string& node, link& peer_link, const std::string& why,
                 bool silent = false);
  // The link's connection is gone; the next one is opened at once if this one worked.
  static void Reset(instant now, link& peer_link, bool was_established, bool silent = false);
  void OnBodyPermit(uint64_t id);
  // A message of a peer did not fit in the budget: the request that it belongs to is refused.
  void OnDiscarded(instant now, connection_id from, const frame_start& start);
  void OnAck(instant now, connection_id from, const node_report_ack& ack);

  decision_log& log_;
  metrics& metrics_;
  fleet_view& fleet_;
  peer_mesh_events events_;
  peer_transport transport_;
  peer_sessions sessions_;
  // Identifies this process in its sessions.
  uint64_t origin_;
  instant last_tick_{};
  // The process did not run for some time: receipts that have arrived are still to be read.
  bool paused_ = false;
  token_bucket suspicions_;
  std::map<std::string, peer> peers_;
  // Nodes by connections that this process opened.
  std::map<connection_id, std::string> outgoing_;
  std::map<ticket, pending> pending_;
  // Nodes by connections that they opened; a node is added with its first report.
  std::map<connection_id, std::string> senders_;
  std::set<std::string> dropped_;
  size_t max_inline_body_ = std::numeric_limits<size_t>::max();
  ticket next_ticket_ = 1;
  uint64_t report_sequence_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_PEER_MESH_H
