#include "fleet_view.h"

#include <utility>

#include "msgpack_fields.h"

namespace bulrushway {

static auto Fields(auto& m, const socket_address&) { return std::tie(m.ip, m.port); }
static auto Fields(auto& m, const member_record&) {
  return std::tie(m.node, m.address, m.data_centre, m.region, m.service, m.process, m.operators);
}

namespace {

// EWMA weight of one outcome in the share of failures: covers about twenty outcomes.
constexpr double kFailureWeight = 0.05;
// EWMA weight of one measurement of the round trip time.
constexpr double kRoundTripWeight = 0.2;
// A target that refuses a request because of load is not chosen for this long.
constexpr std::chrono::milliseconds kFullBackoff{15};

}  // namespace

std::string EncodeMember(const member_record& member) { return msgpack_fields::Serialize(member); }

result<member_record> DecodeMember(const std::string& bytes) {
  member_record member;
  try {
    const msgpack::object_handle handle = msgpack_fields::Parse(bytes);
    msgpack_fields::Read(handle.get(), member);
  } catch (const std::exception& exception) {
    return Failure(error_kind::kPeer, "decode member", {},
                   std::string("The row is not a valid member record: ") + exception.what() + ".");
  }
  if (const auto address = ParseSocketAddress(ToString(member.address)); !address) {
    return Failure(error_kind::kPeer, "decode member", {}, address.error().message);
  }
  return member;
}

fleet_view::fleet_view(std::string self, std::string data_centre, std::string region)
    : self_(std::move(self)), data_centre_(std::move(data_centre)), region_(std::move(region)) {}

node_locality fleet_view::LocalityOf(const member_record& member) const {
  if (member.node == self_) return node_locality::kSelf;
  if (member.data_centre == data_centre_) return node_locality::kDataCentre;
  return member.region == region_ ? node_locality::kRegion : node_locality::kRemote;
}

bool fleet_view::OnMember(const member_record& member) {
  node_state& state = nodes_[member.node];
  if (state.member == member) return false;
  const bool moved = state.member.address != member.address;
  if (moved || state.member.process != member.process) {
    const bool self = member.node == self_;
    node_state fresh;
    fresh.reachable = self;
    fresh.leaving_target = std::move(state.leaving_target);
    fresh.leaving_since = state.leaving_since;
    state = std::move(fresh);
  }
  state.member = member;
  state.locality = LocalityOf(member);
  return true;
}

void fleet_view::OnMemberRemoved(const std::string& node) {
  if (node != self_) nodes_.erase(node);
}

void fleet_view::OnReport(instant now, const node_report& report) {
  const auto found = nodes_.find(report.node);
  if (found == nodes_.end()) return;
  node_state& state = found->second;
  const bool same_process = state.report.process == report.process;
  if (state.reported && same_process && report.sequence <= state.report.sequence) return;
  if (state.report.target.incarnation != report.target.incarnation) {
    state.failure_share = 0;
    state.avoid_until = {};
  }
  state.report = report;
  state.reported = true;
  state.report_received = now;
  state.load_received = now;
  state.sent_since_load = 0;
  RecordLeaving(now, state);
}

void fleet_view::RecordLeaving(instant now, node_state& state) {
  const target_report& target = state.report.target;
  if (!target.leaving || target.incarnation == state.leaving_target) return;
  state.leaving_target = target.incarnation;
  state.leaving_since = now;
}

void fleet_view::OnReachable(instant now, const std::string& node, bool reachable) {
  const auto found = nodes_.find(node);
  if (found == nodes_.end() || found->second.reachable == reachable) return;
  found->second.reachable = reachable;
  found->second.reachable_since = now;
}

void fleet_view::OnSuspect(const std::string& node, bool suspect) {
  const auto found = nodes_.find(node);
  if (found != nodes_.end()) found->second.suspect = suspect;
}

void fleet_view::OnRoundTrip(const std::string& node, std::chrono::nanoseconds round_trip) {
  const auto found = nodes_.find(node);
  if (found == nodes_.end()) return;
  auto& average = found->second.round_trip;
  if (average.count() == 0) {
    average = round_trip;
    return;
  }
  average += std::chrono::duration_cast<std::chrono::nanoseconds>(kRoundTripWeight *
                                                                  (round_trip - average));
}

void fleet_view::OnSent(const std::string& node) {
  const auto found = nodes_.find(node);
  if (found == nodes_.end()) return;
  ++found->second.sent_since_load;
  ++found->second.in_flight;
}

void fleet_view::OnAnswer(instant now, const std::string& node, const dispatch_answer& answer) {
  const auto found = nodes_.find(node);
  if (found == nodes_.end()) return;
  node_state& state = found->second;
  if (state.in_flight > 0) --state.in_flight;
  if (answer.sent_to_target) {
    constexpr int kServerError = 500;
    const bool failed =
        answer.reason != refusal_reason::kNone || answer.answer.status >= kServerError;
    state.failure_share += kFailureWeight * ((failed ? 1.0 : 0.0) - state.failure_share);
  }
  if (answer.reason == refusal_reason::kQueueFull || answer.reason == refusal_reason::kColdStart ||
      answer.reason == refusal_reason::kTargetShed ||
      answer.reason == refusal_reason::kTargetLimited) {
    state.avoid_until = now + kFullBackoff;
  }
  // An answer that was relayed describes the target of another node.
  if (answer.target.service != state.member.service) return;
  if (answer.target.incarnation != state.report.target.incarnation &&
      !state.report.target.incarnation.id.empty()) {
    return;
  }
  // Only reports carry the rate of requests for keys.
  const uint32_t key_rate = state.report.target.key_request_millirate;
  state.report.target = answer.target;
  state.report.target.key_request_millirate = key_rate;
  state.load_received = now;
  state.sent_since_load = 0;
  RecordLeaving(now, state);
}

const node_state* fleet_view::Find(const std::string& node) const {
  const auto found = nodes_.find(node);
  return found == nodes_.end() ? nullptr : &found->second;
}

std::vector<const node_state*> fleet_view::OfService(const std::string& service) const {
  std::vector<const node_state*> found;
  for (const auto& [name, state] : nodes_) {
    if (state.member.service == service) found.push_back(&state);
  }
  return found;
}

}  // namespace bulrushway
