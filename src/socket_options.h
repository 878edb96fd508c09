#ifndef BULRUSHWAY_SOCKET_OPTIONS_H
#define BULRUSHWAY_SOCKET_OPTIONS_H

// Addresses and options of sockets as the system's calls want them.

#include <netinet/in.h>

#include "socket_address.h"

namespace bulrushway {

/// The address in the form of the system's calls.
sockaddr_in ToSockaddr(const socket_address& address);

/// The address that the system gave.
socket_address FromSockaddr(const sockaddr_in& raw);

/// Sends small messages at once, without waiting for more bytes.
void DisableDelay(int socket);

}  // namespace bulrushway

#endif  // BULRUSHWAY_SOCKET_OPTIONS_H
