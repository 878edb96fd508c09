// Handling of requests and reports of peers, and the callbacks that connect the parts of a node.

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "home_regions.h"
#include "node.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Requests are refused this long before the process is killed, so that these last answers still
// reach their callers.
constexpr milliseconds kLastAnswerTime{600};
// A neighbour is not relied on for changes of the store's tables after this many reports of it are
// missing, or after this time.
constexpr int kMissedReports = 3;
constexpr milliseconds kMinReportAge{1500};
// Larger changes of a table are read from the store by each process: passed on, they would fill the
// link of one machine.
constexpr size_t kMaxRelayedBytes = 16 << 10;
// Changes that have not arrived this long after a peer reported them are read from the store.
constexpr milliseconds kRelayDelay{300};
// The same for a process that follows the store itself: its next watch may have to wait for the
// pause between changes.
constexpr milliseconds kFeedDelay{1500};

}  // namespace

std::string node::OtherOwner(uint32_t key) const {
  const range_service* keys = OwnKeys();
  const owned_range* range = keys == nullptr ? nullptr : keys->controller().map().Find(key);
  if (range == nullptr || range->owner.node == settings_.name) return {};
  return range->owner.node;
}

target_gate_ports node::GatePorts(node& self) {
  return {[&self] { return self.OwnServiceKeyed(); },
          [&self](instant now, uint32_t key) {
            const range_service* keys = self.OwnKeys();
            return keys != nullptr && keys->Holds(now, key);
          },
          [&self](instant now, uint32_t key) {
            if (range_service* keys = self.OwnKeys()) keys->OnRequest(now, key);
          },
          [&self](instant now, uint32_t key) {
            if (range_service* keys = self.OwnKeys()) keys->OnNotHeld(now, key);
          },
          [&self](instant now, uint32_t key) { return self.WhyNotHeld(now, key); },
          [&self](uint32_t key) { return self.OtherOwner(key); },
          [&self](instant) { return self.DataCentreOut(); },
          [&self](instant now) { return self.MayServeKeys(now); },
          [&self](instant now) { self.BroadcastSuspects(now); },
          [&self] { return self.pacer_.UnsentBytes(); },
          self.ports_.parse_load,
          [&self] { return self.LatestAnswer(); }};
}

instant node::LatestAnswer() const {
  if (!stopping_since_) return instant::max();
  return *stopping_since_ + settings_.stop_limit - kLastAnswerTime;
}

peer_mesh_events node::MeshEvents(node& self) {
  return {
      [&self](instant now, session_id from, dispatch_request request) {
        self.OnPeerRequest(now, from, std::move(request));
      },
      [&self](instant now, session_id from, uint64_t id) { self.OnPeerCancelled(now, from, id); },
      [&self](instant now, session_id from) { self.OnPeerGone(now, from); },
      [&self](instant now, const node_report& report) { self.OnPeerReport(now, report); },
      [&self](instant now) { return self.OwnReport(now); },
      [&self](instant now, const poison_notice& notice) {
        for (const poison_entry& entry : notice.entries) self.gate_.poison().Merge(entry, now);
      },
      [&self](instant now, session_id from, const peer_message& message) {
        if (const auto* change = std::get_if<key_map_change>(&message)) {
          if (change->pass_on) self.SendKeyMapChange(*change, false);
          return self.members_.OnKeyMapChange(now, *change);
        }
        if (const auto* changes = std::get_if<table_changes_notice>(&message)) {
          return self.OnTableChanges(now, self.mesh_.NodeOf(from), *changes);
        }
        if (const auto* wanted = std::get_if<configuration_row_request>(&message)) {
          return self.OnConfigurationRequest(now, from, *wanted);
        }
        if (const auto* row = std::get_if<configuration_row_answer>(&message)) {
          return self.OnConfigurationAnswer(now, *row);
        }
        if (const auto* wanted = std::get_if<quota_request>(&message)) {
          return self.mesh_.Reply(from, self.quotas_.OnRequest(now, *wanted));
        }
        if (const auto* tokens = std::get_if<quota_answer>(&message)) {
          return self.quotas_.OnAnswer(now, *tokens);
        }
        if (const auto* body = std::get_if<request_body>(&message)) {
          return self.OnPeerBody(now, from, *body);
        }
        self.log_.Write("message_ignored", {{"from", self.mesh_.AddressOf(from)},
                                            {"type", std::to_string(message.index())}});
      }};
}

