#ifndef BULRUSHWAY_CONFIGURATION_ORIGIN_H
#define BULRUSHWAY_CONFIGURATION_ORIGIN_H

// Where the configuration in force came from. Lines about requests that it rejects name it, so that
// a rejection can be told apart from one by a configuration that was out of date.

#include <cstdint>
#include <string>

#include "clock.h"

namespace bulrushway {

struct configuration_origin {
  /// A peer passed it on; otherwise it was read from the store.
  bool relayed = false;
  /// Name of that peer; empty when it is not known.
  std::string peer;
  /// Version of its row in the store.
  uint64_t row_version = 0;
  /// When this process took it over.
  instant adopted{};
  /// Highest version that a peer has reported.
  uint64_t newest_reported = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_ORIGIN_H
