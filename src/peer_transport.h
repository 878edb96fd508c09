#ifndef BULRUSHWAY_PEER_TRANSPORT_H
#define BULRUSHWAY_PEER_TRANSPORT_H

// Long-lived TCP connections between processes. A connection multiplexes many requests as frames.
// Each process opens the connections for its own requests; answers use the same connection.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "bulk_pacer.h"
#include "event_loop.h"
#include "memory_budget.h"
#include "peer_codec.h"
#include "peer_messages.h"
#include "socket_address.h"

struct bufferevent;
struct evconnlistener;

namespace bulrushway {

/// Identifies a connection. Not reused while the process runs.
using connection_id = uint64_t;

/// Callbacks of the transport to its owner.
struct peer_events {
  /// A message was received.
  std::function<void(connection_id, peer_message)> received;
  /// The connection was closed by the peer, refused, or closed because of an invalid frame.
  /// `was_established` is false when connecting failed, so that nothing sent on it has left this
  /// process.
  std::function<void(connection_id, bool was_established, const error&)> closed;
  /// A large message did not fit in the budget and is discarded as it arrives. May be empty.
  std::function<void(connection_id, const frame_start&)> discarded = {};
};

/// All connections of one process, incoming and outgoing.
class peer_transport {
 public:
  /// `pacer`, if not null, paces large messages. Messages that peers send and that are larger than
  /// `kSmallMessageBytes` have to fit in `budget`, if it is not null.
  peer_transport(event_loop& loop, peer_events events, bulk_pacer* pacer = nullptr,
                 const memory_budget* budget = nullptr);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  /// Accepts connections on this address.
  result<void> Listen(const socket_address& address);
  /// Opens a connection. Messages may be sent immediately; they are buffered until it is
  /// established.
  connection_id Connect(const socket_address& address);
  /// Sends a message. Returns false, without sending, when the connection is closed.
  bool Send(connection_id id, const peer_message& message) {
    return SendFrame(id, EncodeFrame(message));
  }
  /// Sends a message that EncodeFrame has encoded.
  bool SendFrame(connection_id id, std::string frame);
  /// Closes the connection without a `closed` event.
  void Close(connection_id id);
  /// Whether the connection is established.
  bool Established(connection_id id) const;
  /// When bytes last arrived over the connection, or when it was established.
  instant LastReceived(connection_id id) const;
  /// Remote address; empty when the connection is closed.
  std::string PeerAddress(connection_id id) const;
  /// Whether output on any established connection is still buffered.
  bool HasUnsent() const;
  /// Bytes buffered on all connections, and those still to come of messages that are being
  /// received.
  size_t BufferedBytes() const;
  /// Total bytes sent and received on all connections since the start.
  uint64_t BytesSent() const { return bytes_sent_; }
  uint64_t BytesReceived() const { return bytes_received_; }
  /// Number of connections, established or being opened.
  size_t Size() const { return connections_.size(); }

 private:
  struct connection;

  connection_id AddConnection(bufferevent* raw, const std::string& peer, bool established);
  void Read(connection& link);
  // Reads one message, or discards its next bytes. Returns false if more input is needed.
  bool ReadFrame(connection& link);
  // Whether a frame of this size is accepted. Reports one that is not.
  bool Accept(connection& link, size_t frame_size);
  // Calls `call` for libevent. After an exception, the connection fails.
  template <class Call>
  void GuardLink(connection_id id, std::string_view callback, Call call);
  void Fail(connection_id id, const error& reason);

  event_loop& loop_;
  peer_events events_;
  bulk_pacer* pacer_;
  const memory_budget* budget_;
  evconnlistener* listener_ = nullptr;
  connection_id next_id_ = 1;
  std::map<connection_id, std::unique_ptr<connection>> connections_;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_PEER_TRANSPORT_H
