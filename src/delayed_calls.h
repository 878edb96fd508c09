#ifndef BULRUSHWAY_DELAYED_CALLS_H
#define BULRUSHWAY_DELAYED_CALLS_H

// Calls functions later. One timer serves all of them.

#include <functional>
#include <map>

#include "event_loop.h"

namespace bulrushway {

/// Functions in the order of the time at which they are due.
class delayed_calls {
 public:
  explicit delayed_calls(event_loop& loop);

  /// Calls `call` at `due`, and never before At returns.
  void CallAt(instant due, std::function<void(instant now)> call);

 private:
  void Expire(instant now);
  void Arm(instant now);

  std::multimap<instant, std::function<void(instant now)>> calls_;
  timer timer_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_DELAYED_CALLS_H
