#include "node.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Minimum interval between updates from the table of operators: versions in quick succession are
// taken over together.
constexpr milliseconds kOperatorRowInterval{150};
// Part of the configuration limit that remains when a watch of the operators' table has waited in
// vain: its answer is overdue, and the table is read over a new connection and passed on.
constexpr milliseconds kSilentFeedReserve{1500};
constexpr milliseconds kMinOperatorFeedWait{250};
// Interval at which waiting requests and connections are checked.
constexpr milliseconds kTickInterval{25};
// Share of the permitted extra arrivals that this process uses: at any moment, processes see
// different shares of the traffic.
constexpr double kRetryShareUsed = 0.75;
// The platform detects within two readiness checks, a second apart, that a process is not ready.
// Requests that arrive later than this after the request to stop are refused, since they might not
// finish in time.
constexpr milliseconds kStopAccepting{2200};
// Retry-after time for callers that are refused during a stop: the platform restarts the process at
// once.
constexpr milliseconds kRestartTime{900};
// Minimum time from the request to stop until exit, so that callers whose requests are in transit
// are answered.
constexpr milliseconds kMinStopTime{2400};
// Safety margin between the end of a stop and the kill.
constexpr milliseconds kStopReserve{400};
// A stopping process exits after it has been idle for this long.
constexpr milliseconds kMinIdle{150};
// Idle connections of callers are closed this long after a stop began.
constexpr milliseconds kStopIdleTimeout{1500};
// Typical time until a target has answered the call that grants it a key.
constexpr milliseconds kGrantCallTime{50};
// Time for which this process may have learned of an evacuation late, and for requests in transit.
constexpr milliseconds kEvacuationMargin{2500};
// Maximum bytes of the headers of a metrics request.
constexpr size_t kMaxMetricsHeaderBytes = 8 << 10;
// Share of the memory that messages may take. The rest is for the process itself, and for copies of
// one message while it is encoded or decoded.
constexpr double kMessageMemoryShare = 0.4;

// Interval at which the limits on callers follow the number of peers.
constexpr milliseconds kLimitsInterval{1000};
// Descriptors for files, the store, the platform's calls and metrics.
constexpr size_t kReservedDescriptors = 264;
// Input that a connection of a caller may have before its head is complete.
constexpr size_t kConnectionInputBytes = 64 << 10;
// Callers get one descriptor in this many, however many the others need.
constexpr size_t kLeastCallerShare = 4;

size_t MessageLimit(double memory_bytes) {
  return static_cast<size_t>(memory_bytes * kMessageMemoryShare);
}

}  // namespace

node::node(event_loop& loop, const node_settings& settings, node_ports ports, uint64_t process)
    : loop_(loop),
      settings_(settings),
      ports_(std::move(ports)),
      contact_(settings_.first_start),
      store_(ObserveStore(ports_.store, contact_, metrics_)),
      process_(process),
      log_(loop, settings_.name, STDOUT_FILENO),
      fleet_(settings_.name, settings_.data_centre, settings_.region),
      pacer_(loop, settings_.link_bytes_per_second),
      target_({settings_.service, settings_.target, settings_.heartbeat, settings_.drain_limit,
               settings_.longest_grant}),
      gate_(loop, metrics_, log_, target_,
            {settings_.target, settings_.service, settings_.region, settings_.headers,
             settings_.link_bytes_per_second, pacer_.BytesPerSecond(), settings_.urgent_room,
             settings_.adaptive_concurrency, &budget_},
            GatePorts(*this), process),
      mesh_(loop, log_, metrics_, fleet_, MeshEvents(*this), &pacer_, &budget_),
      quotas_(log_, metrics_, settings_.name, QuotaPorts(*this)),
      router_(log_, metrics_,
              {settings_.name, settings_.service, settings_.headers,
               settings_.retry_share * kRetryShareUsed},
              RouterPorts(*this), fleet_, mesh_, gate_, process),
      callers_(
          loop, LimitsOf({}),
          [this](std::shared_ptr<http_exchange> exchange) {
            router_.Handle(boot_clock::now(), std::move(exchange));
          },
          &pacer_),
      metrics_server_(loop, {.max_headers = kMaxMetricsHeaderBytes},
                      [this](const std::shared_ptr<http_exchange>& exchange) {
                        exchange->Reply({200, {{"Content-Type", "text/plain"}}, metrics_.Expose()});
                      }),
      members_(loop, log_, metrics_, store_, fleet_,
               {{settings_.name,
                 settings_.peers,
                 settings_.data_centre,
                 settings_.region,
                 settings_.service,
                 process_,
                 {}},
                settings_.ip,
                settings_.longest_grant,
                settings_.grants},
               MemberEvents(*this), CallTarget()),
      operator_rows_(
          loop, log_, store_, ports_.operator_table,
          std::max(kMinOperatorFeedWait, settings_.configuration_limit - kSilentFeedReserve),
          [] { return kOperatorRowInterval; },
          [this](instant now, instant sent, const std::vector<stored_row>& rows) {
            // Nothing says when a peer read the rows that it passes on.
            const bool relayed = sent == instant{};
            const std::string peer = relayed ? relaying_peer_ : std::string{};
            for (const stored_row& row : rows)
              OnOperatorRow(now, row, {relayed, row.version, peer});
          }),
      search_(settings_.name, settings_.data_centre, settings_.region),
      tick_(loop, [this](instant now) { Tick(now); }) {
  mesh_.SetMaxInlineBody(kMaxInlineBody);
  callers_.EnablePipelining(settings_.pipeline_depth, [this](const http_request& request) {
    return router_.MayOverlap(boot_clock::now(), request);
  });
  callers_.OnRejected([this](instant now, const rejected_request& rejected) {
    return router_.OnRejected(now, rejected);
  });
}