membership_events node::MemberEvents(node& self) {
  return {[&self](instant now) { self.mesh_.FollowMembers(now); },
          [&self](instant now) { self.router_.OnOwnersChanged(now); },
          [&self](instant, const key_map_change& change) { self.SendKeyMapChange(change, true); }};
}

request_router_ports node::RouterPorts(node& self) {
  return {[&self] { return self.table_; },
          [&self](const std::string& service, uint32_t key) {
            return self.members_.OwnerOf(service, key);
          },
          [&self](instant now) { return self.TimeUntilRestart(now); },
          [&self] { return self.LatestAnswer(); },
          [&self] { return self.settings_.drain_limit; },
          [&self] {
            return configuration_origin{self.table_source_, self.table_adopted_,
                                        self.newest_peer_version_};
          },
          [&self](instant now) {
            return CertaintyOf(
                now, {self.table_ ? self.table_->version() : 0, self.newest_peer_version_,
                      self.contact_.era().era(), self.started_, self.ConfigurationConfirmed(now)});
          },
          [&self](instant now) { return self.MayAcceptKeys(now); },
          [&self](instant now, const std::string& workspace, quota_service::answer done) {
            self.quotas_.Acquire(now, workspace, std::move(done));
          },
          [&self](instant now, const std::string& workspace, const quota_token& token) {
            self.quotas_.Return(now, workspace, token);
          }};
}

std::string node::QuotaIssuer(uint32_t key) const {
  if (!table_) return {};
  const std::string keyed = table_->KeyedService();
  if (!keyed.empty()) return members_.OwnerOf(keyed, key);
  // Without leases of keys, the rows of members are what all processes agree on.
  const auto score = [key](const auto& entry) {
    return XXH3_64bits_withSeed(entry.first.data(), entry.first.size(), key);
  };
  const auto& nodes = fleet_.nodes();
  const auto chosen =
      std::max_element(nodes.begin(), nodes.end(),
                       [&score](const auto& a, const auto& b) { return score(a) < score(b); });
  return chosen == nodes.end() ? std::string{} : chosen->first;
}

bool node::MayIssueQuota(instant now) const {
  if (!OwnServiceKeyed() || members_.Leased(now)) return true;
  // Another process may have taken the keys over, unless the store answers nobody.
  bool reaches_others = false;
  for (const auto& [name, peer] : fleet_.nodes()) {
    if (peer.locality == node_locality::kSelf || !peer.reachable) continue;
    if (peer.report.leased) return false;
    reaches_others = true;
  }
  return reaches_others;
}

quota_service_ports node::QuotaPorts(node& self) {
  return {[&self] { return self.table_; }, [&self](uint32_t key) { return self.QuotaIssuer(key); },
          [&self](instant now) { return self.MayIssueQuota(now); },
          [&self](const std::string& name) -> std::optional<std::chrono::nanoseconds> {
            const node_state* peer = self.fleet_.Find(name);
            if (peer == nullptr || !peer->reachable) return std::nullopt;
            return peer->round_trip;
          },
          [&self](const std::string& name, const peer_message& message) {
            return self.mesh_.SendMessage(name, message);
          }};
}

void node::OnPeerRequest(instant now, session_id from, dispatch_request request) {
  const uint64_t id = request.id;
  const peer_request_key key{from, id};
  if (!request.relay_to.empty()) return Relay(now, key, std::move(request));
  const target_gate::ticket ticket = gate_.Handle(
      now, std::move(request),
      [this, key](instant answered, const dispatch_answer& answer) {
        peer_requests_.Remove(key);
        mesh_.Answer(answered, key.first, answer);
      },
      [this, key] { mesh_.Reply(key.first, body_permit{key.second}); });
  if (gate_.Contains(ticket)) peer_requests_.Add(key, ticket);
}

