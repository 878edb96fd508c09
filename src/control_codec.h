#ifndef BULRUSHWAY_CONTROL_CODEC_H
#define BULRUSHWAY_CONTROL_CODEC_H

// Membership and lease traffic on the wire: msgpack, small enough for a datagram where it is
// steady. Each message names the node it is meant for, since an address may have passed to another
// process.

#include <cstdint>
#include <functional>
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

/// Gives the name of the node whose name has this hash; empty when none is known.
using name_of_hash = std::function<std::string(uint32_t hash)>;

/// Hash that stands for a node's name in messages that are sent all the time.
uint32_t HashOfName(std::string_view name);

/// Bytes of the message. In heartbeats the names of sender and receiver are given as hashes.
std::string EncodeControl(const control_envelope& envelope);

/// Reads a message; anything else is a peer error, and so is a heartbeat of a node that is not
/// known.
result<control_envelope> DecodeControl(std::string_view bytes, const std::string& peer,
                                       const name_of_hash& names);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONTROL_CODEC_H
