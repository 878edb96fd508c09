#ifndef BULRUSHWAY_TARGET_PICKER_H
#define BULRUSHWAY_TARGET_PICKER_H

// Load balancing policies that choose a target of a service for a request. Each policy is a type
// that satisfies the concept `target_picker`; code that sends requests is templated over the
// policy. Every policy expects the targets sorted by locality, nearest first, and chooses only
// eligible targets.

#include <chrono>
#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <span>

#include "clock.h"
#include "target_view.h"

namespace bulrushway {

/// A policy: Pick() returns the index of the chosen target, or nullopt if no target is eligible.
template <class Picker>
concept target_picker = requires(Picker picker, instant now, std::span<const target_view> targets,
                                 std::mt19937_64& rng) {
  { picker.Pick(now, targets, rng) } -> std::same_as<std::optional<size_t>>;
};

/// Chooses uniformly at random among the eligible targets.
struct random_picker {
  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);
};

/// Chooses the eligible targets in turn.
class round_robin_picker {
 public:
  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);

 private:
  size_t next_ = 0;
};

/// Chooses the target with the fewest in-flight requests of this process per slot; ties are broken
/// at random.
struct least_requests_picker {
  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);
};

/// Draws two targets at random and chooses the one with fewer in-flight requests of this process
/// per slot ("power of two choices").
struct two_choices_picker {
  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);
};

/// Chooses the target at which one more request adds the largest utility ("join the largest
/// marginal utility"). The utility of x requests on s slots is s log(1 + x / s), so that the
/// marginal utility falls with occupancy and larger targets fill first.
struct marginal_utility_picker {
  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);
};

/// Draws a few targets at random from each locality tier and chooses the one with the lowest cost.
/// A farther tier has to be clearly better. The policy assumes as many routing processes as
/// targets, since one process runs beside each target.
class scored_picker {
 public:
  /// `choices` is the number of targets drawn from each tier.
  explicit scored_picker(size_t choices) : choices_(choices) {}
  scored_picker() = default;

  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);

  /// Cost of one more request at the target. Lower is better; only the order of costs matters. The
  /// cost is the square of a latency, divided by the marginal utility of the request on this
  /// process's share of the slots, times penalties for errors and for a cold target. The latency is
  /// the recent average or the age of the oldest request in flight, whichever is larger.
  /// `processes` is the number of processes that share the target. Squaring makes latency outweigh
  /// the few requests that one process has in flight at each target.
  static double Cost(const target_view& target, size_t processes, instant now);

 private:
  static constexpr size_t kDefaultChoices = 4;
  size_t choices_ = kDefaultChoices;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_PICKER_H
