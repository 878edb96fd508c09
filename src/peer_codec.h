#ifndef BULRUSHWAY_PEER_CODEC_H
#define BULRUSHWAY_PEER_CODEC_H

// Frames between processes: four bytes of length, most significant first, then a msgpack array of
// protocol version, message type and the message's fields. A frame that is too long, of another
// version, of an unknown type or not whole msgpack is an error, and its connection is closed.

#include <cstddef>
#include <string>
#include <string_view>

#include "error.h"
#include "peer_messages.h"

namespace bulrushway {

/// Version of the protocol between processes.
inline constexpr uint32_t kPeerProtocolVersion = 2;
/// Bytes of the length in front of each frame.
inline constexpr size_t kFrameHeaderSize = 4;
/// Longest frame in bytes, header not counted.
inline constexpr size_t kMaxFrameSize = 24 << 20;

/// The frame of a message, header included.
std::string EncodeFrame(const peer_message& message);

/// Length of the frame whose header begins `bytes` (at least kFrameHeaderSize of them), header not
/// counted. Too long a frame is a peer error.
result<size_t> FrameLength(std::string_view bytes, const std::string& peer);

/// The message of a frame without its header.
result<peer_message> DecodeFrame(std::string_view body, const std::string& peer);

}  // namespace bulrushway

#endif  // BULRUSHWAY_PEER_CODEC_H
