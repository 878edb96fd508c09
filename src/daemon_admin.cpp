// HTTP handlers for operators, under /-/.
#include <algorithm>

#include "daemon.h"
#include "json_text.h"
#include "slice.h"

namespace bulrushway {
namespace {

using json = nlohmann::json;

// Events returned by /-/events without a limit.
constexpr size_t kDefaultEventLimit = 50;

http_answer JsonAnswer(const json& value, int status = 200) {
  return {status, {{"Content-Type", "application/json"}}, ToJsonText(value) + "\n"};
}

json ToJson(const node_state& node) {
  return {{"node", node.member.node},
          {"service", node.member.service},
          {"region", node.member.region},
          {"data_centre", node.member.data_centre},
          {"address", ToString(node.member.address)},
          {"http", ToString(node.member.operators)},
          {"config_version", node.report.configuration_version},
          {"leaving", node.report.stopping || node.report.target.evacuated},
          {"target_up", node.report.target.accepting},
          {"alive", node.reachable && node.reported}};
}

}  // namespace

http_answer daemon::HandleOperatorRequest(instant now, const http_request& request) {
  const std::string path = PathOf(request.target);
  if (path == "/-/status") return ShowStatus(now);
  if (path == "/-/owner") return ShowOwner(request);
  if (path == "/-/metrics") return ShowMetrics(now);
  if (path == "/-/events") return ShowEvents(request);
  if (path == "/-/quarantine") return HandleQuarantine(now, request);
  if (path == "/-/faults" && faults_allowed_ && request.method == "POST") {
    return SetFaults(request);
  }
  if (path == "/-/config/poke" && request.method == "POST") {
    configuration_.Poke(now);
    return JsonAnswer({{"version", rules_.Version()}});
  }
  return JsonAnswer({{"error", "Unknown path \"" + path + "\"."}}, 404);
}

http_answer daemon::ShowStatus(instant now) const {
  const service_info* info = rules_.FindService(settings_.node.service);
  const bool keyed = info != nullptr && info->keyed;
  const auto lease =
      std::chrono::duration_cast<std::chrono::milliseconds>(slices_.LeaseEnd(now) - now);
  std::string state = "serving";
  if (keyed && !members_.Leased(now)) state = "gaining lease";
  if (!rules_.Configured()) state = "waiting for configuration";
  if (data_centre_out_) state = "out";
  if (stopping_) state = "stopping";
  json members = json::array();
  for (const auto& [name, node] : fleet_.nodes()) members.push_back(ToJson(node));
  json status = {{"node", settings_.node.name},
                 {"service", settings_.node.service},
                 {"region", settings_.node.region},
                 {"data_centre", settings_.node.data_centre},
                 {"address", ToString(settings_.listen.peer)},
                 {"http", ToString(settings_.listen.http)},
                 {"slices", slices_.HeldCount()},
                 {"config_version", rules_.Version()},
                 {"leaving", Leaving()},
                 {"target_up", target_up_},
                 {"lease_ms", keyed ? lease.count() : 0},
                 {"state", state},
                 {"process", std::to_string(process_)},
                 {"in_flight", gate_.InFlight()},
                 {"waiting", gate_.Waiting()},
                 {"concurrency_cap", gate_.cap().limit()},
                 {"cold", gate_.cap().cold()},
                 {"owned_slices_of_service", CountOwnedSlices(settings_.node.service)}};
  const auto staleness = configuration_.Staleness(now);
  status["config_age_ms"] = staleness ? json(staleness->count()) : json();
  status["why_not"] = configuration_.WhyNotConfigured();
  status["members"] = members;
  return JsonAnswer(status);
}

http_answer daemon::ShowOwner(const http_request& request) const {
  const std::string service = QueryValue(request.target, "service");
  const std::string key = QueryValue(request.target, "key");
  const service_info* info = rules_.FindService(service);
  if (info == nullptr || !info->keyed || key.empty()) {
    return JsonAnswer(
        {{"error", "No keyed service is named \"" + service + "\", or the key is missing."}}, 404);
  }
  dispatch_request lookup;
  lookup.service = service;
  lookup.tenant = QueryValue(request.target, "tenant");
  const uint32_t partition = PartitionFor(info->layout, rules_.HomeRegions(lookup));
  const uint32_t slice = SliceOf(info->layout, partition, key);
  const std::string owner = OwnerOf(service, slice);
  return JsonAnswer({{"service", service},
                     {"key", key},
                     {"slice", slice},
                     {"owner", owner.empty() ? json() : json(owner)},
                     {"according_to", settings_.node.name}});
}

http_answer daemon::ShowMetrics(instant) {
  const auto live = std::ranges::count_if(
      fleet_.nodes(), [](const auto& name_and_node) { return name_and_node.second.reachable; });
  metrics_.Gauge("bulrush_members") = static_cast<double>(live);
  metrics_.Gauge("bulrush_owned_slices") = static_cast<double>(slices_.HeldCount());
  metrics_.Gauge("bulrush_gate_in_flight") = static_cast<double>(gate_.InFlight());
  metrics_.Gauge("bulrush_gate_waiting") = static_cast<double>(gate_.Waiting());
  metrics_.Gauge("bulrush_concurrency_cap") = gate_.cap().limit();
  metrics_.Gauge("bulrush_configuration_version") = static_cast<double>(rules_.Version());
  const gate_counts& counts = gate_.counts();
  metrics_.Counter("bulrush_handed_over_total") = counts.sent_to_target;
  metrics_.Counter("bulrush_answers_crossed_total") = counts.mismatched_answers;
  metrics_.Counter("bulrush_cut_by_lapse_total") = counts.aborted_by_lapse;
  metrics_.Counter("bulrush_answered_from_memory_total") = counts.answered_from_memory;
  metrics_.Counter("bulrush_peer_bytes_sent_total") = mesh_.BytesSent();
  metrics_.Counter("bulrush_peer_bytes_received_total") = mesh_.BytesReceived();
  for (const auto& [endpoints, count] : entry_.links().Counts()) {
    const metric_labels labels{{"from", endpoints.first}, {"to", endpoints.second}};
    metrics_.Counter("bulrush_link_bytes_total", labels) = count.bytes;
    metrics_.Counter("bulrush_link_spilled_bytes_total", labels) = count.spilled_bytes;
    metrics_.Counter("bulrush_link_spills_refused_total", labels) = count.refused_spills;
  }
  return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.Expose()};
}

