#include "output_buffer.h"

#include <event2/buffer.h>

#include <memory>
#include <new>
#include <utility>

namespace bulrushway {
namespace {

// Copying fewer bytes costs less than an allocation of their own.
constexpr size_t kMinOwnedBytes = 16 << 10;

}  // namespace

void Append(evbuffer* output, std::string bytes) {
  int failed = 0;
  if (bytes.size() < kMinOwnedBytes) {
    failed = evbuffer_add(output, bytes.data(), bytes.size());
  } else {
    auto owned = std::make_unique<std::string>(std::move(bytes));
    const auto release = [](const void*, size_t, void* string) {
      delete static_cast<std::string*>(string);
    };
    failed = evbuffer_add_reference(output, owned->data(), owned->size(), release, owned.get());
    if (failed == 0) (void)owned.release();
  }
  // The connection would go on with a message that lacks its end.
  if (failed != 0) throw std::bad_alloc();
}

}  // namespace bulrushway
