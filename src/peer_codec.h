#ifndef BULRUSHWAY_PEER_CODEC_H
#define BULRUSHWAY_PEER_CODEC_H

// Frame format of messages between processes: a length in four bytes, big endian, then a msgpack
// array of protocol version, message type and the message's fields. A frame that is too long, has
// another version or an unknown type, or is not complete msgpack is an error; its connection is
// closed.

#include <cstddef>
#include <string>
#include <string_view>

#include "error.h"
#include "peer_messages.h"

namespace bulrushway {

/// Version of the protocol between processes.
inline constexpr uint32_t kPeerProtocolVersion = 3;
/// Size in bytes of the length prefix of a frame.
inline constexpr size_t kFrameHeaderSize = 4;
/// Maximum size of a frame in bytes, without the header.
inline constexpr size_t kMaxFrameSize = 24 << 20;

/// Encodes a message as a frame with its header.
std::string EncodeFrame(const peer_message& message);

/// Reads the length of a frame, without the header, from the first kFrameHeaderSize bytes of
/// `bytes`. Fails with a peer error when it exceeds kMaxFrameSize. `peer` is named in the error.
result<size_t> FrameLength(std::string_view bytes, const std::string& peer);

/// Decodes a frame, given without its header.
result<peer_message> DecodeFrame(std::string_view body, const std::string& peer);

}  // namespace bulrushway

#endif  // BULRUSHWAY_PEER_CODEC_H
