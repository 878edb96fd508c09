#include "key_map.h"

#include <algorithm>

#include "handover.h"
#include "msgpack_fields.h"

namespace bulrushway {

static auto Fields(auto& m, const key_range&) { return std::tie(m.first, m.last); }
static auto Fields(auto& m, const target_incarnation&) { return std::tie(m.id, m.started_ms); }
static auto Fields(auto& m, const range_owner&) { return std::tie(m.node, m.target); }
static auto Fields(auto& m, const owned_range&) {
  return std::tie(m.keys, m.owner, m.fence, m.handover, m.previous_node);
}
static auto Fields(auto& m, const key_map_delta&) { return std::tie(m.next_fence, m.ranges); }
static auto Fields(auto& m, const key_map&) { return std::tie(m.ranges, m.next_fence); }

namespace {

bool IsConsistent(const key_map& map) {
  uint64_t expected_first = 0;
  for (const owned_range& range : map.ranges) {
    if (range.keys.first != expected_first || range.keys.last < range.keys.first) return false;
    if (range.fence >= map.next_fence) return false;
    expected_first = uint64_t{range.keys.last} + 1;
  }
  return map.ranges.empty() || expected_first == uint64_t{kLastKey} + 1;
}

// Adds the parts of the range that are not among the keys.
void AppendRemainder(const owned_range& range, const key_range& keys,
                     std::vector<owned_range>& ranges) {
  if (!range.keys.Overlaps(keys)) {
    ranges.push_back(range);
    return;
  }
  if (range.keys.first < keys.first) {
    ranges.push_back(range);
    ranges.back().keys.last = keys.first - 1;
  }
  if (range.keys.last > keys.last) {
    ranges.push_back(range);
    ranges.back().keys.first = keys.last + 1;
  }
}

}  // namespace

const owned_range* key_map::Find(uint32_t key) const {
  const auto after = std::upper_bound(
      ranges.begin(), ranges.end(), key,
      [](uint32_t wanted, const owned_range& range) { return wanted < range.keys.first; });
  if (after == ranges.begin()) return nullptr;
  const owned_range& found = *std::prev(after);
  return found.keys.Contains(key) ? &found : nullptr;
}

uint32_t key_map::WidthOf(const std::string& node) const {
  uint32_t width = 0;
  for (const owned_range& range : ranges) {
    if (range.owner.node == node) width += range.keys.Width();
  }
  return width;
}

key_map AssignEvenly(const std::vector<range_owner>& owners, uint64_t next_fence) {
  key_map map;
  map.next_fence = next_fence;
  const uint64_t key_count = uint64_t{kLastKey} + 1;
  for (size_t i = 0; i < owners.size(); ++i) {
    const auto first = static_cast<uint32_t>(key_count * i / owners.size());
    const auto last = static_cast<uint32_t>(key_count * (i + 1) / owners.size() - 1);
    map.ranges.push_back({{first, last}, owners[i], map.next_fence++, {}, {}});
  }
  return map;
}

void Reassign(key_map& map, const key_range& keys, const range_owner& owner,
              const std::string& handover) {
  std::vector<owned_range> changed;
  for (const owned_range& range : map.ranges) {
    if (!range.keys.Overlaps(keys)) {
      changed.push_back(range);
      continue;
    }
    if (range.keys.first < keys.first) {
      changed.push_back(range);
      changed.back().keys.last = keys.first - 1;
    }
    const key_range moved{std::max(range.keys.first, keys.first),
                          std::min(range.keys.last, keys.last)};
    changed.push_back({moved, owner, map.next_fence++, handover, range.owner.node});
    if (range.keys.last > keys.last) {
      changed.push_back(range);
      changed.back().keys.first = keys.last + 1;
    }
  }
  map.ranges = std::move(changed);
}

key_map_delta DeltaBetween(const key_map& before, const key_map& after) {
  key_map_delta delta{after.next_fence, {}};
  for (const owned_range& range : after.ranges) {
    if (range.fence >= before.next_fence) delta.ranges.push_back(range);
  }
  return delta;
}

bool ApplyDelta(key_map& map, const key_map_delta& delta) {
  key_map changed{map.ranges, delta.next_fence};
  for (const owned_range& added : delta.ranges) {
    std::vector<owned_range> ranges;
    for (const owned_range& range : changed.ranges) {
      AppendRemainder(range, added.keys, ranges);
    }
    ranges.push_back(added);
    std::sort(ranges.begin(), ranges.end(), [](const owned_range& a, const owned_range& b) {
      return a.keys.first < b.keys.first;
    });
    changed.ranges = std::move(ranges);
  }
  if (!IsConsistent(changed)) return false;
  map = std::move(changed);
  return true;
}

size_t ClearUnusableHandovers(key_map& map) {
  size_t cleared = 0;
  for (owned_range& range : map.ranges) {
    if (IsUsableHandover(range.handover)) continue;
    range.handover.clear();
    ++cleared;
  }
  return cleared;
}

std::string EncodeDelta(const key_map_delta& delta) { return msgpack_fields::Serialize(delta); }

result<key_map_delta> DecodeDelta(const std::string& bytes) {
  key_map_delta delta;
  try {
    const msgpack::object_handle handle = msgpack_fields::Parse(bytes);
    msgpack_fields::Read(handle.get(), delta);
  } catch (const std::exception& parse_error) {
    return Failure(error_kind::kPeer, "decode change of key map", {},
                   std::string("The bytes are not a change: ") + parse_error.what() + ".");
  }
  return delta;
}

std::string EncodeKeyMap(const key_map& map) { return msgpack_fields::Serialize(map); }

result<key_map> DecodeKeyMap(const std::string& bytes) {
  key_map map;
  try {
    const msgpack::object_handle handle = msgpack_fields::Parse(bytes);
    msgpack_fields::Read(handle.get(), map);
  } catch (const std::exception& parse_error) {
    return Failure(error_kind::kPeer, "decode key map", {},
                   std::string("The row is not a key map: ") + parse_error.what() + ".");
  }
  if (IsConsistent(map)) return map;
  return Failure(error_kind::kPeer, "decode key map", {},
                 "The ranges of the row overlap, leave gaps or have fences that are not below the "
                 "next fence.");
}

}  // namespace bulrushway
