#include "sealing_target.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "parse_number.h"

namespace bulrushway::standin {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr http_limits kLimits{128 << 20, 16 << 10, std::chrono::seconds{10}};
constexpr milliseconds kHeartbeatTimeout{1000};
// How long after its arrival a grant without an answer is carried out.
constexpr milliseconds kLateGrantDelay{1500};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

}  // namespace

sealing_target::sealing_target(event_loop& loop, const sealing_target_settings& settings)
    : loop_(loop),
      settings_(settings),
      server_(loop, kLimits, [this](const exchange_pointer& call) { Handle(call); }),
      client_(loop, http_client_settings{.max_connections = 1}),
      delayed_(loop),
      heartbeat_timer_(loop, [this](instant) { SendHeartbeat(); }),
      started_ms_(WallClockMs()) {
  heartbeat_timer_.Every(settings_.heartbeat_interval);
}

result<void> sealing_target::Listen() { return server_.Listen(settings_.address); }

bool sealing_target::Holds(uint32_t key) const {
  const instant now = boot_clock::now();
  return std::any_of(grants_.begin(), grants_.end(), [&](const key_grant& grant) {
    return now < grant.expires_at && grant.keys.Contains(key);
  });
}

void sealing_target::Handle(const exchange_pointer& call) {
  const http_request& request = call->request();
  if (settings_.granted_by_calls && request.target == "/bulrushway/grant") return HandleGrant(call);
  if (settings_.granted_by_calls && request.target == "/bulrushway/release") {
    return HandleRelease(call);
  }
  const std::string id = FindHeader(request.headers, "X-Bulrushway-Request-Id");
  const header_list common_headers = {{"X-Bulrushway-Request-Id", id},
                                      {"X-Bulrushway-Instance-Id", settings_.id}};
  const auto refuse = [&](int status) {
    header_list headers = common_headers;
    headers.emplace_back("X-Bulrushway-Not-Executed", "1");
    call->Reply({status, headers, {}});
  };
  const std::string key = FindHeader(request.headers, "X-Bulrushway-Shard-Key");
  const bool other_instance =
      FindHeader(request.headers, "X-Bulrushway-Target-Instance") != settings_.id;
  const bool not_held =
      settings_.keyed && (key.empty() || !Holds(static_cast<uint32_t>(std::stoul(key))));
  if (other_instance || not_held) {
    ++misdirected_;
    return refuse(kMisdirected);
  }
  if (running_ >= settings_.slots) return refuse(kUnavailable);
  ++running_;
  ++runs_[id];
  const instant started_at = boot_clock::now();
  executions_.push_back({id, request.headers, started_at, running_});
  // Size of the answer that the caller asks for.
  const size_t bytes = ParseNumber<size_t>(QueryValue(request.target, "bytes")).value_or(0);
  const auto answer = [this, call, common_headers, bytes](instant) {
    --running_;
    header_list headers = common_headers;
    headers.emplace_back("X-Bulrushway-Server-Seal", "seal-of-" + settings_.id);
    headers.emplace_back("X-Bulrushway-Load",
                         std::to_string(running_) + ",0," + std::to_string(settings_.slots));
    call->Reply({kOk, headers, bytes > 0 ? std::string(bytes, 'a') : "work of " + settings_.id});
  };
  // A request may ask for a work time of its own.
  const auto work_ms = ParseNumber<uint32_t>(QueryValue(request.target, "work_ms"));
  delayed_.CallAt(started_at + (work_ms ? milliseconds(*work_ms) : settings_.work_time), answer);
}

void sealing_target::DropKeys(const key_range& keys) {
  std::vector<key_grant> kept;
  for (const key_grant& grant : grants_) {
    if (!grant.keys.Overlaps(keys)) {
      kept.push_back(grant);
      continue;
    }
    if (grant.keys.first < keys.first) {
      kept.push_back(grant);
      kept.back().keys.last = keys.first - 1;
    }
    if (grant.keys.last > keys.last) {
      kept.push_back(grant);
      kept.back().keys.first = keys.last + 1;
    }
  }
  grants_ = std::move(kept);
}

