#ifndef BULRUSHWAY_CRASH_WATCH_H
#define BULRUSHWAY_CRASH_WATCH_H

// Tells which requests were at a target when it crashed. A connection that breaks off may concern
// its own request only; a crash is certain once the target refuses connections or starts anew.

#include <vector>

#include "clock.h"
#include "poison_registry.h"

namespace bulrushway {

/// Requests that broke off lately, until it is known whether the target crashed.
class crash_watch {
 public:
  /// The target ended a connection without an answer to its request.
  void OnConnectionLost(instant now, suspect_request request);
  /// The target has crashed: the requests that broke off shortly before. Each is returned once.
  std::vector<suspect_request> TakeSuspects(instant now);

 private:
  struct lost_connection {
    instant at;
    suspect_request request;
  };

  std::vector<lost_connection> lost_connections_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CRASH_WATCH_H
