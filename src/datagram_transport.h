#ifndef BULRUSHWAY_DATAGRAM_TRANSPORT_H
#define BULRUSHWAY_DATAGRAM_TRANSPORT_H

// Small control messages between processes over UDP: heartbeats and gossip. A lost datagram costs
// nothing but the next one, and a connection that has gone silent cannot delay it.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "event_loop.h"
#include "socket_address.h"

struct event;

namespace bulrushway {

/// Longest payload in bytes that is sent as a datagram.
inline constexpr size_t kMaxDatagram = 1200;
/// Bytes of IP and UDP headers counted for each datagram.
inline constexpr size_t kDatagramOverhead = 28;

/// One UDP socket.
class datagram_transport {
 public:
  using handler = std::function<void(const socket_address& from, std::string_view bytes)>;

  datagram_transport(event_loop& loop, handler received);
  ~datagram_transport();
  datagram_transport(const datagram_transport&) = delete;
  datagram_transport& operator=(const datagram_transport&) = delete;

  /// Binds the socket.
  result<void> Listen(const socket_address& address);
  /// Sends and forgets.
  void Send(const socket_address& to, std::string_view bytes);

  uint64_t PacketsSent() const { return packets_sent_; }
  uint64_t PacketsReceived() const { return packets_received_; }
  /// Bytes with headers, both ways.
  uint64_t Bytes() const { return bytes_; }

 private:
  void Read();

  event_loop& loop_;
  handler received_;
  int socket_ = -1;
  event* readable_ = nullptr;
  uint64_t packets_sent_ = 0;
  uint64_t packets_received_ = 0;
  uint64_t bytes_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_DATAGRAM_TRANSPORT_H
