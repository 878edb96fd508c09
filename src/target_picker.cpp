#include "target_picker.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace bulrushway {
namespace {

using std::chrono::duration;

// Latency assumed for a target that has not answered yet, by locality. It is also the lower bound
// for an idle target, whose measured latency decays, so that no remote target is probed while near
// ones answer.
constexpr std::array<std::chrono::milliseconds, 3> kAssumedLatency = {
    std::chrono::milliseconds(1), std::chrono::milliseconds(3), std::chrono::milliseconds(40)};
// Half-life of the measured latency and errors of an idle target, so that a target that was slow or
// failing is tried again.
constexpr std::chrono::milliseconds kEvidenceHalfLife{1000};
// Added cost factor of a target whose requests all fail; scaled by the error share.
constexpr double kErrorPenalty = 20;
constexpr double kColdPenalty = 4;
// Cost factor by locality, since links to farther targets are paid for. The cost grows with the
// square of the latency: a remote target has to answer in two thirds of the time of a near one.
constexpr std::array<double, 3> kLocalityPenalty = {1.0, 1.25, 2.25};
// Number of random draws that may hit targets that are not eligible before falling back to a scan
// of all targets.
constexpr size_t kDrawRetries = 8;

// Weight of a measurement of this age, 0 to 1.
double EvidenceWeight(std::chrono::nanoseconds age) {
  if (age.count() <= 0) return 1;
  return std::exp2(-duration<double>(age) / duration<double>(kEvidenceHalfLife));
}

double RequestsPerSlot(const target_view& target) {
  return static_cast<double>(target.in_flight) / std::max<uint32_t>(target.slots, 1);
}

// Increase of the utility s log(1 + x / s) when one request is added to x requests on s slots.
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

// Draws an eligible target uniformly at random.
std::optional<size_t> Draw(std::span<const target_view> targets, std::mt19937_64& rng) {
  if (targets.empty()) return std::nullopt;
  std::uniform_int_distribution<size_t> any_index(0, targets.size() - 1);
  for (size_t i = 0; i < kDrawRetries; ++i) {
    const size_t candidate = any_index(rng);
    if (targets[candidate].Eligible()) return candidate;
  }
  return DrawByScan(targets, rng);
}

// Returns the eligible target with the lowest cost; ties are broken at random.
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

// Set of the targets drawn in one pick, so that each is considered once.
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

// Returns the cheapest of up to `choices` distinct eligible targets drawn at random.
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
