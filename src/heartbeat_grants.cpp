#include "heartbeat_grants.h"

#include <algorithm>
#include <optional>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// A grant starts for the target when it sends its heartbeat, and for this process when it receives
// it. The process stops relying on a grant this long before the end by its own clock.
constexpr milliseconds kGrantMargin{250};
// Delay after a target refused a key as not held, typically because its grant was still in transit.
constexpr milliseconds kNotHeldBackoff{100};

}  // namespace

void heartbeat_grants::OnGranted(instant now, const target_grant& grant) {
  const instant end = now + LongestHold(limits_, grant.hold);
  for (const granted_range& range : grant.ranges) {
    const auto [known, added] = ends_.try_emplace(range.fence, range_end{range.keys, end});
    if (added) continue;
    range_end& granted = known->second;
    granted.keys = {std::min(granted.keys.first, range.keys.first),
                    std::max(granted.keys.last, range.keys.last)};
    granted.end = std::max(granted.end, end);
  }
  granted_ = grant.ranges;
  not_held_until_.clear();
  granted_until_ = now + grant.hold - kGrantMargin;
}

const granted_range* heartbeat_grants::Find(instant now, uint32_t key) const {
  if (now >= granted_until_) return nullptr;
  const auto found =
      std::find_if(granted_.begin(), granted_.end(),
                   [key](const granted_range& range) { return range.keys.Contains(key); });
  if (found == granted_.end()) return nullptr;
  const auto not_held = not_held_until_.find(found->fence);
  if (not_held != not_held_until_.end() && now < not_held->second) return nullptr;
  return &*found;
}

instant heartbeat_grants::LatestEnd(const key_range& keys) const {
  std::optional<instant> latest;
  // The keys may have been granted under an earlier fence.
  for (const auto& [fence, granted] : ends_) {
    if (!granted.keys.Overlaps(keys)) continue;
    latest = std::max(latest.value_or(granted.end), granted.end);
  }
  return latest.value_or(started_ + LongestHold(limits_, limits_.max_hold));
}

void heartbeat_grants::OnNotHeld(instant now, uint32_t key) {
  if (const granted_range* range = Find(now, key)) {
    not_held_until_[range->fence] = now + kNotHeldBackoff;
  }
}

void heartbeat_grants::OnIncarnationEnded() {
  granted_.clear();
  ends_.clear();
  granted_until_ = {};
}

}  // namespace bulrushway
