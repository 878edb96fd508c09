// Feeds arbitrary bytes to the decoders of all messages and rows that other processes write.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "fleet_view.h"
#include "key_map.h"
#include "peer_codec.h"
#include "process_lease.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (size >= bulrushway::kFrameHeaderSize) (void)bulrushway::FrameLength(bytes, "fuzzer");
  // A decoded message must survive encoding and decoding again.
  if (const auto message = bulrushway::DecodeFrame(bytes, "fuzzer")) {
    const std::string frame = bulrushway::EncodeFrame(*message);
    const auto reread =
        bulrushway::DecodeFrame(std::string_view(frame).substr(bulrushway::kFrameHeaderSize), "");
    if (!reread || reread->index() != message->index()) __builtin_trap();
  }
  // Decoders of rows in the store must not crash on arbitrary bytes either.
  const std::string row(bytes);
  (void)bulrushway::DecodeMember(row);
  (void)bulrushway::DecodeLease(row);
  if (const auto map = bulrushway::DecodeKeyMap(row)) {
    if (!bulrushway::DecodeKeyMap(bulrushway::EncodeKeyMap(*map))) __builtin_trap();
  }
  return 0;
}
