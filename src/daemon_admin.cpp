// The operators' paths of a process, under /-/.
#include <nlohmann/json.hpp>

#include "daemon.h"
#include "slice.h"

namespace bulrushway {
namespace {

using json = nlohmann::json;

// Events shown when the operator names no number.
constexpr size_t kEventsShown = 50;

http_answer JsonAnswer(const json& value, int status = 200) {
  return {status, {{"Content-Type", "application/json"}}, value.dump() + "\n"};
}

std::string_view PhaseName(ownership_phase phase) {
  switch (phase) {
    case ownership_phase::kIdle:
      return "idle";
    case ownership_phase::kStarting:
      return "starting";
    case ownership_phase::kWriting:
      return "writing term";
    case ownership_phase::kGainingLease:
      return "gaining lease";
    case ownership_phase::kServing:
      return "serving";
    case ownership_phase::kStopped:
      return "stopped";
  }
  return "unknown";
}

json ToJson(const announcement& member, bool alive) {
  return {{"node", member.node},
          {"service", member.service},
          {"region", member.region},
          {"data_centre", member.data_centre},
          {"address", ToString(member.peer)},
          {"http", ToString(member.http)},
          {"term", member.term},
          {"slices", member.slices},
          {"config_version", member.configuration_version},
          {"leaving", member.leaving},
          {"target_up", member.target_up},
          {"alive", alive}};
}

}  // namespace

http_answer daemon::Administer(instant now, const http_request& request) {
  const std::string path = PathOf(request.target);
  if (path == "/-/status") return ShowStatus(now);
  if (path == "/-/owner") return ShowOwner(request);
  if (path == "/-/metrics") return ShowMetrics(now);
  if (path == "/-/events") return ShowEvents(request);
  if (path == "/-/quarantine") return Quarantine(now, request);
  if (path == "/-/faults" && faults_allowed_ && request.method == "POST") {
    return SetFaults(request);
  }
  if (path == "/-/config/poke" && request.method == "POST") {
    configuration_.Poke(now);
    return JsonAnswer({{"version", rules_.Version()}});
  }
  return JsonAnswer({{"error", "There is no path \"" + path + "\"."}}, 404);
}

http_answer daemon::ShowStatus(instant now) const {
  const announcement& self = membership_.Self();
  const auto ownership = membership_.OwnershipStatus();
  const auto lease =
      std::chrono::duration_cast<std::chrono::milliseconds>(membership_.LeaseExpiry() - now);
  json members = json::array();
  for (const announcement* member : membership_.Known().Live()) {
    members.push_back(ToJson(*member, true));
  }
  json status = ToJson(self, true);
  status["lease_ms"] = ownership ? lease.count() : 0;
  status["state"] = stopping_          ? "stopping"
                    : data_centre_out_ ? "out"
                    : ownership        ? PhaseName(ownership->phase)
                                       : "waiting for configuration";
  status["process"] = std::to_string(self.process);
  status["in_flight"] = gate_.InFlight();
  status["waiting"] = gate_.Waiting();
  status["concurrency_cap"] = gate_.cap().limit();
  status["cold"] = gate_.cap().cold();
  status["owned_slices_of_service"] = membership_.Known().OwnedSlices(self.service);
  status["witnessed_terms"] = ownership ? ownership->witnessed_terms : 0;
  const auto staleness = configuration_.Staleness(now);
  status["config_age_ms"] = staleness ? json(staleness->count()) : json();
  status["why_not"] = configuration_.WhyNone();
  status["members"] = members;
  return JsonAnswer(status);
}

http_answer daemon::ShowOwner(const http_request& request) const {
  const std::string service = QueryValue(request.target, "service");
  const std::string key = QueryValue(request.target, "key");
  const service_facts* facts = rules_.FindService(service);
  if (facts == nullptr || !facts->keyed || key.empty()) {
    return JsonAnswer({{"error", "There is no keyed service \"" + service + "\" or no key."}}, 404);
  }
  forward_request asked;
  asked.service = service;
  asked.key = key;
  asked.tenant = QueryValue(request.target, "tenant");
  const uint32_t partition = PartitionFor(facts->layout, rules_.HomeRegions(asked));
  const uint32_t slice = SliceOf(facts->layout, partition, key);
  const std::string owner = membership_.Known().OwnerOf(service, slice);
  return JsonAnswer({{"service", service},
                     {"key", key},
                     {"slice", slice},
                     {"owner", owner.empty() ? json() : json(owner)},
                     {"according_to", settings_.node.name}});
}

http_answer daemon::ShowMetrics(instant now) {
  membership_.ExportMetrics(now);
  metrics_.Gauge("bulrush_gate_in_flight") = static_cast<double>(gate_.InFlight());
  metrics_.Gauge("bulrush_gate_waiting") = static_cast<double>(gate_.Waiting());
  metrics_.Gauge("bulrush_concurrency_cap") = gate_.cap().limit();
  metrics_.Gauge("bulrush_configuration_version") = static_cast<double>(rules_.Version());
  const gate_counts& counts = gate_.counts();
  metrics_.Counter("bulrush_handed_over_total") = counts.handed_over;
  metrics_.Counter("bulrush_answers_crossed_total") = counts.crossed;
  metrics_.Counter("bulrush_cut_by_lapse_total") = counts.cut_by_lapse;
  metrics_.Counter("bulrush_answered_from_memory_total") = counts.answered_from_memory;
  metrics_.Counter("bulrush_stray_answers_total") = forwarder_.StrayAnswers();
  metrics_.Counter("bulrush_silent_connections_total") = forwarder_.SilentConnections();
  metrics_.Counter("bulrush_peer_bytes_sent_total") = transport_.BytesSent();
  metrics_.Counter("bulrush_peer_bytes_received_total") = transport_.BytesReceived();
  for (const auto& [pair, count] : entry_.links().Counts()) {
    const metric_labels labels{{"from", pair.first}, {"to", pair.second}};
    metrics_.Counter("bulrush_link_bytes_total", labels) = count.bytes;
    metrics_.Counter("bulrush_link_spilled_bytes_total", labels) = count.spilled_bytes;
    metrics_.Counter("bulrush_link_spills_refused_total", labels) = count.refused_spills;
  }
  return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.Expose()};
}

