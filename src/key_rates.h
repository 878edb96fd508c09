#ifndef BULRUSHWAY_KEY_RATES_H
#define BULRUSHWAY_KEY_RATES_H

// Recent request rates of a target's keys. Requests are counted by small groups of keys: busy keys
// lie close together, and dividing the load does not need rates of single keys.

#include <cstdint>
#include <vector>

#include "clock.h"
#include "target_heartbeat.h"

namespace bulrushway {

/// Exponentially decaying request counts by group of keys.
class key_rates {
 public:
  /// Number of keys in a group.
  static constexpr uint32_t kGroupSize = 16;

  key_rates();

  /// Records a request for the key, whether or not it was served.
  void RecordRequest(instant now, uint32_t key);
  /// Requests per second for these keys. A group that lies partly in the range contributes in
  /// proportion to its keys there.
  double Rate(instant now, const key_range& keys) const;
  /// Requests per second for all keys.
  double TotalRate(instant now) const;

 private:
  double DecayFactor(instant now) const;

  // A request at time t is counted with weight exp(kDecayRate * (t - origin_)). The counts thus
  // never need to be decayed; readers scale them by DecayFactor(now).
  std::vector<float> counts_;
  double total_ = 0;
  instant origin_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_KEY_RATES_H