grant_call_function node::CallTarget() {
  if (!ports_.call_target) return {};
  return [this](const grant_call& call, auto done) {
    ports_.call_target(
        call, [this, call, done = std::move(done)](instant now, const grant_call_outcome& outcome) {
          if (outcome.session != 0) ReportGrantSession(now, call, outcome.session);
          if (outcome.refused_attempt) target_.OnConnectionRefused(now, *outcome.refused_attempt);
          const bool answered = outcome.result == grant_call_result::kDone ||
                                outcome.result == grant_call_result::kHigherFence;
          if (answered) target_.OnAnswer(now);
          done(now, outcome);
        });
  };
}

void node::ReportGrantSession(instant now, const grant_call& call, uint64_t session) {
  if (session == grant_session_) return;
  const uint64_t previous = std::exchange(grant_session_, session);
  metrics_.Counter("bulrushway_target_sessions")++;
  log_.Write("grant_session",
             {{"service", settings_.service},
              {"target", call.target.id},
              {"target_started_ms", std::to_string(call.target.started_ms)},
              {"session", std::to_string(session)},
              {"previous_session", std::to_string(previous)},
              {"fence", std::to_string(call.range.fence)},
              {"heartbeat_sequence", std::to_string(target_.HeartbeatSequence())},
              {"heartbeat_age_ms", std::to_string(target_.HeartbeatAge(now).count())}},
             log_priority::kNotable);
}

result<void> node::Start(instant now) {
  if (auto listening = callers_.Listen(settings_.callers); !listening) return listening;
  if (auto listening = mesh_.Listen(settings_.peers); !listening) return listening;
  if (auto listening = metrics_server_.Listen(settings_.metrics); !listening) return listening;
  started_ = now;
  budget_.AddHolder([this] { return gate_.HeldBytes(); });
  budget_.AddHolder([this] { return mesh_.BufferedBytes(); });
  budget_.AddHolder([this] { return callers_.HeldBytes(); });
  callers_.SetBudget(&budget_);
  budget_.SetLimit(MessageLimit(settings_.memory_bytes));
  loop_.OnException([this](std::string_view callback, std::string_view what) {
    metrics_.Counter("bulrushway_exceptions", {{"callback", std::string(callback)}})++;
    log_.Write("exception_caught",
               {{"callback", std::string(callback)}, {"what", std::string(what)}},
               log_priority::kNotable);
  });
  log_.Write("started",
             {{"service", settings_.service},
              {"data_centre", settings_.data_centre},
              {"region", settings_.region},
              {"process", std::to_string(process_)}},
             log_priority::kNotable);
  for (table_follower* followed : FollowedTables()) {
    followed->SetTurn([this] { return NeighboursBefore(fleet_); });
    followed->RelayTo([this, table = followed->table()](uint64_t after, uint64_t version,
                                                        const std::vector<stored_row>& rows) {
      PassOn(table, after, version, rows);
    });
  }
  members_.Start(now);
  operator_rows_.Start(now);
  tick_.Every(kTickInterval);
  return {};
}

