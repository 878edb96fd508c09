#include "socket_options.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace bulrushway {

sockaddr_in ToSockaddr(const socket_address& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
  return raw;
}

socket_address FromSockaddr(const sockaddr_in& raw) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &raw.sin_addr, text.data(), text.size());
  return {text.data(), ntohs(raw.sin_port)};
}

void DisableDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace bulrushway
