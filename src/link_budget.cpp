#include "link_budget.h"

#include <algorithm>

namespace bulrushway {

link_budget::link& link_budget::LinkOf(std::string_view from, std::string_view to) {
  return links_[{std::string(from), std::string(to)}];
}

void link_budget::Count(std::string_view from, std::string_view to, uint64_t bytes) {
  if (from == to) return;
  LinkOf(from, to).count.bytes += bytes;
}

void link_budget::Refill(link& of, instant now) const {
  const auto burst = static_cast<double>(settings_.spill_burst);
  if (of.fresh) {
    of.tokens = burst;
    of.fresh = false;
  } else {
    const double elapsed = std::chrono::duration<double>(now - of.refilled).count();
    const auto rate = static_cast<double>(settings_.spill_bytes_per_second);
    of.tokens = std::min(burst, of.tokens + elapsed * rate);
  }
  of.refilled = now;
}

bool link_budget::Spill(std::string_view from, std::string_view to, uint64_t bytes, instant now) {
  if (from == to) return true;
  link& used = LinkOf(from, to);
  Refill(used, now);
  const auto cost = static_cast<double>(bytes);
  if (used.tokens < cost) {
    ++used.count.refused_spills;
    return false;
  }
  used.tokens -= cost;
  used.count.bytes += bytes;
  used.count.spilled_bytes += bytes;
  return true;
}

std::map<std::pair<std::string, std::string>, link_count> link_budget::Counts() const {
  std::map<std::pair<std::string, std::string>, link_count> counts;
  for (const auto& [regions, used] : links_) counts.emplace(regions, used.count);
  return counts;
}

}  // namespace bulrushway
