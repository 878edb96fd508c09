#ifndef BULRUSHWAY_CONFIGURATION_CERTAINTY_H
#define BULRUSHWAY_CONFIGURATION_CERTAINTY_H

// Whether the configuration in force may be taken for the newest one. Callers do not repeat a
// request that is rejected with a 4xx status, so that a request is rejected by the configuration
// only when no newer one may allow it.

#include <cstdint>
#include <string_view>

#include "clock.h"

namespace bulrushway {

enum class configuration_certainty : uint8_t {
  /// Nothing shows that there is a newer one.
  kNewest,
  /// A peer has reported a newer one.
  kBehind,
  /// There may be a newer one: nothing has confirmed this one lately, or the store may have lost a
  /// newer one, and the peers that reported so far may have started since.
  kUnconfirmed,
};

/// What a process knows about its configuration.
struct configuration_evidence {
  /// Version in force.
  uint64_t version = 0;
  /// Highest version that a peer has reported; 0 when none has.
  uint64_t newest_reported = 0;
  /// Latest known era of the store.
  uint64_t store_era = 0;
  /// When the process started.
  instant started{};
  /// The store has confirmed lately, to this process or to the neighbour that follows the store for
  /// it, that there is no newer one.
  bool confirmed = false;
};

configuration_certainty CertaintyOf(instant now, const configuration_evidence& evidence);

/// "newest", "behind" or "unconfirmed".
std::string_view Name(configuration_certainty certainty);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_CERTAINTY_H