size_t node::MaxCallerConnections() const {
  rlimit system{};
  size_t descriptors = settings_.descriptors;
  if (getrlimit(RLIMIT_NOFILE, &system) == 0 && system.rlim_cur != RLIM_INFINITY) {
    const auto available = static_cast<size_t>(system.rlim_cur);
    descriptors = descriptors == 0 ? available : std::min(descriptors, available);
  }
  if (descriptors == 0) return 0;
  // Two connections a peer, each of which may be replaced while the old one is still open.
  constexpr size_t kPerPeer = 4;
  const size_t reserved =
      kReservedDescriptors + kPerPeer * fleet_.nodes().size() + gate_.MaxConnections();
  const size_t least = descriptors / kLeastCallerShare;
  const size_t left = descriptors > reserved ? std::max(least, descriptors - reserved) : least;
  // The input of each connection takes memory before its request is known.
  const size_t by_memory = budget_.limit() / kConnectionInputBytes;
  return by_memory == 0 ? left : std::min(left, by_memory);
}

void node::UpdateCallerLimits(instant now) {
  if (now < next_limits_) return;
  next_limits_ = now + kLimitsInterval;
  callers_.SetMaxConnections(MaxCallerConnections());
  metrics_.Gauge("bulrushway_callers_displaced") = static_cast<double>(callers_.Displaced());
  metrics_.Gauge("bulrushway_held_bytes") = static_cast<double>(budget_.HeldBytes());
}

bool node::OwnServiceKeyed() const {
  if (!table_) return false;
  const service_policy* policy = table_->FindService(settings_.service);
  return policy != nullptr && policy->keyed;
}

std::pair<refusal_reason, milliseconds> node::WhyNotHeld(instant now, uint32_t key) const {
  const range_service* keys = OwnKeys();
  if (keys == nullptr || !keys->controller().Owns(key)) {
    return {refusal_reason::kNotOwner, milliseconds{0}};
  }
  if (!keys->Leased(now)) return {refusal_reason::kLeaseLapsed, milliseconds{0}};
  if (settings_.grants == grant_delivery_kind::kCall) {
    return {refusal_reason::kMoving, kGrantCallTime};
  }
  // The target receives its keys with the answer to its next heartbeat.
  const auto wait = std::chrono::duration_cast<milliseconds>(target_.NextHeartbeat() - now);
  return {refusal_reason::kMoving, std::max(wait, milliseconds{10})};
}

bool node::MayServeKeys(instant now) const {
  const auto since = evacuated_.find(settings_.data_centre);
  return since == evacuated_.end() ||
         now - since->second < settings_.evacuation_limit - kEvacuationMargin;
}

void node::UpdateLimits(instant, const node_settings& settings) {
  settings_.heartbeat = settings.heartbeat;
  settings_.drain_limit = settings.drain_limit;
  // The platform has begun to count by the limit that was in force at the request to stop.
  if (!stopping_since_) settings_.stop_limit = settings.stop_limit;
  settings_.evacuation_limit = settings.evacuation_limit;
  settings_.strict_revocation = settings.strict_revocation;
  settings_.revocation_limit = settings.revocation_limit;
  settings_.memory_bytes = settings.memory_bytes;
  settings_.descriptors = settings.descriptors;
  budget_.SetLimit(MessageLimit(settings_.memory_bytes));
  target_.SetLimits(settings_.heartbeat, settings_.drain_limit);
}

void node::OnEvacuation(instant now, const std::string& data_centre, bool out) {
  const bool changed =
      out ? evacuated_.emplace(data_centre, now).second : evacuated_.erase(data_centre) > 0;
  if (!changed) return;
  log_.Write(out ? "data_centre_out" : "data_centre_back", {{"data_centre", data_centre}},
             log_priority::kNotable);
  if (data_centre == settings_.data_centre) mesh_.ReportNow(now);
}

node::heartbeat_answer node::OnHeartbeat(instant now, const target_heartbeat& heartbeat) {
  heartbeat_answer answer;
  const bool was_leaving = target_.Leaving();
  const target_incarnation before = target_.incarnation();
  answer.verdict = target_.OnHeartbeat(now, heartbeat);
  if (answer.verdict != heartbeat_verdict::kAccepted) {
    log_.Write("heartbeat_ignored", {{"target", heartbeat.incarnation.id},
                                     {"sequence", std::to_string(heartbeat.sequence)},
                                     {"reason", answer.verdict == heartbeat_verdict::kForeign
                                                    ? "another service or address"
                                                    : "outdated"}});
    return answer;
  }
  const bool changed = before != target_.incarnation() || was_leaving != target_.Leaving();
  if (changed) {
    log_.Write("target_state",
               {{"target", target_.incarnation().id},
                {"before", before.id},
                {"leaving", target_.Leaving() ? "yes" : "no"},
                {"cold", target_.Cold(now) ? "yes" : "no"},
                {"slots", std::to_string(target_.slots())}},
               log_priority::kNotable);
  }
  UpdateTargetState(now);
  if (range_service* keys = OwnKeys()) answer.grant = keys->OnHeartbeat(now, heartbeat);
  if (changed) mesh_.ReportNow(now);
  return answer;
}

