#include "daemon.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "home_regions.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{10};
// A tick that runs later than scheduled by more than this is logged.
constexpr milliseconds kLateTickThreshold{300};
// A planned stop ends after this time even if requests or keys remain.
constexpr std::chrono::seconds kMaxStopTime{30};
// The process must stay idle and without keys for this long before it exits, so that callers and
// peers notice that it is leaving.
constexpr milliseconds kStopLinger{700};
// A data centre that was taken out serves its keys for at most this long while they are reassigned.
constexpr std::chrono::seconds kDataCentreOutGrace{3};
// Interval between liveness probes of the target.
constexpr milliseconds kProbeInterval{300};
constexpr milliseconds kProbeTimeout{1000};
// Consecutive probes without a connection after which the target is considered down.
constexpr int kFailedProbesUntilDown = 2;
// Maximum connections to the platform.
constexpr size_t kPlatformConnections = 4;
// Longest grant of keys that the process holds on behalf of its target before it checks its lease
// again. Requests sent to the target end before the lease expires.
constexpr milliseconds kLongestGrant{5000};
constexpr milliseconds kShortRetryDelay{50};
constexpr milliseconds kLongRetryDelay{500};

event_level ToEventLevel(log_level level) {
  switch (level) {
    case log_level::kWarning:
      return event_level::kWarning;
    case log_level::kError:
      return event_level::kError;
    default:
      return event_level::kInfo;
  }
}

entry_settings MakeEntrySettings(const daemon_settings& settings, any_picker picker, bool hedge) {
  entry_settings derived;
  derived.node = settings.node.name;
  derived.location = {settings.node.region, settings.node.data_centre};
  derived.deadlines = {settings.limits.default_deadline, settings.limits.max_deadline};
  derived.max_body_bytes = settings.limits.max_body;
  derived.max_requests = settings.limits.caller_requests;
  derived.picker = picker;
  derived.hedge = hedge;
  return derived;
}

gate_settings MakeGateSettings(const daemon_settings& settings) {
  gate_settings derived;
  derived.target = settings.target.address;
  derived.slots = settings.target.slots.value_or(derived.slots);
  derived.connections = settings.target.connections.value_or(derived.connections);
  derived.max_queue_wait = settings.limits.queue_wait;
  return derived;
}

target_incarnation MakeIncarnation(const std::string& node) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return {node, std::chrono::duration_cast<milliseconds>(wall).count()};
}

}  // namespace

daemon::daemon(daemon_settings settings, any_picker picker, bool hedge, uint64_t seed)
    : settings_(std::move(settings)),
      log_(settings_.node.name, settings_.log.file.value_or(""), ToEventLevel(settings_.log.level)),
      decisions_(loop_, settings_.node.name, STDOUT_FILENO),
      platform_client_(loop_, http_client_settings{.max_connections = kPlatformConnections,
                                                   .close_idle_after_timeout = true,
                                                   .require_length = true}),
      table_(platform_client_, settings_.platform),
      row_tables_(loop_, table_),
      rows_(row_tables_.AsRowStore()),
      fleet_(settings_.node.name, settings_.node.data_centre, settings_.node.region),
      mesh_(loop_, decisions_, metrics_, fleet_, MakeMeshEvents(*this)),
      members_(loop_, decisions_, metrics_, rows_, fleet_, MakeMembershipSettings(seed),
               MakeMembershipEvents(*this)),
      slices_(members_, settings_.node.service, settings_.node.region,
              MakeIncarnation(settings_.node.name), MakeSliceCallbacks(*this)),
      configuration_(loop_, log_, table_, mesh_, fleet_, rules_, seed),
      gate_(loop_, metrics_, MakeGateSettings(settings_), MakeGateCallbacks(*this)),
      entry_(loop_, metrics_, MakeEntrySettings(settings_, picker, hedge),
             MakeEntryCallbacks(*this), fleet_, mesh_, gate_, seed),
      http_(loop_, {settings_.limits.max_body},
            [this](std::shared_ptr<http_exchange> exchange) { OnExchange(std::move(exchange)); }),
      tick_(loop_, [this](instant now) { Tick(now); }),
      probe_client_(loop_, 1),
      process_(seed) {
  decisions_.OnNotable([this](std::string_view event, decision_log::fields values) {
    OnNotableDecision(event, values);
  });
  configuration_.OnAdopted([this](instant now) { OnConfigurationAdopted(now); });
  kernel_.Add("peers", peers_);
  kernel_.Add("configuration", configuration_);
  kernel_.Add("callers", callers_);
}

