#ifndef BULRUSHWAY_TARGET_PICKER_H
#define BULRUSHWAY_TARGET_PICKER_H

// Policies that choose the target of a request among all targets of a service. Each is a type of
// its own that satisfies `target_picker`; code that sends requests is templated over it. Every
// policy takes the views sorted by locality, nearest first, and never chooses a target that is not
// eligible.

#include <chrono>
#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <span>

#include "clock.h"
#include "target_view.h"

namespace bulrushway {

/// Chooses the index of the target of a request, or none when no target is eligible.
template <class Picker>
concept target_picker = requires(Picker picker, instant now, std::span<const target_view> targets,
                                 std::mt19937_64& rng) {
  { picker.Pick(now, targets, rng) } -> std::same_as<std::optional<size_t>>;
};

/// Any eligible target, each as likely as the next.
struct random_picker {
  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);
};

/// Each eligible target in turn.
class round_robin_picker {
 public:
  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);

 private:
  size_t next_ = 0;
};

/// The target with the fewest requests of this process per slot; ties are broken at random.
struct least_requests_picker {
  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);
};

/// The one with fewer requests per slot of two targets drawn at random.
struct two_choices_picker {
  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);
};

/// The target at which one more request adds the largest utility ("join the largest marginal
/// utility"). The utility of x requests on s slots is s log(1 + x / s), so that the marginal
/// utility falls with the occupancy and larger targets fill first.
struct marginal_utility_picker {
  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);
};

/// The target with the lowest cost among a few drawn at random from each tier of locality. A
/// farther tier is used only where it is clearly better. There are about as many processes that
/// choose as there are targets, since one stands beside each.
class scored_picker {
 public:
  /// Draws this many targets of each tier.
  explicit scored_picker(size_t choices) : choices_(choices) {}
  scored_picker() = default;

  std::optional<size_t> Pick(instant now, std::span<const target_view> targets,
                             std::mt19937_64& rng);

  /// Cost of one more request at the target, only meaningful in comparison, larger is worse: the
  /// square of the recent latency or of the age of the oldest request under way, whichever is
  /// larger, over the marginal utility of the request on this process's part of the slots, raised
  /// by errors and by cold start. `processes` share the target. The square makes slowness outweigh
  /// the few requests that one process has under way at each target.
  static double Cost(const target_view& target, size_t processes, instant now);

 private:
  static constexpr size_t kDefaultChoices = 4;
  size_t choices_ = kDefaultChoices;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_PICKER_H