http_answer daemon::ShowEvents(const http_request& request) const {
  const std::string asked = QueryValue(request.target, "limit");
  size_t limit = kEventsShown;
  if (!asked.empty() && asked.find_first_not_of("0123456789") == std::string::npos) {
    limit = std::stoul(asked.substr(0, 6));
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
  if (const std::string node = QueryValue(request.target, "drop_from"); !node.empty()) {
    dropped_.insert(node);
    membership_.SetDropped(node, true);
  }
  if (const std::string node = QueryValue(request.target, "pass_from"); !node.empty()) {
    dropped_.erase(node);
    membership_.SetDropped(node, false);
  }
  json nodes = dropped_;
  return JsonAnswer({{"dropped", nodes}});
}

http_answer daemon::Quarantine(instant now, const http_request& request) {
  if (request.method == "POST") {
    const std::string fingerprint = QueryValue(request.target, "release");
    const bool number = !fingerprint.empty() && fingerprint.size() < 20 &&
                        fingerprint.find_first_not_of("0123456789") == std::string::npos;
    if (!number || !gate_.poison().Release(std::stoull(fingerprint), now)) {
      return JsonAnswer({{"error", "No request \"" + fingerprint + "\" is quarantined."}}, 404);
    }
    PublishSuspects(now);
    log_.Write(event_id::kQuarantineReleased, {{"fingerprint", fingerprint}});
    return JsonAnswer({{"released", fingerprint}});
  }
  json entries = json::array();
  for (const poison_entry& entry : gate_.poison().Export(settings_.node.region, now)) {
    const auto left = std::chrono::duration_cast<std::chrono::seconds>(entry.remaining);
    entries.push_back({{"fingerprint", std::to_string(entry.fingerprint)},
                       {"crashes", entry.crashes.size()},
                       {"quarantined", gate_.poison().Quarantined(entry.fingerprint, now)},
                       {"seconds_left", left.count()}});
  }
  return JsonAnswer({{"entries", entries}});
}

}  // namespace bulrushway
