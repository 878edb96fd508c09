#ifndef BULRUSHWAY_TEST_FREE_ADDRESS_H
#define BULRUSHWAY_TEST_FREE_ADDRESS_H

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

#include "socket_address.h"

namespace bulrushway::testing {

inline bool CanBind(int type, uint16_t port) {
  const int socket = ::socket(AF_INET, type, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool free = bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  close(socket);
  return free;
}

/// A loopback address whose port is free for TCP and UDP.
inline socket_address FreeAddress() {
  // Uses ports below the system's ephemeral range, so that no outgoing connection takes the port
  // between this check and its use.
  static uint16_t next = static_cast<uint16_t>(20000 + getpid() % 200 * 50);
  constexpr uint16_t kFirst = 20000;
  constexpr uint16_t kLast = 32000;
  for (int tries = 0; tries < kLast - kFirst; ++tries) {
    if (++next >= kLast) next = kFirst;
    if (CanBind(SOCK_STREAM, next) && CanBind(SOCK_DGRAM, next)) return {"127.0.0.1", next};
  }
  throw std::runtime_error("no port is free");
}

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_FREE_ADDRESS_H