void sealing_target::HandleGrant(const exchange_pointer& call) {
  const json body = json::parse(call->request().body, nullptr, false);
  if (!body.is_object() || !body.contains("hold_s")) return call->Reply({kBadRequest, {}, {}});
  // "target" names the last key.
  const key_range keys{body.at("from").get<uint32_t>(), body.at("target").get<uint32_t>()};
  const auto fence = body.at("fence").get<uint64_t>();
  const bool outdated =
      std::any_of(seen_fences_.begin(), seen_fences_.end(), [&keys, fence](const held_range& seen) {
        return seen.keys.Overlaps(keys) && seen.fence > fence;
      });
  if (outdated) return call->Reply({kConflict, {}, {}});
  const instant arrived = boot_clock::now();
  const auto hold = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(body.at("hold_s").get<double>()));
  const auto apply = [this, keys, fence, expires = arrived + hold](instant now) {
    if (now >= expires) return;
    seen_fences_.push_back({keys, fence});
    DropKeys(keys);
    grants_.push_back({keys, fence, expires});
  };
  ++grants_received_;
  const bool late =
      settings_.late_grant_every > 0 && grants_received_ % settings_.late_grant_every == 0;
  if (!late) {
    apply(arrived);
    return call->Reply({kOk, {}, {}});
  }
  // Keeps the exchange, so that its connection stays open without an answer.
  delayed_.CallAt(arrived + kLateGrantDelay, [call, apply](instant now) { apply(now); });
}

void sealing_target::HandleRelease(const exchange_pointer& call) {
  const json body = json::parse(call->request().body, nullptr, false);
  if (!body.is_object() || !body.contains("from")) return call->Reply({kBadRequest, {}, {}});
  DropKeys({body.at("from").get<uint32_t>(), body.at("target").get<uint32_t>()});
  // The work that runs ends within the work time.
  delayed_.CallAt(boot_clock::now() + settings_.work_time, [call](instant) {
    call->Reply({kOk, {{"X-Bulrushway-Handover", "handover"}}, {}});
  });
}

void sealing_target::SendHeartbeat() {
  json body = {{"service", settings_.service},
               {"address", ToString(settings_.announced_address.value_or(settings_.address))},
               {"zone", "a"},
               {"version", "v1"},
               {"slots", settings_.slots},
               {"state", draining_ ? "draining" : "ready"},
               {"cold_left_s", 0},
               {"seq", ++sequence_},
               {"born", started_ms_}};
  if (!settings_.granted_by_calls) {
    body["holds"] = json::array();
    body["freed"] = json::array();
  }
  const instant now = boot_clock::now();
  std::erase_if(grants_, [now](const key_grant& grant) { return now >= grant.expires_at; });
  for (const key_grant& grant : grants_) {
    if (settings_.granted_by_calls) break;
    body["holds"].push_back({grant.keys.first, grant.keys.last, grant.fence});
  }
  for (const released_range& range : released_) {
    body["freed"].push_back({range.keys.first, range.keys.last, range.handover});
  }
  http_request request;
  request.method = "PUT";
  request.target = "/bulrushway/instances/" + settings_.id;
  request.headers = {{"Host", "control"}, {"Content-Type", "application/json"}};
  request.body = body.dump();
  const bool reported_draining = draining_;
  client_.Send(settings_.control, std::move(request), kHeartbeatTimeout,
               [this, now, reported_draining](tl::expected<http_answer, http_failure> answer) {
                 if (!answer || answer->status != kOk) return;
                 if (reported_draining) drain_acknowledged_ = true;
                 released_.clear();
                 ApplyGrants(now, answer->body);
               });
}

void sealing_target::ApplyGrants(instant sent, const std::string& text) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("holds")) return;
  const auto hold_time = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(body.at("hold_s").get<double>()));
  std::vector<key_grant> granted;
  for (const json& row : body["holds"]) {
    granted.push_back({{row[0].get<uint32_t>(), row[1].get<uint32_t>()},
                       row[2].get<uint64_t>(),
                       sent + hold_time});
  }
  for (const key_grant& previous : grants_) {
    const bool still_granted = std::any_of(
        granted.begin(), granted.end(),
        [&previous](const key_grant& grant) { return grant.keys.Overlaps(previous.keys); });
    if (!still_granted) released_.push_back({previous.keys, "handover"});
  }
  grants_ = std::move(granted);
}

}  // namespace bulrushway::standin