bool node::OnTargetLeft(instant now, const std::string& id) {
  if (!target_.OnLeave(now, id)) return false;
  log_.Write("target_left", {{"target", id}}, log_priority::kNotable);
  UpdateTargetState(now);
  mesh_.ReportNow(now);
  return true;
}

void node::UpdateTargetState(instant now) {
  target_condition condition = target_.Condition(now);
  const bool leaving = DataCentreOut() || stopping_since_.has_value();
  if (condition == target_condition::kReady && leaving) condition = target_condition::kLeaving;
  if (condition != target_condition_) {
    target_condition_ = condition;
    log_.Write("target_condition",
               {{"target", target_.incarnation().id},
                {"condition", std::string(Name(condition))},
                {"heartbeat_age_ms", std::to_string(target_.HeartbeatAge(now).count())},
                {"refuses_connections", target_.RefusesConnections() ? "yes" : "no"}},
               log_priority::kNotable);
  }
  members_.SetTarget(now, condition, target_.incarnation(), target_.EndedBefore());
  gate_.Tick(now);
}

node_report node::OwnReport(instant now) {
  node_report report;
  report.node = settings_.name;
  report.data_centre = settings_.data_centre;
  report.region = settings_.region;
  report.process = process_;
  report.stopping = stopping_since_.has_value();
  report.leased = members_.Leased(now);
  report.configuration_version = table_ ? table_->version() : 0;
  // The process may have been frozen since the last tick.
  report.follows_store = follows_store_ && TablesCurrent(now);
  report.store_era = contact_.era().era();
  report.store_era_age = contact_.era().Age(now);
  for (const table_follower* followed : FollowedTables()) {
    report.table_changes.push_back(followed->LatestChange());
  }
  report.target = gate_.Report(now);
  constexpr double kThousandths = 1000;
  report.target.key_request_millirate =
      static_cast<uint32_t>(members_.RequestRate(now) * kThousandths);
  return report;
}

void node::Tick(instant now) {
  FollowStoreEra(now);
  UpdateTargetState(now);
  members_.Tick(now);
  node_report report = OwnReport(now);
  report.sequence = ++report_sequence_;
  fleet_.OnReport(now, report);
  mesh_.Tick(now);
  UpdateCallerLimits(now);
  UpdateRelay(now);
  if (ConfigurationConfirmed(now)) configuration_confirmed_ = now;
  UpdateTableMetrics(now);
  RefreshIfBehind(now);
  quotas_.Tick(now);
  router_.Tick(now);
  if (stopping_since_) FinishStop(now);
}

bool node::Ready(instant) const { return table_ != nullptr && !stopping_since_; }

void node::Stop(instant now) {
  if (stopping_since_) return;
  stopping_since_ = now;
  log_.Write("stopping", {{"requests", std::to_string(router_.InFlight())}},
             log_priority::kNotable);
  callers_.Drain(now, kStopIdleTimeout);
  UpdateTargetState(now);
  mesh_.ReportNow(now);
}

std::optional<milliseconds> node::TimeUntilRestart(instant now) const {
  if (!stopping_since_ || now - *stopping_since_ < kStopAccepting) return std::nullopt;
  return kRestartTime;
}

void node::FinishStop(instant now) {
  const auto since = now - *stopping_since_;
  const bool busy = router_.InFlight() > 0 || gate_.Running() > 0 || gate_.Waiting() > 0 ||
                    callers_.HasUnsent() || mesh_.HasUnsent();
  if (busy) last_busy_ = now;
  // The kernel may still be sending the last bytes after it has accepted them.
  const bool idle = now - last_busy_ > kMinIdle;
  const bool overdue = since > settings_.stop_limit - kStopReserve;
  if (!overdue && (since < kMinStopTime || !idle)) return;
  log_.Write("stopped",
             {{"requests", std::to_string(router_.InFlight())}, {"idle", idle ? "yes" : "no"}},
             log_priority::kNotable);
  log_.Flush();
  loop_.Stop();
}

}  // namespace bulrushway
