#ifndef BULRUSHWAY_PEER_CODEC_H
#define BULRUSHWAY_PEER_CODEC_H

// Frame format of messages between processes: a length in four bytes, big endian, then a msgpack
// array of protocol version, message type and the message's fields. A frame that is too long, has
// another version or an unknown type, or is not complete msgpack is an error; its connection is
// closed.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "error.h"
#include "peer_messages.h"

namespace bulrushway {

/// Version of the protocol between processes.
inline constexpr uint32_t kPeerProtocolVersion = 4;
/// Size in bytes of the length prefix of a frame.
inline constexpr size_t kFrameHeaderSize = 4;
/// Maximum size of a frame in bytes, without the header.
inline constexpr size_t kMaxFrameSize = 24 << 20;

/// Encodes a message as a frame with its header.
std::string EncodeFrame(const peer_message& message);
/// The same for messages that may be large, without a copy of them.
std::string EncodeFrame(const dispatch_request& message);
std::string EncodeFrame(const dispatch_answer& message);
std::string EncodeFrame(const request_body& message);

/// What the first bytes of a frame, given without its header, say of it.
struct frame_start {
  /// Index of the type in peer_message.
  uint64_t type = 0;
  /// First field of the message: the id of the request that it belongs to, if it has one.
  uint64_t id = 0;
};

/// Number of bytes that DecodeStart needs.
inline constexpr size_t kFrameStartBytes = 32;
/// Decodes the start of a frame; nullopt if the first field is not an unsigned number.
std::optional<frame_start> DecodeStart(std::string_view bytes);

/// Reads the length of a frame, without the header, from the first kFrameHeaderSize bytes of
/// `bytes`. Fails with a peer error when it exceeds kMaxFrameSize. `peer` is named in the error.
result<size_t> FrameLength(std::string_view bytes, const std::string& peer);

/// Decodes a frame, given without its header.
result<peer_message> DecodeFrame(std::string_view body, const std::string& peer);

}  // namespace bulrushway

#endif  // BULRUSHWAY_PEER_CODEC_H
