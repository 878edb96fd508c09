#ifndef BULRUSHWAY_CONFIGURATION_ORIGIN_H
#define BULRUSHWAY_CONFIGURATION_ORIGIN_H

// Where the configuration in force came from. Lines about requests that it rejects name it, so that
// a rejection can be told apart from one by a configuration that was out of date.

#include <cstdint>
#include <string>

#include "clock.h"

namespace bulrushway {

/// How a row of the operators' table reached this process.
struct operator_row_source {
  /// A peer passed it on; otherwise it was read from the store.
  bool relayed = false;
  /// Version of the row in the store.
  uint64_t version = 0;
  /// Name of the peer; empty when it is not known.
  std::string peer = {};
};

struct configuration_origin {
  operator_row_source row;
  /// When this process took it over.
  instant adopted{};
  /// Highest version that a peer has reported.
  uint64_t newest_reported = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_ORIGIN_H
