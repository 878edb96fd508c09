#include "target_picker.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace bulrushway {
namespace {

using std::chrono::duration;

// Latency assumed for a target that has not answered yet, by locality, and the least that is
// believed of one that has been idle: no remote target is tried for a change while the near ones
// answer.
constexpr std::array<std::chrono::milliseconds, 3> kAssumedLatency = {
    std::chrono::milliseconds(1), std::chrono::milliseconds(3), std::chrono::milliseconds(40)};
// What was seen of an idle target loses half its weight in this time, so that it is tried again.
constexpr std::chrono::milliseconds kEvidenceHalfLife{1000};
// How much a target that always fails is worse than one that never does.
constexpr double kErrorPenalty = 20;
constexpr double kColdPenalty = 4;
// The cost of a farther target is raised by this factor, since its link is paid for. The cost grows
// with the square of the latency: a remote target has to answer in two thirds of the time.
constexpr std::array<double, 3> kLocalityPenalty = {1.0, 1.25, 2.25};
// Draws that hit targets that are not eligible are repeated this often before all are looked at.
constexpr size_t kDrawRetries = 8;

// Remaining weight of evidence of this age.
double EvidenceWeight(std::chrono::nanoseconds age) {
  if (age.count() <= 0) return 1;
  return std::exp2(-duration<double>(age) / duration<double>(kEvidenceHalfLife));
}

double RequestsPerSlot(const target_view& target) {
  return static_cast<double>(target.in_flight) / std::max<uint32_t>(target.slots, 1);
}

// What one more request adds to the utility s log(1 + x / s) of x requests on s slots.
double MarginalUtility(double slots, double requests) {
  return slots * std::log1p(1 / (slots + requests));
}

std::optional<size_t> DrawByScan(std::span<const target_view> targets, std::mt19937_64& rng) {
  std::optional<size_t> chosen;
  size_t seen = 0;
  for (size_t i = 0; i < targets.size(); ++i) {
    if (!targets[i].Eligible()) continue;
    ++seen;
    if (std::uniform_int_distribution<size_t>(1, seen)(rng) == 1) chosen = i;
  }
  return chosen;
}

// An eligible target, all equally likely.
std::optional<size_t> Draw(std::span<const target_view> targets, std::mt19937_64& rng) {
  if (targets.empty()) return std::nullopt;
  std::uniform_int_distribution<size_t> any_index(0, targets.size() - 1);
  for (size_t i = 0; i < kDrawRetries; ++i) {
    const size_t candidate = any_index(rng);
    if (targets[candidate].Eligible()) return candidate;
  }
  return DrawByScan(targets, rng);
}

// The eligible target with the lowest cost; ties are broken at random.
template <class Cost>
std::optional<size_t> PickCheapest(std::span<const target_view> targets, std::mt19937_64& rng,
                                   Cost cost) {
  std::optional<size_t> best;
  double best_cost = std::numeric_limits<double>::infinity();
  size_t ties = 0;
  for (size_t i = 0; i < targets.size(); ++i) {
    if (!targets[i].Eligible()) continue;
    const double this_cost = cost(targets[i]);
    if (this_cost > best_cost) continue;
    ties = this_cost < best_cost ? 1 : ties + 1;
    best_cost = this_cost;
    if (std::uniform_int_distribution<size_t>(1, ties)(rng) == 1) best = i;
  }
  return best;
}

// Marks the draws of one pick so that no target is drawn twice.
class distinct_draws {
 public:
  bool Insert(size_t index) {
    const auto end = drawn_.begin() + static_cast<ptrdiff_t>(count_);
    if (std::find(drawn_.begin(), end, index) != end) return false;
    drawn_.at(count_++) = index;
    return true;
  }
  bool Full() const { return count_ == drawn_.size(); }

