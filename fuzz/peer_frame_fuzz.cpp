// Feeds arbitrary bytes to the readers of everything that comes from another process.
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "announcement.h"
#include "control_codec.h"
#include "peer_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (size >= bulrushway::kFrameHeaderSize) (void)bulrushway::FrameLength(bytes, "fuzzer");
  // What is read must be written again in a way that reads the same.
  if (const auto message = bulrushway::DecodeFrame(bytes, "fuzzer")) {
    const std::string frame = bulrushway::EncodeFrame(*message);
    const auto again =
        bulrushway::DecodeFrame(std::string_view(frame).substr(bulrushway::kFrameHeaderSize), "");
    if (!again || again->index() != message->index()) __builtin_trap();
  }
  const auto names = [](uint32_t) { return std::string("node"); };
  if (const auto envelope = bulrushway::DecodeControl(bytes, "fuzzer", names)) {
    const std::string again = bulrushway::EncodeControl(*envelope);
    if (!bulrushway::DecodeControl(again, "", names)) __builtin_trap();
  }
  (void)bulrushway::DecodeAnnouncement(std::string(bytes));
  (void)bulrushway::DecodeClaim(std::string(bytes));
  return 0;
}
