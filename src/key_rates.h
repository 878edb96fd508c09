#ifndef BULRUSHWAY_KEY_RATES_H
#define BULRUSHWAY_KEY_RATES_H

// How often the keys of a target are asked for, lately. Keys are counted in small groups, since
// busy keys are close to one another and single keys need not be told apart to divide the load.

#include <cstdint>
#include <vector>

#include "clock.h"
#include "target_heartbeat.h"

namespace bulrushway {

/// Decaying counts of requests by group of keys.
class key_rates {
 public:
  /// Keys of one group.
  static constexpr uint32_t kGroupSize = 16;

  key_rates();

  /// A request for the key arrived, whether it was served or not.
  void RecordRequest(instant now, uint32_t key);
  /// Requests per second for these keys. Groups that stand only partly in the range count in
  /// proportion.
  double Rate(instant now, const key_range& keys) const;
  /// Requests per second for all keys.
  double TotalRate(instant now) const;

 private:
  double DecayFactor(instant now) const;

  // Counts are kept as if they had grown since `origin_` at the rate at which they decay, so that
  // only reading has to take the decay into account.
  std::vector<float> counts_;
  double total_ = 0;
  instant origin_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_KEY_HEAT_H