 private:
  std::array<size_t, 16> drawn_{};
  size_t count_ = 0;
};

// The cheapest of `choices` distinct eligible targets drawn at random.
template <class Cost>
std::optional<size_t> PickAmongDrawn(std::span<const target_view> targets, size_t choices,
                                     std::mt19937_64& rng, Cost cost) {
  if (choices >= targets.size()) return PickCheapest(targets, rng, cost);
  std::optional<size_t> best;
  double best_cost = std::numeric_limits<double>::infinity();
  distinct_draws drawn;
  for (size_t tries = 0, distinct = 0; distinct < choices && tries < 4 * choices; ++tries) {
    const std::optional<size_t> candidate = Draw(targets, rng);
    if (!candidate || drawn.Full()) break;
    if (!drawn.Insert(*candidate)) continue;
    ++distinct;
    const double this_cost = cost(targets[*candidate]);
    if (best && this_cost >= best_cost) continue;
    best = candidate;
    best_cost = this_cost;
  }
  return best;
}

}  // namespace

std::optional<size_t> random_picker::Pick(instant /*now*/, std::span<const target_view> targets,
                                          std::mt19937_64& rng) {
  return Draw(targets, rng);
}

std::optional<size_t> round_robin_picker::Pick(instant /*now*/,
                                               std::span<const target_view> targets,
                                               std::mt19937_64& /*rng*/) {
  for (size_t i = 0; i < targets.size(); ++i) {
    const size_t candidate = (next_ + i) % targets.size();
    if (!targets[candidate].Eligible()) continue;
    next_ = candidate + 1;
    return candidate;
  }
  return std::nullopt;
}

std::optional<size_t> least_requests_picker::Pick(instant /*now*/,
                                                  std::span<const target_view> targets,
                                                  std::mt19937_64& rng) {
  return PickCheapest(targets, rng, RequestsPerSlot);
}

std::optional<size_t> two_choices_picker::Pick(instant /*now*/,
                                               std::span<const target_view> targets,
                                               std::mt19937_64& rng) {
  return PickAmongDrawn(targets, 2, rng, RequestsPerSlot);
}

std::optional<size_t> marginal_utility_picker::Pick(instant /*now*/,
                                                    std::span<const target_view> targets,
                                                    std::mt19937_64& rng) {
  const auto negative_gain = [](const target_view& target) {
    return -MarginalUtility(std::max<uint32_t>(target.slots, 1), target.in_flight);
  };
  return PickCheapest(targets, rng, negative_gain);
}

double scored_picker::Cost(const target_view& target, size_t processes, instant now) {
  const double evidence_weight = EvidenceWeight(now - target.last_finished);
  const std::chrono::nanoseconds assumed_latency =
      kAssumedLatency.at(static_cast<size_t>(target.locality));
  const auto assumed_ns = static_cast<double>(assumed_latency.count());
  double latency =
      std::max(assumed_ns, static_cast<double>(target.latency.count()) * evidence_weight);
  if (target.oldest_start) {
    latency = std::max(latency, static_cast<double>((now - *target.oldest_start).count()));
  }
  const double slots = std::max<uint32_t>(target.slots, 1);
  const double own_slots = slots / static_cast<double>(std::max<size_t>(processes, 1));
  const double errors = 1 + kErrorPenalty * target.error_share * evidence_weight;
  const double cold = target.cold ? kColdPenalty : 1;
  return latency * latency * errors * cold / MarginalUtility(own_slots, target.in_flight);
}

std::optional<size_t> scored_picker::Pick(instant now, std::span<const target_view> targets,
                                          std::mt19937_64& rng) {
  std::optional<size_t> best;
  double best_cost = std::numeric_limits<double>::infinity();
  size_t begin = 0;
  while (begin < targets.size()) {
    const target_locality tier = targets[begin].locality;
    const auto tier_end =
        std::partition_point(targets.begin() + static_cast<ptrdiff_t>(begin), targets.end(),
                             [tier](const target_view& t) { return t.locality <= tier; });
    const auto end = static_cast<size_t>(tier_end - targets.begin());
    const double penalty = kLocalityPenalty.at(static_cast<size_t>(tier));
    const auto cost = [&](const target_view& t) { return Cost(t, targets.size(), now) * penalty; };
    const auto members = targets.subspan(begin, end - begin);
    const std::optional<size_t> candidate = PickAmongDrawn(members, choices_, rng, cost);
    if (candidate && cost(members[*candidate]) < best_cost) {
      best = begin + *candidate;
      best_cost = cost(members[*candidate]);
    }
    begin = end;
  }
  return best;
}

}  // namespace bulrushway
