#ifndef BULRUSHWAY_CRASH_WATCH_H
#define BULRUSHWAY_CRASH_WATCH_H

// Determines which requests were running at a target when it crashed. A lost connection may concern
// its own request only; the crash is certain once the target refuses connections or restarts.

#include <vector>

#include "clock.h"
#include "poison_registry.h"

namespace bulrushway {

/// Requests whose connections were lost recently, until it is known whether the target crashed.
class crash_watch {
 public:
  /// The target closed a connection without an answer to its request.
  void OnConnectionLost(instant now, suspect_request request);
  /// The target has crashed. Returns the requests whose connections were lost shortly before, each
  /// of them once.
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
