#include "daemon.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{10};
constexpr milliseconds kForwarderInterval{50};
// A planned stop that has not given everything away by then ends all the same.
constexpr std::chrono::seconds kLongestStop{30};
// Callers and peers get this long to notice that the process is leaving.
constexpr milliseconds kFarewell{700};
// A data centre that was taken out serves the keys that it is giving away for at most this long.
constexpr std::chrono::seconds kOutGrace{3};
// The target is asked for a sign of life at this interval.
constexpr milliseconds kProbeInterval{300};
constexpr milliseconds kProbeTimeout{1000};
// Refused connections in a row after which the target counts as down.
constexpr int kProbesOfDown = 2;
// Epoch of a slice that nobody owned before.
constexpr uint64_t kFirstEpoch = 1;
// Connections to the platform.
constexpr size_t kPlatformConnections = 4;
constexpr milliseconds kRetrySoon{50};
constexpr milliseconds kRetryLater{500};

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
  entry_settings made;
  made.node = settings.node.name;
  made.place = {settings.node.region, settings.node.data_centre};
  made.deadlines = {settings.limits.default_deadline, settings.limits.max_deadline};
  made.max_body = settings.limits.max_body;
  made.max_requests = settings.limits.caller_requests;
  made.picker = picker;
  made.hedge = hedge;
  return made;
}

gate_settings MakeGateSettings(const daemon_settings& settings) {
  gate_settings made;
  made.target = settings.target.address;
  made.slots = settings.target.slots.value_or(made.slots);
  made.connections = settings.target.connections.value_or(made.connections);
  made.longest_wait = settings.limits.queue_wait;
  return made;
}

}  // namespace

daemon::daemon(daemon_settings settings, any_picker picker, bool hedge, uint64_t seed)
    : settings_(std::move(settings)),
      log_(settings_.node.name, settings_.log.file.value_or(""), ToEventLevel(settings_.log.level)),
      platform_client_(loop_, kPlatformConnections),
      table_(platform_client_, settings_.platform),
      transport_(loop_, {[this](connection_id from, peer_message message) {
                           OnPeerMessage(from, std::move(message));
                         },
                         [this](connection_id id, bool stood, const error& reason) {
                           OnPeerClosed(id, stood, reason);
                         }}),
      forwarder_(transport_,
                 {settings_.node.name, settings_.node.data_centre, settings_.node.region}),
      membership_(loop_, log_, metrics_, table_, forwarder_, MakeAnnouncement(), settings_.seeds,
                  seed),
      configuration_(loop_, log_, table_, forwarder_, transport_, membership_, rules_, seed),
      gate_(loop_, metrics_, MakeGateSettings(settings_), MakeGatePorts()),
      entry_(loop_, metrics_, MakeEntrySettings(settings_, picker, hedge), MakeEntryPorts(),
             membership_.Known(), forwarder_, gate_, seed),
      http_(loop_, {settings_.limits.max_body},
            [this](std::shared_ptr<http_exchange> exchange) { OnExchange(std::move(exchange)); }),
      tick_(loop_, [this](instant now) { Tick(now); }),
      probe_client_(loop_, 1) {
  membership_.SetPorts(MakeMembershipPorts());
  configuration_.OnAdopted([this](instant now) { OnRules(now); });
  kernel_.Add("peers", peers_);
  kernel_.Add("membership", membership_);
  kernel_.Add("configuration", configuration_);
  kernel_.Add("callers", callers_);
}

daemon::~daemon() = default;

std::chrono::sys_seconds daemon::WallNow() {
  return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
}

result<void> daemon::callers_service::Start(instant) {
  return owner->http_.Listen(owner->settings_.listen.http);
}

void daemon::callers_service::Stop(instant) {}

result<void> daemon::peers_service::Start(instant) {
  return owner->transport_.Listen(owner->settings_.listen.peer);
}

void daemon::peers_service::Stop(instant) {}

result<void> daemon::Start(instant now) {
  if (auto started = kernel_.Start(now); !started) {
    log_.Write(event_id::kServiceFailed, started.error());
    return started;
  }
  loop_.OnTermination([this] { BeginStop(boot_clock::now()); });
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
  stop_deadline_ = now + kLongestStop;
  drained_since_ = now;
  membership_.BeginStop(now);
}

void daemon::CheckStopped(instant now) {
  const bool idle = gate_.InFlight() == 0 && gate_.Waiting() == 0 && entry_.InFlight() == 0;
  if (!idle || !membership_.Stopped()) drained_since_ = now;
  const bool drained = now - drained_since_ >= kFarewell;
  if (!drained && now < stop_deadline_) return;
  log_.Write(event_id::kStopped, {{"drained", drained ? "yes" : "no"}});
  kernel_.Stop(now);
  loop_.Stop();
}

announcement daemon::MakeAnnouncement() const {
  announcement self;
  self.node = settings_.node.name;
  self.service = settings_.node.service;
  self.region = settings_.node.region;
  self.data_centre = settings_.node.data_centre;
  self.rack = settings_.node.rack;
  self.peer = settings_.listen.peer;
  self.http = settings_.listen.http;
  self.weight = settings_.node.weight;
  self.slots = settings_.target.slots.value_or(0);
  self.target_up = true;
  return self;
}

