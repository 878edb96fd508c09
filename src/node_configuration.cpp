// The configuration of a node: adoption, and the hand-over between peers when the store does not
// deliver the newest one.

#include <algorithm>
#include <utility>

#include "node.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// When peers report data that the feeds have not delivered after this time, it is read from the
// store.
constexpr milliseconds kFeedDelay{300};
// When that read has not helped after this time, a peer is asked.
constexpr milliseconds kReadTime{100};

// Share of the extra requests a cold target can handle that may be sent as one burst.
constexpr double kColdBurstUsed = 0.6;

constexpr const char* kHandoverCounter = "bulrushway_configuration_handovers";

}  // namespace

http_limits node::LimitsOf(const caller_limits& limits) {
  return {limits.body_bytes, limits.header_bytes, limits.idle_timeout, limits.request_timeout};
}

void node::OnOperatorRow(instant now, const stored_row& row, const operator_row_source& source) {
  const auto before = table_;
  ports_.operator_row(now, row, source);
  if (table_ != before) configuration_row_ = row;
}

void node::OnConfiguration(instant now, std::shared_ptr<const route_table> table,
                           const operator_row_source& source) {
  if (table_ && table->version() <= table_->version()) return;
  log_.Write("configuration_adopted",
             {{"version", std::to_string(table->version())},
              {"before", table_ ? std::to_string(table_->version()) : "-"},
              {"routes", std::to_string(table->routes().size())},
              {"source", source.relayed ? "peer" : "store"},
              {"peer", source.peer.empty() ? "-" : source.peer},
              {"row_version", std::to_string(source.version)}},
             log_priority::kNotable);
  table_ = std::move(table);
  table_source_ = source;
  table_adopted_ = now;
  search_.OnAdopted(table_->version());
  callers_.SetLimits(LimitsOf(table_->limits()));
  if (const service_policy* policy = table_->FindService(settings_.service)) {
    gate_.SetPolicy(now, policy->max_connections, policy->cold_requests_per_second,
                    std::max(1.0, settings_.cold_slack * kColdBurstUsed));
  }
  if (OwnServiceKeyed()) members_.AddKeySpaces(now, {{settings_.service, {}}});
  mesh_.ReportNow(now);
}

void node::RefreshIfBehind(instant now) {
  const uint64_t own_version = table_ ? table_->version() : 0;
  if (newest_peer_version_ <= own_version) {
    behind_since_.reset();
    refreshed_.reset();
  } else if (!behind_since_) {
    behind_since_ = now;
  } else if (now - *behind_since_ > kFeedDelay) {
    behind_since_ = now;
    if (!refreshed_) refreshed_ = now;
    operator_rows_.Refresh(now);
  }
  if (refreshed_ && now - *refreshed_ > kReadTime) AskForConfiguration(now, own_version);
  if (unknown_peer_since_ && now - *unknown_peer_since_ > kFeedDelay) {
    unknown_peer_since_.reset();
    if (fleet_.Find(unknown_peer_) == nullptr) members_.RefreshMembers(now);
  }
}

void node::AskForConfiguration(instant now, uint64_t own_version) {
  const auto log = [this, own_version](const std::string& peer, const char* outcome) {
    metrics_.Counter(kHandoverCounter, {{"outcome", outcome}})++;
    log_.Write("configuration_requested",
               {{"peer", peer},
                {"outcome", outcome},
                {"version", std::to_string(own_version)},
                {"newest_reported", std::to_string(newest_peer_version_)}},
               log_priority::kNotable);
  };
  const std::string unanswered = search_.outstanding();
  const milliseconds interval =
      ReportInterval(node_locality::kDataCentre, std::max<size_t>(1, fleet_.nodes().size()));
  const std::string asked = search_.Ask(now, interval, [&](const std::string& peer) {
    const bool sent =
        mesh_.SendMessage(peer, configuration_row_request{settings_.name, own_version}, true);
    if (!sent) log(peer, "no connection");
    return sent;
  });
  if (!unanswered.empty() && search_.outstanding() != unanswered) log(unanswered, "no answer");
  if (!asked.empty()) log(asked, "sent");
}

void node::OnConfigurationRequest(instant now, connection_id from,
                                  const configuration_row_request& request) {
  configuration_row_answer answer{settings_.name, false, {}};
  const char* outcome = "nothing newer";
  if (table_ && table_->version() > request.newer_than) {
    answer.found = handovers_.Take(now);
    outcome = answer.found ? "handed over" : "too many requests";
  }
  if (answer.found) answer.row = configuration_row_;
  metrics_.Counter(kHandoverCounter, {{"outcome", outcome}})++;
  log_.Write("configuration_request_answered",
             {{"peer", request.node},
              {"outcome", outcome},
              {"version", table_ ? std::to_string(table_->version()) : "-"},
              {"bytes", std::to_string(answer.row.value.size())}},
             log_priority::kNotable);
  mesh_.Reply(from, answer);
}

void node::OnConfigurationAnswer(instant now, const configuration_row_answer& answer) {
  const char* outcome = "not adopted";
  // An answer that comes late may still be newer than what is in force.
  search_.OnAnswer(answer.node);
  if (!answer.found) {
    outcome = "refused";
  } else if (answer.row.id.table != ports_.operator_table) {
    outcome = "another table";
  } else {
    const auto before = table_;
    OnOperatorRow(now, answer.row, {true, answer.row.version, answer.node});
    if (table_ != before) outcome = "adopted";
  }
  metrics_.Counter(kHandoverCounter, {{"outcome", outcome}})++;
  log_.Write("configuration_answer",
             {{"peer", answer.node},
              {"outcome", outcome},
              {"row_version", std::to_string(answer.row.version)},
              {"bytes", std::to_string(answer.row.value.size())}},
             log_priority::kNotable);
}

}  // namespace bulrushway
