#ifndef BULRUSHWAY_STORE_ERA_H
#define BULRUSHWAY_STORE_ERA_H

// The era of the platform's store, as far as this process knows it from the store's answers and
// from its peers. A new era begins when the store returns from a copy. What it had acknowledged
// before, and has lost, may still be relied on by others: leases in particular, until they end.

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "clock.h"

namespace bulrushway {

/// Versions order all that the store has ever acknowledged. After a failure the store may return
/// from a copy that is some seconds old, and gives out the counts since then again. Each return
/// starts a new era, which the upper bits of a version hold.
inline constexpr int kVersionCountBits = 40;

/// Version with this count in an era of the store.
constexpr uint64_t VersionOf(uint64_t era, uint64_t count) {
  return (era << kVersionCountBits) | count;
}
constexpr uint64_t EraOf(uint64_t version) { return version >> kVersionCountBits; }
constexpr uint64_t CountOf(uint64_t version) {
  return version & ((uint64_t{1} << kVersionCountBits) - 1);
}

/// What the store has lost, those who wrote it write again within this time after its return.
inline constexpr std::chrono::milliseconds kRewriteTime{5000};

/// The latest era known, and since when it lasts at least.
class store_era {
 public:
  /// Learns that `era` has lasted for `age` or longer. Returns whether it is later than the one
  /// known before.
  bool Observe(instant now, uint64_t era, std::chrono::milliseconds age) {
    if (era < era_) return false;
    const instant began = now - age;
    const bool later = era > era_;
    since_ = later ? began : std::min(since_, began);
    era_ = era;
    return later;
  }
  uint64_t era() const { return era_; }
  std::chrono::milliseconds Age(instant now) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since_);
  }
  /// Whether what was acknowledged before the era for at most `longest` has ended. A store without
  /// eras never returns from a copy.
  bool Settled(instant now, std::chrono::milliseconds longest) const {
    return era_ == 0 || now - since_ >= longest;
  }

 private:
  uint64_t era_ = 0;
  instant since_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_STORE_ERA_H