void daemon::OnGained(instant now, const std::vector<slice_epoch>& slices) {
  const directory& known = membership_.Known();
  std::map<std::string, memory_request> asked;
  for (const slice_epoch& gained : slices) {
    const std::string last = known.LastOwnerOf(settings_.node.service, gained.slice);
    if (gained.epoch <= kFirstEpoch) {
      gate_.GainFirst(gained.slice);
    } else if (last.empty() || last == settings_.node.name || !known.Alive(last)) {
      gate_.GainSlice(gained.slice);
    } else {
      gate_.AwaitMemory(now, gained.slice);
      asked[last].slices.push_back(gained.slice);
    }
  }
  for (const auto& [node, request] : asked) {
    forwarder_.SendMessage(now, known.Find(node)->peer, request);
  }
}

void daemon::OnMemoryRequest(connection_id from, const memory_request& request) {
  for (const uint32_t slice : request.slices) {
    auto memory = gate_.RetiredMemory(slice);
    memory_answer answer{slice, memory.has_value(), {}};
    if (memory) answer.memory = std::move(*memory);
    transport_.Send(from, std::move(answer));
  }
}

void daemon::OnMemoryAnswer(instant now, const memory_answer& answer) {
  if (answer.known) {
    gate_.ImportMemory(now, answer.slice, answer.memory);
  } else {
    gate_.GiveUpMemory(answer.slice);
  }
}

void daemon::PublishSuspects(instant now) {
  const auto version =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  for (const poison_entry& entry : gate_.poison().Export(settings_.node.region, now)) {
    // Gossip reaches all regions, so what is bound to some of them stays at this process.
    if (!entry.home_regions.empty()) continue;
    membership_.Publish(now, {static_cast<uint8_t>(gossip_kind::kQuarantine),
                              settings_.node.name + "/" + std::to_string(entry.fingerprint),
                              static_cast<uint64_t>(version.count()), Encode(entry)});
  }
}

void daemon::OnItem(instant now, const gossip_item& item) {
  if (item.kind != static_cast<uint8_t>(gossip_kind::kQuarantine)) {
    return configuration_.OnItem(now, item);
  }
  const auto entry = DecodePoison(item.payload);
  if (!entry) return log_.Write(event_id::kBadDatagram, entry.error());
  gate_.poison().Merge(*entry, now);
}

std::optional<gate_refusal> daemon::CheckRules(instant now, const forward_request& request) const {
  if (!rules_.Configured()) {
    return gate_refusal{refusal_reason::kNoConfiguration, kRetryLater, {}};
  }
  if (configuration_.TooStale(now)) {
    return gate_refusal{refusal_reason::kStaleRules, kRetryLater, {}};
  }
  if (request.service != settings_.node.service) {
    return gate_refusal{refusal_reason::kUnknownService, {}, {}};
  }
  const auto homes = rules_.HomeRegions(request);
  if (!homes.empty() && std::ranges::find(homes, settings_.node.region) == homes.end()) {
    return gate_refusal{refusal_reason::kHomeRegion, {}, {}};
  }
  // A keyed process that leaves still serves the slices that it has not yet given away.
  const service_facts* facts = rules_.FindService(request.service);
  const bool keyed = facts != nullptr && facts->keyed;
  if (data_centre_out_ && (!keyed || now - out_since_ > kOutGrace)) {
    return gate_refusal{refusal_reason::kDataCentreOut, kRetrySoon, {}};
  }
  const bool leaving = stopping_ || rules_.PlannedStop(settings_.node.name, WallNow());
  if (leaving && !keyed) return gate_refusal{refusal_reason::kStopping, kRetrySoon, {}};
  return std::nullopt;
}

gate_refusal daemon::NotServed(instant now, uint32_t slice) const {
  gate_refusal refusal{refusal_reason::kNotOwner, kRetrySoon, {}};
  refusal.owner_hint = membership_.OwnerHint(slice);
  if (membership_.Self().term != 0 && membership_.LeaseExpiry() <= now) {
    refusal.reason = refusal_reason::kLeaseLapsed;
  } else if (refusal.owner_hint.empty()) {
    refusal.reason = refusal_reason::kMoving;
  }
  return refusal;
}

void daemon::OnExchange(std::shared_ptr<http_exchange> exchange) {
  const instant now = boot_clock::now();
  const http_request& request = exchange->request();
  if (request.target.starts_with("/-/")) return exchange->Reply(Administer(now, request));
  entry_.Handle(now, std::move(exchange));
}

