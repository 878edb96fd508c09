// Control endpoints of the target stand-in: faults, drain, health, load and executions.

#include <nlohmann/json.hpp>

#include "target_server.h"

namespace bulrushway::standin {
namespace {

using json = nlohmann::json;

// Load samples older than this are discarded.
constexpr std::chrono::seconds kLoadSampleRetention{60};

http_answer JsonAnswer(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

int64_t Milliseconds(instant at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

}  // namespace

void target_server::HandleControl(const exchange_pointer& caller, const std::string& path,
                                  instant now) {
  const auto reply = [&](http_answer answer) { caller->Reply(WithBootId(std::move(answer))); };
  if (path == "/-/health") return reply(JsonAnswer(200, HealthReport(now)));
  if (path == "/-/load") return reply(JsonAnswer(200, LoadReport(now)));
  if (path == "/-/faults") return HandleFaults(caller, now);
  if (path == "/-/drain") {
    faults_.drain = caller->request().method != "DELETE";
    return reply(JsonAnswer(200, HealthReport(now)));
  }
  if (path == "/-/executions") {
    const bool all = QueryValue(caller->request().target, "ids") == "all";
    return reply(JsonAnswer(200, ExecutionReport(all, now)));
  }
  if (path == "/-/reset") {
    executions_.Clear();
    counters_ = {};
    return reply(JsonAnswer(200, "{}"));
  }
  reply({404, {}, "The path \"" + path + "\" is not served.\n"});
}

void target_server::HandleFaults(const exchange_pointer& caller, instant now) {
  const auto change = ChangeFaults(faults_, caller->request().body);
  if (!change) {
    const json body{{"error", change.error().message}};
    return caller->Reply(WithBootId(JsonAnswer(400, body.dump())));
  }
  faults_ = change->faults;
  if (change->turn_cold) times_.TurnCold(now);
  if (change->silence_connections)
    silent_connections_.insert(seen_connections_.begin(), seen_connections_.end());
  caller->Reply(WithBootId(JsonAnswer(200, "{}")));
}

std::string target_server::HealthReport(instant now) const {
  const char* state = faults_.drain ? "draining" : times_.IsCold(now) ? "cold" : "serving";
  return json{{"name", settings_.name},
              {"health", faults_.health_failing ? "failing" : "ok"},
              {"state", state},
              {"running", running_},
              {"waiting", waiting_.size()}}
      .dump();
}

std::string target_server::LoadReport(instant now) const {
  load_sample reported{now, running_, waiting_.size()};
  if (faults_.load_report_delay.count() > 0) {
    reported = load_sample{now - faults_.load_report_delay};
    for (const load_sample& sample : samples_) {
      if (now - sample.at >= faults_.load_report_delay) reported = sample;
    }
  }
  const auto scale = [this](uint64_t number) {
    return static_cast<uint64_t>(static_cast<double>(number) * faults_.load_report_factor);
  };
  return json{{"slots", settings_.slots},
              {"connections", settings_.connections},
              {"running", scale(reported.running)},
              {"waiting", scale(reported.waiting)}}
      .dump();
}

std::string target_server::ExecutionReport(bool all_ids, instant now) const {
  json ids = json::array();
  for (const auto& [id, entry] : executions_.CountsById()) {
    if (!all_ids && entry.count < 2) continue;
    ids.push_back({{"id", id}, {"count", entry.count}, {"idempotent", entry.idempotent}});
  }
  json owners = json::array();
  for (const auto& [owned, span] : executions_.OwnerSpans()) {
    owners.push_back({{"service", owned.service},
                      {"slice", owned.slice},
                      {"epoch", owned.epoch},
                      {"first_ms", Milliseconds(span.first)},
                      {"last_ms", Milliseconds(span.last)},
                      {"count", span.count}});
  }
  return json{{"target", settings_.name},
              {"boot_id", settings_.boot_id},
              {"executions", executions_.Total()},
              {"double", executions_.DoubleExecutions()},
              {"arrivals", counters_.arrivals},
              {"done", counters_.done},
              {"cancelled", counters_.cancelled},
              {"shed", counters_.shed},
              {"refused_grants", counters_.refused_grants},
              {"over_connections", counters_.over_connections},
              {"past_deadline", counters_.past_deadline},
              {"largest_running", counters_.largest_running},
              {"cold", times_.IsCold(now)},
              {"cold_overloads", times_.ColdOverloads()},
              {"largest_while_cold", times_.LargestWhileCold()},
              {"ids", ids},
              {"owners", owners}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

void target_server::SampleLoad(instant now) {
  samples_.push_back({now, running_, waiting_.size()});
  while (now - samples_.front().at > kLoadSampleRetention) samples_.pop_front();
  std::erase_if(unanswered_, [](const exchange_pointer& caller) { return caller->Finished(); });
}

}  // namespace bulrushway::standin