void node::OnPeerBody(instant now, session_id from, const request_body& body) {
  // Otherwise the request was cancelled or refused meanwhile.
  if (const auto ticket = peer_requests_.Find({from, body.id})) {
    gate_.OnBody(now, *ticket, body.bytes);
  }
}

void node::Relay(instant now, const peer_request_key& key, dispatch_request request) {
  const std::string to = std::exchange(request.relay_to, {});
  const std::string request_id = request.request_id;
  const bool large = request.large_answer;
  const node_state* peer = fleet_.Find(to);
  const bool at_home = AllowsRegion(request.home_regions, settings_.region) &&
                       (peer == nullptr || AllowsRegion(request.home_regions, peer->member.region));
  peer_mesh::ticket ticket = 0;
  if (at_home && peer != nullptr && peer->reachable) {
    ticket = mesh_.Send(now, to, std::move(request), large,
                        [this, key](instant answered, dispatch_answer answer) {
                          relayed_.Remove(key);
                          answer.id = key.second;
                          mesh_.Answer(answered, key.first, answer);
                        });
  }
  if (ticket != 0) {
    relayed_.Add(key, ticket);
    return;
  }
  log_.Write("relay_refused",
             {{"request", request_id},
              {"to", to},
              {"home", at_home ? "yes" : "no"},
              {"reachable", peer == nullptr ? "unknown" : (peer->reachable ? "yes" : "no")}});
  dispatch_answer refused;
  refused.id = key.second;
  refused.reason = at_home ? refusal_reason::kOwnerUnreachable : refusal_reason::kHomeRegion;
  mesh_.Answer(now, key.first, refused);
}

void node::OnPeerCancelled(instant now, session_id from, uint64_t id) {
  if (const auto relayed = relayed_.Take({from, id})) return mesh_.Cancel(*relayed);
  if (const auto ticket = peer_requests_.Take({from, id})) gate_.Cancel(now, *ticket);
}

void node::OnPeerGone(instant now, session_id from) {
  for (const target_gate::ticket ticket : peer_requests_.TakeAll(from)) gate_.Cancel(now, ticket);
  for (const peer_mesh::ticket ticket : relayed_.TakeAll(from)) mesh_.Cancel(ticket);
}

void node::OnPeerReport(instant now, const node_report& report) {
  fleet_.OnReport(now, report);
  // A peer with a newer configuration has read it from the store; a peer that is unknown here has
  // registered there. Unless a feed is stuck, both updates are about to arrive.
  newest_peer_version_ = std::max(newest_peer_version_, report.configuration_version);
  const size_t tables = std::min(newest_peer_changes_.size(), report.table_changes.size());
  for (size_t i = 0; i < tables; ++i) {
    newest_peer_changes_[i] = std::max(newest_peer_changes_[i], report.table_changes[i]);
  }
  search_.OnReport(report, table_ ? table_->version() : 0);
  contact_.OnPeerEra(now, report.store_era, report.store_era_age);
  if (fleet_.Find(report.node) != nullptr) return;
  unknown_peer_ = report.node;
  if (!unknown_peer_since_) unknown_peer_since_ = now;
}

void node::UpdateRelay(instant now) {
  if (contact_.Answered() > handled_answer_) {
    handled_answer_ = contact_.Answered();
    for (table_follower* followed : FollowedTables()) followed->OnStoreAnswered(now);
  }
  const milliseconds report_interval =
      ReportInterval(node_locality::kDataCentre, fleet_.nodes().size());
  const node_state* follower =
      ChooseFollower(now, fleet_, std::max(kMinReportAge, kMissedReports * report_interval));
  neighbour_follows_ = follower != nullptr;
  // One table shows whether the store answers; the others are asked for after it.
  operator_rows_.SetRelayed(neighbour_follows_);
  const bool wait = neighbour_follows_ || !operator_rows_.Current(now);
  for (table_follower* followed : FollowedTables()) {
    if (followed != &operator_rows_) followed->SetRelayed(wait);
  }
  const bool follows = !neighbour_follows_ && !stopping_since_ && TablesCurrent(now);
  if (follows != follows_store_) {
    follows_store_ = follows;
    log_.Write(follows ? "follows_store" : "follows_store_no_more",
               {{"tables", TablesCurrent(now) ? "current" : "unconfirmed"},
                {"follower", follower == nullptr ? "-" : follower->member.node}},
               log_priority::kNotable);
    mesh_.ReportNow(now);
  }
  std::vector<uint64_t> own;
  for (const table_follower* followed : FollowedTables()) own.push_back(followed->KnownVersion());
  const std::vector<uint64_t> reported(newest_peer_changes_.begin(), newest_peer_changes_.end());
  const milliseconds delay = neighbour_follows_ ? kRelayDelay : kFeedDelay;
  for (const size_t table : relay_gap_.Overdue(now, reported, own, delay)) {
    table_follower& behind = *FollowedTables()[table];
    log_.Write("table_behind_peers",
               {{"table", behind.table()},
                {"version", std::to_string(own[table])},
                {"newest_reported", std::to_string(reported[table])}},
               log_priority::kNotable);
    behind.Refresh(now);
  }
}

