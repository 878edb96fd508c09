#ifndef BULRUSHWAY_OPEN_SOCKETS_H
#define BULRUSHWAY_OPEN_SOCKETS_H

// The number of open connections of this process, which evhttp does not tell.

#include <cstdint>

#include "clock.h"

namespace bulrushway::standin {

/// Counts the sockets of this process, at most once in a while.
class open_sockets {
 public:
  /// Open sockets, listening ones included.
  uint64_t Count(instant now);

 private:
  instant counted_at_{};
  uint64_t count_ = 0;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_OPEN_SOCKETS_H
