#ifndef BULRUSHWAY_OPEN_SOCKETS_H
#define BULRUSHWAY_OPEN_SOCKETS_H

// Counts the open connections of this process.

#include <cstdint>

#include "clock.h"

namespace bulrushway::standin {

/// Counter of the sockets of this process. The count is cached for a short time.
class open_sockets {
 public:
  /// Returns the number of open sockets, including listening ones.
  uint64_t Count(instant now);

 private:
  instant counted_at_{};
  uint64_t count_ = 0;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_OPEN_SOCKETS_H
