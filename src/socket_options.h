#ifndef BULRUSHWAY_SOCKET_OPTIONS_H
#define BULRUSHWAY_SOCKET_OPTIONS_H

// Conversions of addresses for system calls, and socket options.

#include <netinet/in.h>

#include "socket_address.h"

namespace bulrushway {

/// Converts an address for a system call.
sockaddr_in ToSockaddr(const socket_address& address);

/// Converts an address returned by a system call.
socket_address FromSockaddr(const sockaddr_in& raw);

/// Disables Nagle's algorithm (TCP_NODELAY).
void DisableDelay(int socket);

}  // namespace bulrushway

#endif  // BULRUSHWAY_SOCKET_OPTIONS_H
