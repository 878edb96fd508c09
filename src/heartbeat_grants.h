#ifndef BULRUSHWAY_HEARTBEAT_GRANTS_H
#define BULRUSHWAY_HEARTBEAT_GRANTS_H

// Grants that answer heartbeats. Each answer replaces all earlier grants, and none takes effect
// later than the heartbeat that follows.

#include <map>
#include <vector>

#include "grant_delivery.h"

namespace bulrushway {

class heartbeat_grants {
 public:
  /// `started`: start of the process. Grants of the node's previous process may still run.
  heartbeat_grants(const grant_limits& limits, instant started)
      : limits_(limits), started_(started) {}

  /// Records a grant that answers a heartbeat received at `now`.
  void OnGranted(instant now, const target_grant& grant);

  const granted_range* Find(instant now, uint32_t key) const;
  instant LatestEnd(const key_range& keys) const;
  instant LatestLateEnd(const key_range&) const { return {}; }
  void OnNotHeld(instant now, uint32_t key);
  void OnIncarnationEnded();
  void OnTargetDown() { granted_.clear(); }

 private:
  grant_limits limits_;
  instant started_;
  std::vector<granted_range> granted_;
  instant granted_until_{};
  // By fence: ranges for which the target refused a request as not held. Find skips them until this
  // instant.
  std::map<uint64_t, instant> not_held_until_;
  struct range_end {
    key_range keys;
    instant end;
  };
  // By fence: keys that were granted, and when the target's last grant of them ends.
  std::map<uint64_t, range_end> ends_;
};

static_assert(grant_delivery<heartbeat_grants>);

}  // namespace bulrushway

#endif  // BULRUSHWAY_HEARTBEAT_GRANTS_H
