#include "datagram_transport.h"

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "socket_options.h"

namespace bulrushway {
namespace {

// Datagrams read in one turn of the loop at most, so that requests are not starved.
constexpr int kReadsPerTurn = 64;

}  // namespace

datagram_transport::datagram_transport(event_loop& loop, handler received)
    : loop_(loop), received_(std::move(received)) {}

datagram_transport::~datagram_transport() {
  if (readable_ != nullptr) event_free(readable_);
  if (socket_ >= 0) close(socket_);
}

result<void> datagram_transport::Listen(const socket_address& address) {
  socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in raw = ToSockaddr(address);
  if (bind(socket_, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0) {
    return Failure(
        error_kind::kUser, "listen for datagrams", ToString(address),
        "The address " + ToString(address) + " cannot be bound: " + std::strerror(errno) + ".");
  }
  const auto call = [](evutil_socket_t, short, void* self) {
    static_cast<datagram_transport*>(self)->Read();
  };
  readable_ = event_new(loop_.Base(), socket_, EV_READ | EV_PERSIST, call, this);
  event_add(readable_, nullptr);
  return {};
}

void datagram_transport::Send(const socket_address& to, std::string_view bytes) {
  const sockaddr_in raw = ToSockaddr(to);
  sendto(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&raw),
         sizeof raw);
  ++packets_sent_;
  bytes_ += bytes.size() + kDatagramOverhead;
}

void datagram_transport::Read() {
  std::array<char, 65536> buffer;
  for (int i = 0; i < kReadsPerTurn; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t length = recvfrom(socket_, buffer.data(), buffer.size(), 0,
                                    reinterpret_cast<sockaddr*>(&from), &size);
    if (length < 0) return;
    ++packets_received_;
    bytes_ += static_cast<uint64_t>(length) + kDatagramOverhead;
    received_(FromSockaddr(from), {buffer.data(), static_cast<size_t>(length)});
  }
}

}  // namespace bulrushway
