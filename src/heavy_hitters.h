#ifndef BULRUSHWAY_HEAVY_HITTERS_H
#define BULRUSHWAY_HEAVY_HITTERS_H

// The keys with the most requests of late, in constant memory (the space-saving algorithm with
// counts that lose half their weight in a fixed time). It tells which keys are worth an owner of
// their own.

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "clock.h"

namespace bulrushway {

/// A key and the estimated rate of its requests.
struct heavy_hitter {
  std::string key;
  /// Decayed number of requests; never below the true one.
  double count = 0;
  /// The count is too high by at most this much.
  double error = 0;
};

/// Sketch of the most frequent keys.
class heavy_hitters {
 public:
  /// Keeps `capacity` keys. The true share of any key that is reported differs from its estimate by
  /// at most 1 / capacity.
  heavy_hitters(size_t capacity, std::chrono::nanoseconds half_life)
      : capacity_(capacity), half_life_(half_life) {}

  /// Counts one request.
  void Record(std::string_view key, instant now);

  /// The `count` most frequent keys, the first first.
  std::vector<heavy_hitter> Top(size_t count, instant now) const;

  /// Decayed number of all requests.
  double Total(instant now) const;

  /// Keys longer than this are counted under their first bytes.
  static constexpr size_t kLongestKey = 128;

 private:
  struct counter {
    double count = 0;
    double error = 0;
  };

  double Scale(instant now) const;
  void Rebase(instant now);

  size_t capacity_;
  std::chrono::nanoseconds half_life_;
  // Counts are kept relative to this time: newer requests weigh more, older ones need no update.
  instant base_{};
  double total_ = 0;
  std::unordered_map<std::string, counter> counters_;
  std::set<std::pair<double, std::string>> by_count_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HEAVY_HITTERS_H
