// The control side of the target's stand-in: faults, drain, health, load and executions.

#include <nlohmann/json.hpp>

#include "target_server.h"

namespace bulrushway::standin {
namespace {

using json = nlohmann::json;

// Samples of the load older than this are dropped.
constexpr std::chrono::seconds kLongestLag{60};

http_answer JsonAnswer(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

int64_t Milliseconds(instant at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

}  // namespace

void target_server::HandleControl(const exchange& caller, const std::string& path, instant now) {
  const auto reply = [&](http_answer answer) { caller->Reply(WithBootId(std::move(answer))); };
  if (path == "/-/health") return reply(JsonAnswer(200, Health(now)));
  if (path == "/-/load") return reply(JsonAnswer(200, Load(now)));
  if (path == "/-/faults") return ChangeFaultsBy(caller, now);
  if (path == "/-/drain") {
    faults_.drain = caller->request().method != "DELETE";
    return reply(JsonAnswer(200, Health(now)));
  }
  if (path == "/-/executions") {
    const bool all = QueryValue(caller->request().target, "ids") == "all";
    return reply(JsonAnswer(200, Executions(all, now)));
  }
  if (path == "/-/reset") {
    executions_.Clear();
    counters_ = {};
    return reply(JsonAnswer(200, "{}"));
  }
  reply({404, {}, "The path \"" + path + "\" is not served.\n"});
}

void target_server::ChangeFaultsBy(const exchange& caller, instant now) {
  const auto change = ChangeFaults(faults_, caller->request().body);
  if (!change) {
    const json complaint{{"error", change.error().message}};
    return caller->Reply(WithBootId(JsonAnswer(400, complaint.dump())));
  }
  faults_ = change->faults;
  if (change->turn_cold) times_.TurnCold(now);
  if (change->silence_connections) silent_.insert(seen_.begin(), seen_.end());
  caller->Reply(WithBootId(JsonAnswer(200, "{}")));
}

std::string target_server::Health(instant now) const {
  const char* state = faults_.drain ? "draining" : times_.Cold(now) ? "cold" : "serving";
  return json{{"name", settings_.name},
              {"health", faults_.health_failing ? "failing" : "ok"},
              {"state", state},
              {"running", running_},
              {"waiting", waiting_.size()}}
      .dump();
}

std::string target_server::Load(instant now) const {
  load_sample told{now, running_, waiting_.size()};
  if (faults_.load_lag.count() > 0) {
    told = load_sample{now - faults_.load_lag};
    for (const load_sample& sample : samples_) {
      if (now - sample.at >= faults_.load_lag) told = sample;
    }
  }
  const auto lie = [this](uint64_t number) {
    return static_cast<uint64_t>(static_cast<double>(number) * faults_.load_lie);
  };
  return json{{"slots", settings_.slots},
              {"connections", settings_.connections},
              {"running", lie(told.running)},
              {"waiting", lie(told.waiting)}}
      .dump();
}

std::string target_server::Executions(bool all_ids, instant now) const {
  json ids = json::array();
  for (const auto& [id, entry] : executions_.Ids()) {
    if (!all_ids && entry.count < 2) continue;
    ids.push_back({{"id", id}, {"count", entry.count}, {"idempotent", entry.idempotent}});
  }
  json owners = json::array();
  for (const auto& [owned, span] : executions_.Owners()) {
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
              {"double", executions_.Doubles()},
              {"arrivals", counters_.arrivals},
              {"done", counters_.done},
              {"cancelled", counters_.cancelled},
              {"shed", counters_.shed},
              {"refused_grants", counters_.refused_grants},
              {"over_connections", counters_.over_connections},
              {"past_deadline", counters_.past_deadline},
              {"largest_running", counters_.largest_running},
              {"cold", times_.Cold(now)},
              {"cold_overloads", times_.ColdOverloads()},
              {"largest_while_cold", times_.LargestWhileCold()},
              {"ids", ids},
              {"owners", owners}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

void target_server::SampleLoad(instant now) {
  samples_.push_back({now, running_, waiting_.size()});
  while (now - samples_.front().at > kLongestLag) samples_.pop_front();
  std::erase_if(unanswered_, [](const exchange& caller) { return caller->Finished(); });
}

}  // namespace bulrushway::standin
