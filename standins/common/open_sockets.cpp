#include "open_sockets.h"

#include <filesystem>
#include <system_error>

namespace bulrushway::standin {
namespace {

constexpr std::chrono::milliseconds kRecountInterval{20};

}  // namespace

uint64_t open_sockets::Count(instant now) {
  if (now - counted_at_ < kRecountInterval) return count_;
  counted_at_ = now;
  count_ = 0;
  std::error_code ignored;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", ignored)) {
    const auto link = std::filesystem::read_symlink(entry.path(), ignored);
    if (link.native().starts_with("socket:")) ++count_;
  }
  return count_;
}

}  // namespace bulrushway::standin
