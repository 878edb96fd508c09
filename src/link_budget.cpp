#include "link_budget.h"

#include <algorithm>

namespace bulrushway {

link_budget::link& link_budget::LinkOf(std::string_view from, std::string_view to) {
  return links_[{std::string(from), std::string(to)}];
}

void link_budget::RecordBytes(std::string_view from, std::string_view to, uint64_t bytes) {
  if (from == to) return;
  LinkOf(from, to).count.bytes += bytes;
}

void link_budget::Refill(link& refilled_link, instant now) const {
  const auto burst = static_cast<double>(settings_.spill_burst);
  if (refilled_link.never_refilled) {
    refilled_link.tokens = burst;
    refilled_link.never_refilled = false;
  } else {
    const double elapsed = std::chrono::duration<double>(now - refilled_link.refilled_at).count();
    const auto rate = static_cast<double>(settings_.spill_bytes_per_second);
    refilled_link.tokens = std::min(burst, refilled_link.tokens + elapsed * rate);
  }
  refilled_link.refilled_at = now;
}

bool link_budget::TrySpill(std::string_view from, std::string_view to, uint64_t bytes,
                           instant now) {
  if (from == to) return true;
  link& spill_link = LinkOf(from, to);
  Refill(spill_link, now);
  const auto cost = static_cast<double>(bytes);
  if (spill_link.tokens < cost) {
    ++spill_link.count.refused_spills;
    return false;
  }
  spill_link.tokens -= cost;
  spill_link.count.bytes += bytes;
  spill_link.count.spilled_bytes += bytes;
  return true;
}

std::map<std::pair<std::string, std::string>, link_count> link_budget::Counts() const {
  std::map<std::pair<std::string, std::string>, link_count> counts;
  for (const auto& [regions, region_link] : links_) counts.emplace(regions, region_link.count);
  return counts;
}

}  // namespace bulrushway
