#ifndef BULRUSHWAY_FORWARDER_H
#define BULRUSHWAY_FORWARDER_H

// Sends requests to the gates of other processes over one long connection each and matches answers
// to them. It says of each request that has no answer whether it may have run.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "clock.h"
#include "peer_transport.h"

namespace bulrushway {

/// The requests of this process at other processes.
class forwarder {
 public:
  /// Called once with the answer, or with a refusal made up here when none came.
  using callback = std::function<void(forward_answer)>;

  /// Sends over `transport`; the owner of the transport hands in what comes back.
  forwarder(peer_transport& transport, hello_message self);

  /// Sends a request to the process at `address`. `done` is not called before Send returns. The
  /// request's id is assigned here.
  uint64_t Send(instant now, const socket_address& address, forward_request request, callback done);
  /// Tells the gate to stop working on the request; `done` is not called any more.
  void Cancel(uint64_t id);

  /// Sends another message to the process at `address`; answers to it come through the transport.
  void SendMessage(instant now, const socket_address& address, const peer_message& message);

  /// An answer came on a connection that this process opened.
  void OnAnswer(instant now, connection_id from, forward_answer answer);
  /// A connection is gone; `stood` tells whether it was ever made. True when it belonged to the
  /// forwarder.
  bool OnClosed(instant now, connection_id id, bool stood);
  /// Ends requests whose time is over and replaces connections that have gone silent.
  void Tick(instant now);

  /// Answers that matched no request or another request's id; never delivered.
  uint64_t StrayAnswers() const { return stray_answers_; }
  /// Connections replaced because they made no progress.
  uint64_t SilentConnections() const { return silent_connections_; }
  /// Requests under way.
  size_t InFlight() const { return waiting_.size(); }

 private:
  struct peer {
    connection_id connection = 0;
    instant opened;
    instant last_progress;
    size_t in_flight = 0;
  };
  struct waiting_request {
    socket_address address;
    connection_id connection;
    std::string request_id;
    instant sent;
    instant deadline;
    callback done;
  };

  peer& PeerAt(instant now, const socket_address& address);
  void Fail(uint64_t id, refusal_reason reason, run_state state);
  void FailAll(connection_id connection, refusal_reason reason, run_state state);
  void ReplaceSilent(instant now);

  peer_transport& transport_;
  hello_message self_;
  uint64_t next_id_ = 1;
  std::map<socket_address, peer> peers_;
  std::map<uint64_t, waiting_request> waiting_;
  uint64_t stray_answers_ = 0;
  uint64_t silent_connections_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_FORWARDER_H
