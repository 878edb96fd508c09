#include "platform_server.h"

#include <event2/http.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace bulrushway::standin {
namespace {

using json = nlohmann::json;

constexpr http_limits kLimits{16 << 20, 16 << 10, std::chrono::seconds{60}};

http_answer JsonAnswer(int status, const json& body) {
  return {status,
          {{"Content-Type", "application/json"}},
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http_answer ErrorAnswer(int status, const std::string& sentence) {
  return JsonAnswer(status, {{"error", sentence}});
}

std::optional<transaction> ParseTransaction(const std::string& text) {
  const json parsed = json::parse(text, nullptr, false);
  try {
    transaction txn;
    txn.operation = parsed.at("operation").get<std::string>();
    for (const json& condition : parsed.at("conditions")) {
      txn.conditions.push_back({condition.at("key"), condition.at("version")});
    }
    for (const json& write : parsed.at("writes")) {
      const json& value = write.at("value");
      std::optional<std::string> bytes;
      if (!value.is_null()) bytes = value.get<std::string>();
      txn.writes.push_back({write.at("key"), std::move(bytes)});
    }
    return txn;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string DecodeComponent(const std::string& text) {
  size_t length = 0;
  char* decoded = evhttp_uridecode(text.c_str(), 0, &length);
  std::string copy(decoded, length);
  std::free(decoded);
  return copy;
}

json ToJson(rate_meter& meter, instant now) {
  return {{"total", meter.Total()},
          {"last_second", meter.LastSecond(now)},
          {"largest_second", meter.LargestSecond()},
          {"over_limit", meter.Refused()}};
}

int64_t Milliseconds(instant now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

bool IsWrite(const http_request& request) { return request.method != "GET"; }

}  // namespace

platform_server::platform_server(event_loop& loop, platform_settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      faults_(settings_.faults),
      random_(settings_.seed),
      delayed_(loop),
      outage_timer_(loop, [this](instant) {
        if (faults_.outage == platform_outage::kRefuse) {
          data_.reset();
        } else if (!data_ && !ListenForData()) {
          outage_timer_.Once(std::chrono::milliseconds{100});
        }
      }) {}

result<void> platform_server::Start(instant) {
  if (!settings_.state_file.empty()) {
    std::ifstream file(settings_.state_file);
    std::stringstream text;
    if (file) text << file.rdbuf();
    if (file) {
      auto loaded = store_.Load(text.str());
      if (!loaded) return loaded;
    }
  }
  if (settings_.control) {
    control_ = std::make_unique<http_server>(
        loop_, kLimits, [this](const exchange_pointer& caller) { Handle(caller, true); });
    auto listening = control_->Listen(*settings_.control);
    if (!listening) return listening;
  }
  return ListenForData();
}

void platform_server::Stop(instant) {
  if (settings_.state_file.empty()) return;
  std::ofstream(settings_.state_file) << store_.Save();
}

result<void> platform_server::ListenForData() {
  auto server = std::make_unique<http_server>(
      loop_, kLimits, [this](const exchange_pointer& caller) { Handle(caller, false); });
  auto listening = server->Listen(settings_.listen);
  if (listening) data_ = std::move(server);
  return listening;
}

void platform_server::Handle(const exchange_pointer& caller, bool control) {
  const std::string path = PathOf(caller->request().target);
  if (path == "/faults") return HandleFaults(caller);
  if (path == "/stats") return caller->Reply(Stats(boot_clock::now()));
  if (control) return caller->Reply(ErrorAnswer(404, "This address serves /faults and /stats."));
  HandleData(caller);
}

void platform_server::HandleFaults(const exchange_pointer& caller) {
  const auto changed = ChangeFaults(faults_, caller->request().body);
  if (!changed) return caller->Reply(ErrorAnswer(400, changed.error().message));
  if (changed->outage == platform_outage::kRefuse && !control_) {
    return caller->Reply(ErrorAnswer(400, "The outage \"refuse\" needs the flag --control."));
  }
  faults_ = *changed;
  caller->Reply(JsonAnswer(200, json::object()));
  // Deferred to the event loop, because a server must not be closed from within its own handler.
  outage_timer_.Once(std::chrono::nanoseconds{0});
}

void platform_server::HandleData(const exchange_pointer& caller) {
  const instant now = boot_clock::now();
  const auto drop = [caller](instant) { caller->Drop(); };
  if (faults_.outage == platform_outage::kUnavailable) {
    ++outage_requests_;
    return caller->Reply(ErrorAnswer(503, "The platform is unavailable."));
  }
  if (faults_.outage != platform_outage::kNone) {
    ++outage_requests_;
    return delayed_.CallAt(now, drop);
  }
  const bool write = IsWrite(caller->request());
  const bool within_limit = write ? writes_.TryCount(faults_.max_writes_per_second, now)  //
                                  : reads_.TryCount(faults_.max_reads_per_second, now);
  if (!within_limit)
    return caller->Reply(ErrorAnswer(429, "The rate limit of the platform is exceeded."));
  const http_answer answer = Serve(caller->request(), now);
  if (write && ShouldLoseAnswer(faults_, random_)) {
    ++lost_answers_;
    return delayed_.CallAt(now + faults_.answer_delay, drop);
  }
  if (faults_.answer_delay.count() == 0) return caller->Reply(answer);
  delayed_.CallAt(now + faults_.answer_delay, [caller, answer](instant) { caller->Reply(answer); });
}

http_answer platform_server::Serve(const http_request& request, instant now) {
  const std::string path = PathOf(request.target);
  if (path == "/table/txn" && request.method == "POST") return ServeTransaction(request, now);
  if (path == "/table/rows" && request.method == "GET") return ServeRows(request, now);
  if (path.starts_with("/objects/")) return ServeObject(request);
  return ErrorAnswer(404, "The path \"" + path + "\" is not served.");
}

http_answer platform_server::ServeTransaction(const http_request& request, instant now) {
  const auto txn = ParseTransaction(request.body);
  if (!txn) return ErrorAnswer(400, "The body is not a transaction.");
  const commit_outcome conflict = store_.Commit(*txn, now);
  if (!conflict) {
    json versions = json::array();
    for (const table_write& write : txn->writes) versions.push_back(store_.VersionOf(write.key));
    return JsonAnswer(200, {{"versions", versions}, {"now_ms", Milliseconds(now)}});
  }
  conflicts_.TryCount(0, now);
  return JsonAnswer(409, {{"key", conflict->key}, {"version", conflict->version}});
}

http_answer platform_server::ServeRows(const http_request& request, instant now) const {
  json rows = json::array();
  for (const table_row& row : store_.Rows(QueryValue(request.target, "prefix"))) {
    rows.push_back({{"key", row.key}, {"value", row.value}, {"version", row.version}});
  }
  return JsonAnswer(200, {{"rows", rows}, {"now_ms", Milliseconds(now)}});
}

http_answer platform_server::ServeObject(const http_request& request) {
  const std::string name =
      DecodeComponent(PathOf(request.target).substr(std::string("/objects/").size()));
  if (request.method == "PUT") {
    if (store_.Put(name, request.body)) return JsonAnswer(200, json::object());
    return ErrorAnswer(409, "The object \"" + name + "\" exists with other bytes.");
  }
  const std::string* bytes = store_.Get(name);
  if (bytes == nullptr) return ErrorAnswer(404, "There is no object \"" + name + "\".");
  return {200, {{"Content-Type", "application/octet-stream"}}, *bytes};
}

http_answer platform_server::Stats(instant now) {
  return JsonAnswer(200, {{"reads", ToJson(reads_, now)},
                          {"writes", ToJson(writes_, now)},
                          {"conflicts", ToJson(conflicts_, now)},
                          {"lost_answers", lost_answers_},
                          {"unavailable", outage_requests_}});
}

}  // namespace bulrushway::standin
