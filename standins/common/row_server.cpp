#include "row_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base64.h"

namespace bulrushway::standin {
namespace {

using json = nlohmann::json;

constexpr http_limits kLimits{2 << 20, 16 << 10, std::chrono::seconds{60}};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kHistoryGone = 410;
constexpr int kConditionFailed = 412;
constexpr int kUnavailable = 503;

http_answer JsonAnswer(int status, const json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

}  // namespace

row_server::row_server(event_loop& loop, const socket_address& address)
    : loop_(loop),
      address_(address),
      server_(loop, kLimits, [this](const exchange_pointer& call) { Handle(call); }),
      delayed_(loop) {}

result<void> row_server::Listen() { return server_.Listen(address_); }

double row_server::NowSeconds() const {
  return std::chrono::duration<double>(boot_clock::now().time_since_epoch()).count();
}

void row_server::Put(const std::string& table, const std::string& key, const std::string& value) {
  rows_[{table, key}] = {value, ++version_};
  history_.push_back({{table, key}, version_, false});
  AnswerWaitingFeeds();
}

void row_server::Delete(const std::string& table, const std::string& key) {
  if (rows_.erase({table, key}) == 0) return;
  history_.push_back({{table, key}, ++version_, true});
  AnswerWaitingFeeds();
}

std::optional<std::string> row_server::Get(const std::string& table, const std::string& key) const {
  const auto found = rows_.find({table, key});
  if (found == rows_.end()) return std::nullopt;
  return found->second.value;
}

void row_server::Handle(const exchange_pointer& call) {
  ++calls_;
  if (down_) return call->Reply({kUnavailable, {}, {}});
  const std::string path = PathOf(call->request().target);
  if (path == "/bulrushway/rows-tx") return Commit(call);
  if (path == "/bulrushway/rows-get") return Read(call);
  if (path == "/bulrushway/rows-feed") return Feed(call);
  call->Reply({kNotFound, {}, {}});
}

void row_server::Commit(const exchange_pointer& call) {
  const json body = json::parse(call->request().body, nullptr, false);
  if (!body.is_object()) return call->Reply({kBadRequest, {}, {}});
  const auto name_of = [](const json& id) {
    return row_name{id.at("table").get<std::string>(), id.at("key").get<std::string>()};
  };
  for (const json& expected : body.at("expect")) {
    const auto found = rows_.find(name_of(expected));
    const uint64_t version = found == rows_.end() ? 0 : found->second.version;
    if (version == expected.at("ver").get<uint64_t>()) continue;
    return call->Reply(JsonAnswer(kConditionFailed, {{"rows", json::array()}}));
  }
  ++version_;
  for (const json& write : body.at("writes")) {
    rows_[name_of(write)] = {*DecodeBase64(write.at("value").get<std::string>()), version_};
    history_.push_back({name_of(write), version_, false});
  }
  for (const json& deleted : body.at("deletes")) {
    rows_.erase(name_of(deleted));
    history_.push_back({name_of(deleted), version_, true});
  }
  call->Reply(JsonAnswer(kOk, {{"ver", version_}, {"now_s", NowSeconds()}}));
  AnswerWaitingFeeds();
}

void row_server::Read(const exchange_pointer& call) {
  const std::string table = QueryValue(call->request().target, "table");
  json rows = json::array();
  for (const auto& [name, row] : rows_) {
    if (name.first != table) continue;
    rows.push_back({{"table", table},
                    {"part", ""},
                    {"key", name.second},
                    {"value", EncodeBase64(row.value)},
                    {"ver", row.version}});
  }
  call->Reply(JsonAnswer(
      kOk, {{"rows", rows}, {"has_more", false}, {"ver", version_}, {"now_s", NowSeconds()}}));
}

void row_server::Feed(const exchange_pointer& call) {
  const std::string& target = call->request().target;
  waiting_feed feed{call, QueryValue(target, "table"),
                    std::stoull("0" + QueryValue(target, "after")), ++last_feed_id_};
  if (feed.after < history_start_) return call->Reply({kHistoryGone, {}, {}});
  if (AnswerFeed(feed, false)) return;
  const std::chrono::milliseconds wait(std::stoll("0" + QueryValue(target, "wait_ms")));
  delayed_.CallAt(boot_clock::now() + wait, [this, feed_id = feed.id](instant) {
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [feed_id](const auto& waiting) { return waiting.id == feed_id; });
    if (found == waiting_.end()) return;
    const waiting_feed expired = *found;
    waiting_.erase(found);
    AnswerFeed(expired, true);
  });
  waiting_.push_back(std::move(feed));
}

bool row_server::AnswerFeed(const waiting_feed& feed, bool even_if_empty) {
  json rows = json::array();
  for (const change& each : history_) {
    if (each.version <= feed.after || each.name.first != feed.table) continue;
    json row = {
        {"table", feed.table}, {"part", ""}, {"key", each.name.second}, {"ver", each.version}};
    const auto found = rows_.find(each.name);
    if (each.deleted || found == rows_.end()) {
      row["tombstone"] = true;
    } else {
      row["value"] = EncodeBase64(found->second.value);
    }
    rows.push_back(std::move(row));
  }
  if (rows.empty() && !even_if_empty) return false;
  feed.call->Reply(JsonAnswer(kOk, {{"rows", rows}, {"ver", version_}, {"now_s", NowSeconds()}}));
  return true;
}

void row_server::AnswerWaitingFeeds() {
  std::erase_if(waiting_, [this](const waiting_feed& feed) { return AnswerFeed(feed, false); });
}

}  // namespace bulrushway::standin