http_answer daemon::ShowEvents(const http_request& request) const {
  const std::string limit_text = QueryValue(request.target, "limit");
  size_t limit = kDefaultEventLimit;
  if (!limit_text.empty() && limit_text.find_first_not_of("0123456789") == std::string::npos) {
    limit = std::stoul(limit_text.substr(0, 6));
  }
  json events = json::array();
  const auto& recent = log_.Recent();
  const size_t first = recent.size() > limit ? recent.size() - limit : 0;
  for (size_t i = first; i < recent.size(); ++i) {
    json fields = json::object();
    for (const auto& [name, value] : recent[i].fields) fields[name] = value;
    events.push_back({{"time", recent[i].time},
                      {"number", static_cast<unsigned>(recent[i].id)},
                      {"name", FindEvent(recent[i].id).name},
                      {"fields", fields}});
  }
  return JsonAnswer({{"node", settings_.node.name}, {"events", events}});
}

http_answer daemon::SetFaults(const http_request& request) {
  const auto set_dropped = [this](const std::string& node, bool dropped) {
    if (node.empty()) return;
    if (dropped) dropped_peers_.insert(node);
    if (!dropped) dropped_peers_.erase(node);
  };
  set_dropped(QueryValue(request.target, "drop_from"), true);
  set_dropped(QueryValue(request.target, "pass_from"), false);
  // The name "platform" cuts the connection to the platform instead of a peer's.
  table_.SetDisconnected(dropped_peers_.contains("platform"));
  mesh_.SetDropped(dropped_peers_);
  json nodes = dropped_peers_;
  return JsonAnswer({{"dropped", nodes}});
}

http_answer daemon::HandleQuarantine(instant now, const http_request& request) {
  if (request.method == "POST") {
    const std::string fingerprint = QueryValue(request.target, "release");
    const bool is_number = !fingerprint.empty() && fingerprint.size() < 20 &&
                           fingerprint.find_first_not_of("0123456789") == std::string::npos;
    if (!is_number || !gate_.poison().Release(std::stoull(fingerprint), now)) {
      return JsonAnswer({{"error", "No request \"" + fingerprint + "\" is quarantined."}}, 404);
    }
    BroadcastSuspects(now);
    log_.Write(event_id::kQuarantineReleased, {{"fingerprint", fingerprint}});
    return JsonAnswer({{"released", fingerprint}});
  }
  json entries = json::array();
  for (const poison_entry& entry : gate_.poison().Export(settings_.node.region, now)) {
    const auto remaining = std::chrono::duration_cast<std::chrono::seconds>(entry.remaining);
    entries.push_back({{"fingerprint", std::to_string(entry.fingerprint)},
                       {"crashes", entry.crashes.size()},
                       {"quarantined", gate_.poison().Quarantined(entry.fingerprint, now)},
                       {"seconds_left", remaining.count()}});
  }
  return JsonAnswer({{"entries", entries}});
}

}  // namespace bulrushway