bool node::TablesCurrent(instant now) {
  return std::ranges::all_of(FollowedTables(),
                             [now](const table_follower* table) { return table->Current(now); });
}

void node::UpdateTableMetrics(instant now) {
  for (const table_follower* followed : FollowedTables()) {
    const auto age = followed->Age(now);
    if (!age) continue;
    metrics_.Gauge("bulrushway_table_age_seconds", {{"table", followed->table()}}) =
        std::chrono::duration<double>(*age).count();
  }
}

void node::PassOn(const std::string& table, uint64_t after, uint64_t version,
                  const std::vector<stored_row>& rows) {
  if (!follows_store_) return;
  table_changes_notice notice{table, after, version, rows};
  size_t bytes = 0;
  for (const stored_row& row : rows) bytes += row.value.size();
  if (bytes > kMaxRelayedBytes) notice.rows.clear();
  for (const auto& [name, peer] : fleet_.nodes()) {
    // One that this does not reach compares its versions with those of the next report.
    if (peer.locality == node_locality::kDataCentre) mesh_.SendMessage(name, notice);
  }
}

void node::SendKeyMapChange(key_map_change change, bool to_other_data_centres) {
  std::map<std::string, std::string> receivers;
  change.pass_on = false;
  // A peer that the message does not reach learns of the change from the store.
  for (const auto& [name, peer] : fleet_.nodes()) {
    if (peer.locality == node_locality::kDataCentre) mesh_.SendMessage(name, change);
    const bool other =
        peer.locality == node_locality::kRegion || peer.locality == node_locality::kRemote;
    if (!other || !peer.reachable || !peer.reported) continue;
    std::string& receiver = receivers[peer.member.data_centre];
    if (receiver.empty() || peer.report.follows_store) receiver = name;
  }
  if (!to_other_data_centres) return;
  change.pass_on = true;
  for (const auto& [data_centre, name] : receivers) mesh_.SendMessage(name, change);
}

void node::OnTableChanges(instant now, const std::string& from,
                          const table_changes_notice& notice) {
  relaying_peer_ = from;
  for (table_follower* followed : FollowedTables()) {
    if (followed->table() != notice.table) continue;
    followed->OnRelayed(now, notice.after, notice.version, notice.rows);
  }
}

void node::FollowStoreEra(instant now) {
  const store_era& era = contact_.era();
  if (era.era() == 0) return;
  members_.OnStoreEra(now, era.era(), era.Age(now));
  if (era.era() == handled_era_) return;
  const bool first = handled_era_ == 0;
  log_.Write("store_era_known",
             {{"era", std::to_string(era.era())},
              {"before", std::to_string(handled_era_)},
              {"age_ms", std::to_string(era.Age(now).count())}},
             log_priority::kNotable);
  handled_era_ = era.era();
  if (first) return;
  members_.OnStoreReturned(now);
  for (table_follower* followed : FollowedTables()) {
    if (EraOf(followed->version()) < era.era()) followed->Refresh(now);
  }
  mesh_.ReportNow(now);
}

void node::BroadcastSuspects(instant now) {
  mesh_.SendToAll([this, now](const node_state& peer) {
    return poison_notice{gate_.poison().Export(peer.member.region, now)};
  });
}

}  // namespace bulrushway
