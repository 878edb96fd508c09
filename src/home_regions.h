#ifndef BULRUSHWAY_HOME_REGIONS_H
#define BULRUSHWAY_HOME_REGIONS_H

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushway {

/// Whether a request restricted to `home_regions` may run in `region` and be known to processes
/// there. An empty list allows all regions.
inline bool AllowsRegion(const std::vector<std::string>& home_regions, std::string_view region) {
  return home_regions.empty() ||
         std::find(home_regions.begin(), home_regions.end(), region) != home_regions.end();
}

}  // namespace bulrushway

#endif  // BULRUSHWAY_HOME_REGIONS_H