daemon::~daemon() = default;

std::chrono::sys_seconds daemon::WallNow() {
  return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
}

result<void> daemon::callers_service::Start(instant) {
  return parent->http_.Listen(parent->settings_.listen.http);
}

void daemon::callers_service::Stop(instant) {}

result<void> daemon::peers_service::Start(instant now) {
  if (auto listening = parent->mesh_.Listen(parent->settings_.listen.peer); !listening) {
    return listening;
  }
  parent->members_.Start(now);
  return {};
}

void daemon::peers_service::Stop(instant) {}

result<void> daemon::Start(instant now) {
  if (auto started = kernel_.Start(now); !started) {
    log_.Write(event_id::kServiceFailed, started.error());
    return started;
  }
  loop_.OnException([this](std::string_view callback, std::string_view what) {
    metrics_.Counter("bulrushway_exceptions", {{"callback", std::string(callback)}})++;
    decisions_.Write("exception_caught",
                     {{"callback", std::string(callback)}, {"what", std::string(what)}},
                     log_priority::kNotable);
  });
  loop_.OnTermination([this] { BeginStop(boot_clock::now()); });
  last_tick_ = now;
  tick_.Every(kTickInterval);
  log_.Write(event_id::kStarted, {{"http", ToString(settings_.listen.http)},
                                  {"peer", ToString(settings_.listen.peer)},
                                  {"target", ToString(settings_.target.address)}});
  return {};
}

void daemon::Run() { loop_.Run(); }

void daemon::BeginStop(instant now) {
  if (std::exchange(stopping_, true)) return loop_.Stop();
  log_.Write(event_id::kStopping);
  stop_deadline_ = now + kMaxStopTime;
  drained_since_ = now;
  mesh_.ReportNow(now);
}

void daemon::FinishStopWhenDrained(instant now) {
  const bool idle = gate_.InFlight() == 0 && gate_.Waiting() == 0 && entry_.InFlight() == 0;
  if (!idle || !members_.OwnsNoKeys()) drained_since_ = now;
  const bool drained = now - drained_since_ >= kStopLinger;
  if (!drained && now < stop_deadline_) return;
  log_.Write(event_id::kStopped, {{"drained", drained ? "yes" : "no"}});
  kernel_.Stop(now);
  decisions_.Flush();
  loop_.Stop();
}

membership_settings daemon::MakeMembershipSettings(uint64_t process) const {
  const node_settings& node = settings_.node;
  return {{node.name, settings_.listen.peer, node.data_centre, node.region, node.service, process,
           settings_.listen.http},
          settings_.listen.peer.ip,
          kLongestGrant};
}

std::optional<gate_refusal> daemon::CheckRules(instant now, const dispatch_request& request) const {
  if (!rules_.Configured()) {
    return gate_refusal{refusal_reason::kNoConfiguration, kLongRetryDelay};
  }
  if (configuration_.TooStale(now)) {
    return gate_refusal{refusal_reason::kStaleRules, kLongRetryDelay};
  }
  if (request.service != settings_.node.service) {
    return gate_refusal{refusal_reason::kUnknownService, {}};
  }
  if (!AllowsRegion(rules_.HomeRegions(request), settings_.node.region)) {
    return gate_refusal{refusal_reason::kHomeRegion, {}};
  }
  // A leaving process of a keyed service still serves the slices that it has not released yet.
  const service_info* info = rules_.FindService(request.service);
  const bool keyed = info != nullptr && info->keyed;
  if (data_centre_out_ && (!keyed || now - data_centre_out_since_ > kDataCentreOutGrace)) {
    return gate_refusal{refusal_reason::kDataCentreOut, kShortRetryDelay};
  }
  const bool leaving = stopping_ || rules_.HasActivePlannedStop(settings_.node.name, WallNow());
  if (leaving && !keyed) return gate_refusal{refusal_reason::kStopping, kShortRetryDelay};
  return std::nullopt;
}

