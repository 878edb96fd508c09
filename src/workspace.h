#ifndef BULRUSHWAY_WORKSPACE_H
#define BULRUSHWAY_WORKSPACE_H

// A workspace: callers that share API keys, a priority, home regions and a quota.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushway {

struct workspace {
  std::string name;
  /// Each key identifies this workspace alone.
  std::vector<std::string> api_keys;
  /// Replaces the priority of the route if set; 0 is the most urgent.
  std::optional<uint32_t> rank;
  /// Quota over all processes together; zero means no limit.
  double requests_per_second = 0;
  /// Requests above that rate that may run at once.
  double burst = 0;
  /// Regions that may serve its requests; empty means all.
  std::vector<std::string> home_regions;

  bool HasQuota() const { return requests_per_second > 0; }
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_WORKSPACE_H
