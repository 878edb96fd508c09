#ifndef BULRUSHWAY_RETRY_BACKOFF_H
#define BULRUSHWAY_RETRY_BACKOFF_H

// Pauses between calls to a store that fails. All processes notice an outage together, so that
// equal pauses would make the calls of the fleet grow with its size while the store is in trouble.

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace bulrushway {

/// Pause before the next attempt: doubles with each failure in a row.
class retry_backoff {
 public:
  retry_backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest)
      : first_(first), longest_(longest), next_(first) {}

  /// Records a failure and returns the pause before the next attempt.
  std::chrono::milliseconds OnFailure() {
    const std::chrono::milliseconds pause = next_;
    next_ = std::min(2 * next_, longest_);
    return pause;
  }
  void OnSuccess() { next_ = first_; }

 private:
  std::chrono::milliseconds first_;
  std::chrono::milliseconds longest_;
  std::chrono::milliseconds next_;
};

/// Pause of a caller before which `turn` others of its data centre ask. Those that ask earlier pass
/// on what they read, so that the calls of a data centre grow with the logarithm of its size.
inline std::chrono::milliseconds PauseAtTurn(std::chrono::milliseconds pause, size_t turn) {
  // A caller whose neighbours are all turned away tries by itself after this time.
  constexpr std::chrono::milliseconds kLongestTurn{30'000};
  return std::min(std::max(pause, kLongestTurn), pause * static_cast<int64_t>(1 + turn));
}

}  // namespace bulrushway

#endif  // BULRUSHWAY_RETRY_BACKOFF_H
