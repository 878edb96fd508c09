#include "target_choice.h"

#include <algorithm>
#include <cmath>

#include "home_regions.h"

namespace bulrushway {
namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

// Execution slows down as slots fill up: at full load it takes longer by this share, which grows
// with this power of the load.
constexpr double kLoadSlowdown = 0.6;
constexpr double kLoadSlowdownExponent = 4;
// Cost of a failed request to its caller; multiplied by the share of failures.
constexpr milliseconds_f kFailureCost{800};
// Expected delay of a request to a node that may be gone, until it is sent to another one.
constexpr milliseconds_f kSuspectCost{600};
// Traffic between regions and between data centres is billed by volume: one kilobyte is weighed as
// this much waiting time.
constexpr milliseconds_f kRemoteCostPerKilobyte{30};
constexpr milliseconds_f kRegionCostPerKilobyte{4};
constexpr double kBytesPerKilobyte = 1000;
// Each choice raises the cost of each target by up to this random share, so that processes with the
// same view do not all choose the same target.
constexpr double kJitter = 0.15;
// Other nodes detect within this time that a node is gone; until then a relay would send to it in
// vain.
constexpr std::chrono::milliseconds kRelayDelay{700};
// Factor on the expected time of a cold target, most of whose limited rate is used by other
// processes.
constexpr double kColdFactor = 2;

bool WasTried(const choice_request& request, const std::string& node) {
  return std::find(request.tried.begin(), request.tried.end(), node) != request.tried.end();
}

bool Allowed(instant now, const node_state& node, const choice_request& request) {
  if (!node.Usable() || now < node.avoid_until) return false;
  if (!AllowsRegion(request.home_regions, node.member.region)) return false;
  return !WasTried(request, node.member.node);
}

}  // namespace

milliseconds_f ExpectedCost(const node_state& node, const choice_request& request) {
  const target_report& target = node.report.target;
  const double slots = std::max(1U, target.slots);
  const double busy = target.running + target.waiting + node.sent_since_load;
  // What the target ran of late may have been shorter or longer work than this request.
  const double mixed_work = static_cast<double>(target.usual_work.count());
  const double own_work =
      static_cast<double>(WorkAt(target.slowness_percent, request.work).count());
  const double work = own_work > 0 ? own_work : mixed_work;
  const double queued = std::max(0.0, busy + 1 - slots);
  const double fill = std::min(1.0, busy / slots);
  double time = milliseconds_f(node.round_trip).count();
  time += work * (1 + kLoadSlowdown * std::pow(fill, kLoadSlowdownExponent));
  time += queued * mixed_work / slots;
  const bool separate_body = request.body_bytes > kMaxInlineBody;
  if (separate_body && node.locality != node_locality::kSelf) {
    time += static_cast<double>(target.body_wait.count());
  }
  if (target.cold) time *= kColdFactor;
  time += static_cast<double>(target.limit_wait.count());
  time += node.sent_since_load * milliseconds_f(LimitInterval(target)).count();
  const double kilobytes = request.bytes / kBytesPerKilobyte;
  if (node.locality == node_locality::kRemote) time += kilobytes * kRemoteCostPerKilobyte.count();
  if (node.locality == node_locality::kRegion) time += kilobytes * kRegionCostPerKilobyte.count();
  time += node.failure_share * kFailureCost.count();
  if (node.suspect) time += kSuspectCost.count();
  return milliseconds_f(time);
}

const node_state* ChooseTarget(instant now, const std::vector<const node_state*>& nodes,
                               const choice_request& request, std::mt19937_64& rng) {
  std::uniform_real_distribution<double> jitter(1, 1 + kJitter);
  const node_state* best = nullptr;
  double best_time = 0;
  for (const node_state* node : nodes) {
    if (!Allowed(now, *node, request)) continue;
    const double time = ExpectedCost(*node, request).count() * jitter(rng);
    if (best != nullptr && time >= best_time) continue;
    best = node;
    best_time = time;
  }
  return best;
}

bool MayRelay(instant now, const node_state& owner) {
  return !owner.reachable && owner.reported && now - owner.reachable_since >= kRelayDelay;
}

const node_state* ChooseRelay(instant now, const fleet_view& fleet, const node_state& owner,
                              const choice_request& request, std::mt19937_64& rng) {
  if (!MayRelay(now, owner)) return nullptr;
  const node_state* self = fleet.Find(fleet.self());
  if (self == nullptr) return nullptr;
  const node_state* best = nullptr;
  double best_time = 0;
  std::uniform_real_distribution<double> jitter(1, 1 + kJitter);
  for (const auto& [name, node] : fleet.nodes()) {
    const std::string& data_centre = node.member.data_centre;
    const bool in_third_data_centre =
        data_centre != self->member.data_centre && data_centre != owner.member.data_centre;
    const bool eligible = in_third_data_centre && !WasTried(request, name) && node.reachable &&
                          node.reported && !node.report.stopping;
    // A relay receives the whole request.
    if (!eligible || !AllowsRegion(request.home_regions, node.member.region)) continue;
    const double time = (milliseconds_f(node.round_trip).count() + 1) * jitter(rng);
    if (best != nullptr && time >= best_time) continue;
    best = &node;
    best_time = time;
  }
  return best;
}

}  // namespace bulrushway
