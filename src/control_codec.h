#ifndef BULRUSHWAY_CONTROL_CODEC_H
#define BULRUSHWAY_CONTROL_CODEC_H

// Membership and lease traffic on the wire: msgpack, small enough for a datagram where it is
// steady. Each message names the node it is meant for, since an address may have passed to another
// process.

#include <string>
#include <string_view>
#include <variant>

#include "error.h"
#include "gossip.h"
#include "ownership_messages.h"

namespace bulrushway {

/// A control message with its sender and receiver.
struct control_envelope {
  std::string from;
  /// Empty when the sender does not know who listens there yet.
  std::string to;
  std::variant<gossip_message, ownership_message> body;
};

/// Bytes of the message.
std::string EncodeControl(const control_envelope& envelope);

/// Reads a message; anything else is a peer error.
result<control_envelope> DecodeControl(std::string_view bytes, const std::string& peer);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONTROL_CODEC_H
