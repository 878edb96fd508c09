#ifndef BULRUSHWAY_SOCKET_ADDRESS_H
#define BULRUSHWAY_SOCKET_ADDRESS_H

// Socket addresses. Host names are not supported: processes are configured by IP address.

#include <compare>
#include <cstdint>
#include <string>

#include "error.h"

namespace bulrushway {

/// IPv4 address and port.
struct socket_address {
  std::string ip;
  uint16_t port = 0;

  auto operator<=>(const socket_address&) const = default;
};

/// Parses "127.0.0.1:8080". A host name, a missing port or a port out of range is a user error.
result<socket_address> ParseSocketAddress(const std::string& text);

/// Formats as "127.0.0.1:8080".
std::string ToString(const socket_address& address);

}  // namespace bulrushway

#endif  // BULRUSHWAY_SOCKET_ADDRESS_H
