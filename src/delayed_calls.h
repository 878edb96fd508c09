#ifndef BULRUSHWAY_DELAYED_CALLS_H
#define BULRUSHWAY_DELAYED_CALLS_H

// Schedules function calls, with a single timer for all of them.

#include <functional>
#include <map>

#include "event_loop.h"

namespace bulrushway {

/// Scheduled functions, in order of due time.
class delayed_calls {
 public:
  explicit delayed_calls(event_loop& loop);

  /// Calls `call` at `due`, from the event loop.
  void CallAt(instant due, std::function<void(instant now)> call);

 private:
  void Expire(instant now);
  void Arm(instant now);

  std::multimap<instant, std::function<void(instant now)>> calls_;
  event_loop& loop_;
  timer timer_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_DELAYED_CALLS_H