gate_refusal daemon::NotServedRefusal(instant now, slice_number slice) const {
  gate_refusal refusal{refusal_reason::kNotOwner, kShortRetryDelay};
  if (!slices_.Owns(slice)) return refusal;
  refusal.reason = members_.Leased(now) ? refusal_reason::kMoving : refusal_reason::kLeaseLapsed;
  return refusal;
}

void daemon::OnExchange(std::shared_ptr<http_exchange> exchange) {
  const instant now = boot_clock::now();
  const http_request& request = exchange->request();
  if (request.target.starts_with("/-/"))
    return exchange->Reply(HandleOperatorRequest(now, request));
  entry_.Handle(now, std::move(exchange));
}

void daemon::ProbeTarget(instant now) {
  if (probing_ || now < next_probe_) return;
  next_probe_ = now + kProbeInterval;
  probing_ = true;
  probe_client_.Send(settings_.target.address, {"GET", "/-/health", {}, {}}, kProbeTimeout,
                     [this](const tl::expected<http_answer, http_failure>& outcome) {
                       probing_ = false;
                       // Any answer shows that the target is up; its status is ignored, because the
                       // health that the target reports may be stale or wrong. A timeout changes
                       // nothing: a slow target may be up or down.
                       if (outcome) {
                         failed_probes_ = 0;
                         return SetTargetUp(true);
                       }
                       if (outcome.error().may_have_run) return;
                       if (++failed_probes_ >= kFailedProbesUntilDown) SetTargetUp(false);
                     });
}

void daemon::SetTargetUp(bool up) {
  if (up == std::exchange(target_up_, up)) return;
  log_.Write(up ? event_id::kTargetUp : event_id::kTargetDown,
             {{"target", ToString(settings_.target.address)}});
}

bool daemon::Leaving() const {
  return stopping_ || data_centre_out_ ||
         rules_.HasActivePlannedStop(settings_.node.name, WallNow());
}

void daemon::Tick(instant now) {
  if (now - last_tick_ > kTickInterval + kLateTickThreshold) {
    const auto late = std::chrono::duration_cast<milliseconds>(now - last_tick_);
    log_.Write(event_id::kLoopLate, {{"ms", std::to_string(late.count())}});
  }
  last_tick_ = now;
  // The lease is checked first: it may have expired while the process was paused.
  target_condition condition = target_condition::kReady;
  if (Leaving()) condition = target_condition::kLeaving;
  if (!target_up_) condition = target_condition::kDown;
  slices_.Tick(now, condition);
  members_.Tick(now);
  node_report report = OwnReport(now);
  report.sequence = ++report_sequence_;
  fleet_.OnReport(now, report);
  mesh_.Tick(now);
  ProbeTarget(now);
  gate_.Tick(now);
  entry_.Tick(now);
  if (stopping_) FinishStopWhenDrained(now);
}

uint32_t daemon::TargetSlots() const {
  if (settings_.target.slots) return *settings_.target.slots;
  return rules_.UpstreamCapacity(settings_.node.name, settings_.node.service).first;
}

void daemon::OnConfigurationAdopted(instant now) {
  const service_info* info = rules_.FindService(settings_.node.service);
  if (info == nullptr) return;
  gate_.SetSlots(TargetSlots());
  if (info->keyed) slices_.SetLayout(now, info->layout);
  const bool out = rules_.IsDataCentreOut(settings_.node.data_centre);
  if (out == std::exchange(data_centre_out_, out)) return;
  data_centre_out_since_ = now;
  log_.Write(out ? event_id::kDataCentreOut : event_id::kDataCentreBack,
             {{"data_centre", settings_.node.data_centre}});
}

}  // namespace bulrushway
