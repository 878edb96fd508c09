#include "kernel.h"

namespace bulrushway {

result<void> kernel::Start(instant now) {
  for (; started_ < entries_.size(); ++started_) {
    const entry& next = entries_[started_];
    for (size_t i = 0; i < started_; ++i) {
      if (entries_[i].name != next.name) continue;
      Stop(now);
      return Failure(error_kind::kInternal, "start service", next.name,
                     "Two services are registered as \"" + next.name + "\".");
    }
    auto started = next.start(now);
    if (started) continue;
    Stop(now);
    return started;
  }
  return {};
}

void kernel::Stop(instant now) {
  while (started_ > 0) entries_[--started_].stop(now);
}

void* kernel::FindRaw(const std::string& name, std::type_index type) const {
  for (const entry& candidate : entries_) {
    if (candidate.name == name && candidate.type == type) return candidate.service;
  }
  return nullptr;
}

}  // namespace bulrushway
