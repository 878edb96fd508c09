#ifndef BULRUSHWAY_HOME_REGIONS_H
#define BULRUSHWAY_HOME_REGIONS_H

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "configuration.h"

namespace bulrushway {

/// Whether a request restricted to `home_regions` may run in `region` and be known to processes
/// there. An empty list allows all regions.
inline bool AllowsRegion(const std::vector<std::string>& home_regions, std::string_view region) {
  return home_regions.empty() ||
         std::find(home_regions.begin(), home_regions.end(), region) != home_regions.end();
}

/// Regions that both lists allow; empty when neither is restricted, and just kNoRegion when they
/// have no region in common.
inline std::vector<std::string> CommonHomeRegions(const std::vector<std::string>& first,
                                                  const std::vector<std::string>& second) {
  if (first.empty()) return second;
  std::vector<std::string> common = first;
  std::erase_if(common, [&](const std::string& region) { return !AllowsRegion(second, region); });
  if (common.empty()) common.emplace_back(kNoRegion);
  return common;
}

}  // namespace bulrushway

#endif  // BULRUSHWAY_HOME_REGIONS_H
