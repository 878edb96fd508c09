#include "configuration_service.h"

#include <algorithm>

namespace bulrushway {
namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
// A process whose last confirmation is older than this asks a peer for a newer one, at this
// interval.
constexpr std::chrono::seconds kFreshnessInterval{5};
constexpr size_t kMaxPendingFreshness = 8;
// A process without a configuration logs the reason after this time.
constexpr std::chrono::seconds kMissingReportDelay{2};

}  // namespace

configuration_service::configuration_service(event_loop& loop, event_log& log,
                                             http_table_service& table, peer_mesh& peers,
                                             const fleet_view& fleet, rules_view& rules,
                                             uint64_t seed)
    : log_(log),
      table_(table),
      peers_(peers),
      fleet_(fleet),
      rules_(rules),
      follower_(fleet.self(), boot_clock::now(), seed),
      tick_(loop, [this](instant now) { Tick(now); }) {}

result<void> configuration_service::Start(instant now) {
  started_ = now;
  tick_.Every(kTickInterval);
  Tick(now);
  return {};
}

void configuration_service::Stop(instant) { tick_.Cancel(); }

void configuration_service::Poke(instant now) {
  follower_.Poke();
  Tick(now);
}

void configuration_service::OnMessage(instant now, session_id from, const peer_message& message) {
  if (const auto* notice = std::get_if<configuration_notice>(&message)) {
    Run(now, follower_.OnHeadReceived(now, notice->head, peers_.AddressOf(from)));
  } else if (const auto* requested = std::get_if<document_request>(&message)) {
    const std::string* bytes = follower_.FindDocument(requested->hash);
    peers_.Reply(from, document_answer{requested->hash, bytes != nullptr, bytes ? *bytes : ""});
  } else if (const auto* document = std::get_if<document_answer>(&message)) {
    if (!document->found) return follower_.OnFetchFailed(now, document->hash);
    Run(now, follower_.OnDocument(now, document->hash, document->bytes, peers_.AddressOf(from)));
  } else if (const auto* freshness_query = std::get_if<freshness_request>(&message)) {
    const auto age = follower_.Staleness(now);
    if (age)
      peers_.Reply(from, freshness_answer{freshness_query->sequence, follower_.Version(), *age});
  } else if (const auto* freshness = std::get_if<freshness_answer>(&message)) {
    const auto sent = pending_freshness_.find(freshness->sequence);
    if (sent == pending_freshness_.end()) return;
    follower_.OnConfirmed(sent->second, freshness->version, freshness->age);
    pending_freshness_.erase(sent);
  }
}

void configuration_service::Tick(instant now) {
  RefreshMembers(now);
  Run(now, follower_.Tick(now, members_));
  if (now >= next_freshness_request_) RequestFreshness(now);
  const bool missing = !rules_.Configured() && now - started_ > kMissingReportDelay;
  if (missing && !std::exchange(missing_reported_, true)) {
    log_.Write(event_id::kConfigurationMissing, {{"why", follower_.WhyNotConfigured()}});
  }
}

void configuration_service::RequestFreshness(instant now) {
  next_freshness_request_ = now + kFreshnessInterval;
  const auto age = follower_.Staleness(now);
  if (age && *age < kFreshnessInterval) return;
  const auto& candidates = members_.local.size() > 1 ? members_.local : members_.remote;
  if (candidates.empty()) return;
  const uint64_t sequence = ++freshness_sequence_;
  const std::string& peer = candidates[sequence % candidates.size()];
  if (peer == fleet_.self()) return;
  if (pending_freshness_.size() >= kMaxPendingFreshness) pending_freshness_.clear();
  pending_freshness_[sequence] = now;
  peers_.SendMessage(peer, freshness_request{sequence});
}

void configuration_service::RefreshMembers(instant now) {
  members_ = {};
  for (const auto& [node, state] : fleet_.nodes()) {
    if (!state.reachable) continue;
    auto& list = state.locality <= node_locality::kDataCentre ? members_.local : members_.remote;
    list.push_back(node);
    follower_.OnVersionSeen(now, state.report.configuration_version);
  }
}

void configuration_service::Run(instant now, const follower_actions& actions) {
  for (const follower_action& action : actions) {
    std::visit([this, now](const auto& typed_action) { Perform(now, typed_action); }, action);
  }
}

void configuration_service::Perform(instant now, const poll_head&) {
  table_.ReadPrefix(std::string(kHeadKey),
                    [this, sent = now](const result<std::vector<table_row>>& rows) {
                      const instant completed = boot_clock::now();
                      if (!rows) return follower_.OnPollFailed(completed);
                      OnHead(completed, sent, *rows);
                    });
}

void configuration_service::OnHead(instant now, instant sent, const std::vector<table_row>& rows) {
  const auto row = std::ranges::find(rows, kHeadKey, &table_row::key);
  if (row == rows.end()) return Run(now, follower_.OnPolled(now, sent, std::nullopt));
  if (const auto head = DecodeHead(row->value, "platform")) polled_version_ = head->version;
  Run(now, follower_.OnPolled(now, sent, row->value));
}

void configuration_service::Perform(instant, const fetch_document& action) {
  if (!action.peer.empty() && peers_.SendMessage(action.peer, document_request{action.hash}))
    return;
  table_.Get(DocumentName(action.hash),
             [this, hash = action.hash](const result<std::string>& bytes) {
               const instant completed = boot_clock::now();
               if (!bytes) return follower_.OnFetchFailed(completed, hash);
               Run(completed, follower_.OnDocument(completed, hash, *bytes, ""));
             });
}

void configuration_service::Perform(instant now, const adopt_configuration& action) {
  rules_.Adopt(action.value, action.head.version);
  log_.Write(event_id::kConfigurationAdopted,
             {{"version", std::to_string(action.head.version)}, {"author", action.head.author}});
  on_adopted_(now);
}

void configuration_service::Perform(instant, const publish_head& action) {
  // Only processes that read the head from the platform send it, each to all peers. Processes that
  // received it from a peer do not forward it.
  if (action.head.version != polled_version_) return;
  const std::string head = Encode(action.head);
  peers_.SendToAll([&head](const node_state&) { return configuration_notice{head}; });
}

void configuration_service::Perform(instant, const report_event& action) {
  event_id id = event_id::kConfigurationRefused;
  if (action.event == follower_event::kStale) id = event_id::kConfigurationStale;
  if (action.event == follower_event::kFreshAgain) id = event_id::kConfigurationFresh;
  log_.Write(id, {{"message", action.message}});
}

}  // namespace bulrushway
