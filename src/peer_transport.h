#ifndef BULRUSHWAY_PEER_TRANSPORT_H
#define BULRUSHWAY_PEER_TRANSPORT_H

// Long-lived TCP connections between processes, each carrying many requests at once as frames. The
// side that needs a peer opens the connection; answers come back on it.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "bulk_pacer.h"
#include "event_loop.h"
#include "peer_messages.h"
#include "socket_address.h"

struct bufferevent;
struct evconnlistener;

namespace bulrushway {

/// Names one connection for as long as the process runs.
using connection_id = uint64_t;

/// What the owner of the transport wants to hear.
struct peer_events {
  /// A message came.
  std::function<void(connection_id, peer_message)> received;
  /// The connection is gone: closed, refused, or cut off because of a bad frame. `stood` is false
  /// when it was never made, so that nothing sent on it has left this process.
  std::function<void(connection_id, bool was_established, const error&)> closed;
};

/// All connections of one process, incoming and outgoing.
class peer_transport {
 public:
  /// `pacer`, if any, paces large messages.
  peer_transport(event_loop& loop, peer_events events, bulk_pacer* pacer = nullptr);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  /// Accepts connections on this address.
  result<void> Listen(const socket_address& address);
  /// Opens a connection; messages may be sent at once and go out when it stands.
  connection_id Connect(const socket_address& address);
  /// Sends a message. False when the connection is gone: nothing was sent.
  bool Send(connection_id id, const peer_message& message);
  /// Closes the connection without a `closed` event.
  void Close(connection_id id);
  /// True once the connection stands.
  bool Established(connection_id id) const;
  /// Address at the other end; empty when the connection is gone.
  std::string PeerAddress(connection_id id) const;
  /// Whether bytes of messages wait to be sent.
  bool HasUnsent() const;
  /// Bytes sent and received on all connections since the start.
  uint64_t BytesSent() const { return bytes_sent_; }
  uint64_t BytesReceived() const { return bytes_received_; }
  /// Connections that stand or are being opened.
  size_t Size() const { return connections_.size(); }

 private:
  struct connection;

  connection_id AddConnection(bufferevent* raw, const std::string& peer, bool established);
  void Read(connection& link);
  void Fail(connection_id id, const error& reason);

  event_loop& loop_;
  peer_events events_;
  bulk_pacer* pacer_;
  evconnlistener* listener_ = nullptr;
  connection_id next_id_ = 1;
  std::map<connection_id, std::unique_ptr<connection>> connections_;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_PEER_TRANSPORT_H
