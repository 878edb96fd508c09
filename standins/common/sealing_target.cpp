#include "sealing_target.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace bulrushway::standin {
namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr http_limits kLimits{2 << 20, 16 << 10, std::chrono::seconds{10}};
constexpr milliseconds kBeatTimeout{1000};
constexpr int kOk = 200;
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
      server_(loop, kLimits, [this](const exchange& call) { Handle(call); }),
      client_(loop, http_client_settings{.max_connections = 1}),
      later_(loop),
      beat_(loop, [this](instant) { Beat(); }),
      born_(WallClockMs()) {
  beat_.Every(settings_.heartbeat);
}

result<void> sealing_target::Listen() { return server_.Listen(settings_.address); }

bool sealing_target::Holds(uint32_t key) const {
  const instant now = boot_clock::now();
  return std::any_of(holds_.begin(), holds_.end(),
                     [&](const held& one) { return now < one.until && one.keys.Contains(key); });
}

void sealing_target::Handle(const exchange& call) {
  const http_request& request = call->request();
  const std::string id = FindHeader(request.headers, "X-Bulrushway-Request-Id");
  const header_list own = {{"X-Bulrushway-Request-Id", id},
                           {"X-Bulrushway-Instance-Id", settings_.id}};
  const auto refuse = [&](int status) {
    header_list headers = own;
    headers.emplace_back("X-Bulrushway-Not-Executed", "1");
    call->Reply({status, headers, {}});
  };
  const std::string key = FindHeader(request.headers, "X-Bulrushway-Shard-Key");
  const bool other = FindHeader(request.headers, "X-Bulrushway-Target-Instance") != settings_.id;
  const bool not_held =
      settings_.keyed && (key.empty() || !Holds(static_cast<uint32_t>(std::stoul(key))));
  if (other || not_held) {
    ++misdirected_;
    return refuse(kMisdirected);
  }
  if (running_ >= settings_.slots) return refuse(kUnavailable);
  ++running_;
  ++runs_[id];
  later_.CallAt(boot_clock::now() + settings_.work, [this, call, own](instant) {
    --running_;
    header_list headers = own;
    headers.emplace_back("X-Bulrushway-Server-Seal", "seal-of-" + settings_.id);
    headers.emplace_back("X-Bulrushway-Load",
                         std::to_string(running_) + ",0," + std::to_string(settings_.slots));
    call->Reply({kOk, headers, "work of " + settings_.id});
  });
}

void sealing_target::Beat() {
  json body = {{"service", settings_.service},
               {"address", ToString(settings_.address)},
               {"zone", "a"},
               {"version", "v1"},
               {"slots", settings_.slots},
               {"state", draining_ ? "draining" : "ready"},
               {"cold_left_s", 0},
               {"seq", ++sequence_},
               {"born", born_},
               {"holds", json::array()},
               {"freed", json::array()}};
  const instant now = boot_clock::now();
  std::erase_if(holds_, [now](const held& one) { return now >= one.until; });
  for (const held& one : holds_) {
    body["holds"].push_back({one.keys.first, one.keys.last, one.fence});
  }
  for (const released_range& one : released_) {
    body["freed"].push_back({one.keys.first, one.keys.last, one.handover});
  }
  http_request request;
  request.method = "PUT";
  request.target = "/bulrushway/instances/" + settings_.id;
  request.headers = {{"Host", "control"}, {"Content-Type", "application/json"}};
  request.body = body.dump();
  const bool said_draining = draining_;
  client_.Send(settings_.control, std::move(request), kBeatTimeout,
               [this, now, said_draining](tl::expected<http_answer, http_failure> answer) {
                 if (!answer || answer->status != kOk) return;
                 if (said_draining) drain_acknowledged_ = true;
                 released_.clear();
                 TakeGrant(now, answer->body);
               });
}

void sealing_target::TakeGrant(instant sent, const std::string& text) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("holds")) return;
  const auto hold = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(body.at("hold_s").get<double>()));
  std::vector<held> taken;
  for (const json& row : body["holds"]) {
    taken.push_back(
        {{row[0].get<uint32_t>(), row[1].get<uint32_t>()}, row[2].get<uint64_t>(), sent + hold});
  }
  for (const held& before : holds_) {
    const bool kept = std::any_of(taken.begin(), taken.end(), [&before](const held& one) {
      return one.keys.Overlaps(before.keys);
    });
    if (!kept) released_.push_back({before.keys, "handover"});
  }
  holds_ = std::move(taken);
}

}  // namespace bulrushway::standin