void daemon::OnPeerMessage(connection_id from, peer_message message) {
  const instant now = boot_clock::now();
  if (const auto* hello = std::get_if<hello_message>(&message)) hellos_[from] = hello->node;
  if (!dropped_.empty() && Dropped(from)) return;
  if (auto* request = std::get_if<forward_request>(&message)) {
    OnForwarded(now, from, std::move(*request));
  } else if (auto* answer = std::get_if<forward_answer>(&message)) {
    forwarder_.OnAnswer(now, from, std::move(*answer));
  } else if (const auto* cancel = std::get_if<cancel_request>(&message)) {
    const auto found = incoming_.find({from, cancel->id});
    if (found == incoming_.end()) return;
    const gate::ticket ticket = found->second;
    incoming_.erase(found);
    gate_.Cancel(now, ticket);
  } else if (const auto* control = std::get_if<control_message>(&message)) {
    membership_.OnControl(now, control->bytes, transport_.PeerAddress(from));
  } else if (const auto* wanted = std::get_if<memory_request>(&message)) {
    OnMemoryRequest(from, *wanted);
  } else if (const auto* memory = std::get_if<memory_answer>(&message)) {
    OnMemoryAnswer(now, *memory);
  } else {
    configuration_.OnMessage(now, from, message);
  }
}

bool daemon::Dropped(connection_id from) const {
  const auto hello = hellos_.find(from);
  if (hello != hellos_.end()) return dropped_.contains(hello->second);
  const auto address = ParseSocketAddress(transport_.PeerAddress(from));
  const announcement* peer = address ? membership_.Known().FindByPeer(*address) : nullptr;
  return peer != nullptr && dropped_.contains(peer->node);
}

void daemon::OnForwarded(instant now, connection_id from, forward_request request) {
  const uint64_t id = request.id;
  // The gate may answer at once, before the ticket is known.
  auto answered = std::make_shared<bool>(false);
  const gate::ticket ticket =
      gate_.Handle(now, std::move(request), [this, from, id, answered](forward_answer answer) {
        *answered = true;
        incoming_.erase({from, id});
        answer.id = id;
        transport_.Send(from, std::move(answer));
      });
  if (!*answered) incoming_[{from, id}] = ticket;
}

void daemon::OnPeerClosed(connection_id id, bool stood, const error& reason) {
  const instant now = boot_clock::now();
  hellos_.erase(id);
  if (forwarder_.OnClosed(now, id, stood)) return;
  if (reason.step != "keep connection") log_.Write(event_id::kBadFrame, reason);
  // Nobody is left to take the answers of these requests.
  std::vector<gate::ticket> orphans;
  const auto first = incoming_.lower_bound({id, 0});
  auto last = first;
  for (; last != incoming_.end() && last->first.first == id; ++last) {
    orphans.push_back(last->second);
  }
  incoming_.erase(first, last);
  for (const gate::ticket ticket : orphans) gate_.Cancel(now, ticket);
}

void daemon::ProbeTarget(instant now) {
  if (probing_ || now < next_probe_) return;
  next_probe_ = now + kProbeInterval;
  probing_ = true;
  probe_client_.Send(settings_.target.address, {"GET", "/-/health", {}, {}}, kProbeTimeout,
                     [this](const tl::expected<http_answer, http_failure>& outcome) {
                       probing_ = false;
                       // Any answer will do: what the target says of its own health may lag or
                       // mislead. A slow answer says nothing either way.
                       if (outcome) {
                         failed_probes_ = 0;
                         return SetTargetUp(true);
                       }
                       if (outcome.error().may_have_run) return;
                       if (++failed_probes_ >= kProbesOfDown) SetTargetUp(false);
                     });
}

void daemon::SetTargetUp(bool up) {
  if (up == std::exchange(target_up_, up)) return;
  log_.Write(up ? event_id::kTargetUp : event_id::kTargetDown,
             {{"target", ToString(settings_.target.address)}});
}

void daemon::Tick(instant now) {
  ProbeTarget(now);
  gate_.Tick(now);
  if (now >= next_forwarder_tick_) {
    next_forwarder_tick_ = now + kForwarderInterval;
    forwarder_.Tick(now);
  }
  entry_.Refresh(now);
  const bool leaving =
      stopping_ || data_centre_out_ || rules_.PlannedStop(settings_.node.name, WallNow());
  membership_.SetState(
      now, target_up_, leaving, rules_.Version(),
      rules_.Configured() ? rules_.Capacity(settings_.node.name, settings_.node.service).first : 0);
  if (stopping_) CheckStopped(now);
}

uint32_t daemon::Slots() const {
  if (settings_.target.slots) return *settings_.target.slots;
  return rules_.Capacity(settings_.node.name, settings_.node.service).first;
}

void daemon::OnRules(instant now) {
  const service_facts* facts = rules_.FindService(settings_.node.service);
  if (facts == nullptr) return;
  gate_.SetSlots(Slots());
  membership_.BeginOwnership(now, facts->layout, facts->keyed);
  const bool out = rules_.DataCentreOut(settings_.node.data_centre);
  if (out == std::exchange(data_centre_out_, out)) return;
  out_since_ = now;
  log_.Write(out ? event_id::kDataCentreOut : event_id::kDataCentreBack,
             {{"data_centre", settings_.node.data_centre}});
}

}  // namespace bulrushway
