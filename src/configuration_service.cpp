#include "configuration_service.h"

#include <algorithm>

namespace bulrushway {
namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
// A process that has not heard from the platform itself asks a peer this often.
constexpr std::chrono::seconds kFreshnessInterval{5};
constexpr size_t kMostFreshnessAsked = 8;
// A process without a configuration says so after this time.
constexpr std::chrono::seconds kMissingAfter{2};

}  // namespace

configuration_service::configuration_service(event_loop& loop, event_log& log,
                                             http_table_service& table, forwarder& peers,
                                             peer_transport& transport, membership& members,
                                             rules_view& rules, uint64_t seed)
    : log_(log),
      table_(table),
      peers_(peers),
      transport_(transport),
      members_(members),
      rules_(rules),
      follower_(members.Self().node, boot_clock::now(), seed),
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

void configuration_service::OnItem(instant now, const gossip_item& item) {
  if (item.kind != static_cast<uint8_t>(gossip_kind::kConfigurationHead)) return;
  Run(now, follower_.OnHeadTold(now, item.payload, "gossip"));
}

void configuration_service::OnMessage(instant now, connection_id from,
                                      const peer_message& message) {
  if (const auto* wanted = std::get_if<document_request>(&message)) {
    const std::string* bytes = follower_.FindDocument(wanted->hash);
    transport_.Send(from, document_answer{wanted->hash, bytes != nullptr, bytes ? *bytes : ""});
  } else if (const auto* document = std::get_if<document_answer>(&message)) {
    if (!document->found) return follower_.OnFetchFailed(now, document->hash);
    Run(now,
        follower_.OnDocument(now, document->hash, document->bytes, transport_.PeerAddress(from)));
  } else if (const auto* asked = std::get_if<freshness_request>(&message)) {
    const auto age = follower_.Staleness(now);
    if (age) transport_.Send(from, freshness_answer{asked->sequence, follower_.Version(), *age});
  } else if (const auto* fresh = std::get_if<freshness_answer>(&message)) {
    const auto sent = freshness_asked_.find(fresh->sequence);
    if (sent == freshness_asked_.end()) return;
    follower_.OnConfirmed(sent->second, fresh->version, fresh->age);
    freshness_asked_.erase(sent);
  }
}

void configuration_service::Tick(instant now) {
  RefreshMembers(now);
  Run(now, follower_.Tick(now, known_));
  if (now >= next_freshness_) AskFreshness(now);
  const bool missing = !rules_.Configured() && now - started_ > kMissingAfter;
  if (missing && !std::exchange(missing_told_, true)) {
    log_.Write(event_id::kConfigurationMissing, {{"why", follower_.WhyNone()}});
  }
}

void configuration_service::AskFreshness(instant now) {
  next_freshness_ = now + kFreshnessInterval;
  const auto age = follower_.Staleness(now);
  if (age && *age < kFreshnessInterval) return;
  const auto& near = known_.near.size() > 1 ? known_.near : known_.far;
  if (near.empty()) return;
  const uint64_t sequence = ++freshness_sequence_;
  const announcement* peer = members_.Known().Find(near[sequence % near.size()]);
  if (peer == nullptr || peer->node == members_.Self().node) return;
  if (freshness_asked_.size() >= kMostFreshnessAsked) freshness_asked_.clear();
  freshness_asked_[sequence] = now;
  peers_.SendMessage(now, peer->peer, freshness_request{sequence});
}

void configuration_service::RefreshMembers(instant now) {
  const directory& directory = members_.Known();
  if (seen_revision_ == directory.Revision()) return;
  seen_revision_ = directory.Revision();
  known_ = {};
  const std::string& here = members_.Self().data_centre;
  for (const announcement* member : directory.Live()) {
    auto& list = member->data_centre == here ? known_.near : known_.far;
    list.push_back(member->node);
    follower_.OnVersionSeen(now, member->configuration_version);
  }
}

void configuration_service::Run(instant now, const follower_actions& actions) {
  for (const follower_action& action : actions) {
    std::visit([this, now](const auto& wanted) { Perform(now, wanted); }, action);
  }
}

void configuration_service::Perform(instant now, const poll_head&) {
  table_.ReadPrefix(std::string(kHeadKey),
                    [this, sent = now](const result<std::vector<table_row>>& rows) {
                      const instant then = boot_clock::now();
                      if (!rows) return follower_.OnPollFailed(then);
                      const auto head = std::ranges::find(*rows, kHeadKey, &table_row::key);
                      std::optional<std::string> bytes;
                      if (head != rows->end()) bytes = head->value;
                      Run(then, follower_.OnPolled(then, sent, bytes));
                    });
}

void configuration_service::Perform(instant now, const fetch_document& action) {
  const announcement* peer = action.peer.empty() ? nullptr : members_.Known().Find(action.peer);
  if (peer != nullptr) {
    return peers_.SendMessage(now, peer->peer, document_request{action.hash});
  }
  table_.Get(DocumentName(action.hash),
             [this, hash = action.hash](const result<std::string>& bytes) {
               const instant then = boot_clock::now();
               if (!bytes) return follower_.OnFetchFailed(then, hash);
               Run(then, follower_.OnDocument(then, hash, *bytes, ""));
             });
}

void configuration_service::Perform(instant now, const adopt_configuration& action) {
  rules_.Adopt(action.value, action.head.version);
  log_.Write(event_id::kConfigurationAdopted,
             {{"version", std::to_string(action.head.version)}, {"author", action.head.author}});
  adopted_(now);
}

void configuration_service::Perform(instant now, const publish_head& action) {
  members_.Publish(now, {static_cast<uint8_t>(gossip_kind::kConfigurationHead), "head",
                         action.head.version, Encode(action.head)});
}

void configuration_service::Perform(instant, const report_event& action) {
  event_id id = event_id::kConfigurationRefused;
  if (action.event == follower_event::kStale) id = event_id::kConfigurationStale;
  if (action.event == follower_event::kFreshAgain) id = event_id::kConfigurationFresh;
  log_.Write(id, {{"message", action.message}});
}

}  // namespace bulrushway
