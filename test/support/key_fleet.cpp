#include "key_fleet.h"

#include <fcntl.h>

#include <algorithm>
#include <utility>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kHeartbeatInterval{870};
constexpr milliseconds kDrainLimit{2500};
constexpr uint16_t kTargetPort = 8080;
constexpr milliseconds kCallHold{4000};
constexpr milliseconds kReleaseHeartbeatDelay{100};
// Distance between the keys that are checked; every range is wider.
constexpr uint32_t kProbeDistance = 499;
const std::string kService = "cronometraje";

int NullDevice() {
  static const int descriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
  return descriptor;
}

}  // namespace

bool simulated_target::Holds(instant now, uint32_t key) const {
  return up && std::any_of(held_ranges.begin(), held_ranges.end(), [&](const held_range& range) {
           return now < range.until && range.keys.Contains(key);
         });
}

void simulated_target::DropExpired(instant now) {
  std::erase_if(held_ranges, [now](const held_range& range) { return now >= range.until; });
}

void simulated_target::ApplyGrant(instant sent, instant now, const target_grant& grant) {
  const auto hold = std::chrono::duration_cast<std::chrono::nanoseconds>(grant.hold / clock_rate);
  std::vector<held_range> granted;
  for (const granted_range& range : grant.ranges) {
    granted.push_back({range.keys, range.fence, sent + hold});
  }
  for (const held_range& previous : held_ranges) {
    if (now >= previous.until) continue;
    // Releases each part of the earlier range that the new grant doesn't contain.
    uint32_t from = previous.keys.first;
    const auto release = [this](uint32_t first, uint32_t last) {
      released.push_back({{first, last}, "handover-" + std::to_string(first)});
      next_heartbeat = instant{};
    };
    for (const granted_range& range : grant.ranges) {
      if (!range.keys.Overlaps(previous.keys)) continue;
      if (range.keys.first > from) release(from, range.keys.first - 1);
      from = std::max(from, range.keys.last + 1);
    }
    if (from <= previous.keys.last) release(from, previous.keys.last);
  }
  held_ranges = std::move(granted);
}

void simulated_target::Drop(const key_range& keys) {
  std::vector<held_range> kept;
  for (const held_range& range : held_ranges) {
    if (!range.keys.Overlaps(keys)) {
      kept.push_back(range);
      continue;
    }
    if (range.keys.first < keys.first) {
      kept.push_back(range);
      kept.back().keys.last = keys.first - 1;
    }
    if (range.keys.last > keys.last) {
      kept.push_back(range);
      kept.back().keys.first = keys.last + 1;
    }
  }
  held_ranges = std::move(kept);
}

grant_call_result simulated_target::Apply(instant now, instant arrived, const grant_call& call) {
  if (!up || call.target.id != incarnation.id) return grant_call_result::kNotDone;
  if (call.type == grant_call::kind::kRelease) {
    Drop(call.range.keys);
    return grant_call_result::kDone;
  }
  for (const ::bulrushway::held_range& seen : seen_fences) {
    if (seen.keys.Overlaps(call.range.keys) && seen.fence > call.range.fence) {
      return grant_call_result::kHigherFence;
    }
  }
  const instant until =
      arrived + std::chrono::duration_cast<std::chrono::nanoseconds>(call.hold / clock_rate);
  if (now >= until) return grant_call_result::kDone;
  seen_fences.push_back({call.range.keys, call.range.fence});
  Drop(call.range.keys);
  held_ranges.push_back({call.range.keys, call.range.fence, until});
  return grant_call_result::kDone;
}

key_fleet::key_fleet(uint64_t seed, size_t nodes, grant_delivery_kind delivery)
    : log_(loop_, "test", NullDevice()),
      rng_(seed),
      delivery_(delivery),
      store_(seed + 1),
      now_(instant{} + std::chrono::hours(1)) {
  store_.Advance(now_);
  for (size_t i = 0; i < nodes; ++i) {
    auto node = std::make_unique<simulated_node>();
    node->name = "n" + std::to_string(i);
    node->ip = "10.0.0." + std::to_string(i + 1);
    node->target.clock_rate = std::uniform_real_distribution<double>(0.981, 1.0)(rng_);
    StartTarget(*node);
    StartProcess(*node);
    nodes_.push_back(std::move(node));
  }
}

key_fleet::~key_fleet() = default;

void key_fleet::StartProcess(simulated_node& node) {
  node.process_up = true;
  node.process = next_process_++;
  node.alive = std::make_shared<bool>(true);
  node.rows =
      store_.Rows([&node] { return node.reaches_store; }, [alive = node.alive] { return *alive; });
  range_service_settings settings{node.name, node.ip, kService, node.process, {}, {}};
  settings.controller.node = node.name;
  settings.controller.delivery = delivery_;
  grant_call_function call_target;
  if (delivery_ == grant_delivery_kind::kCall) {
    settings.controller.grants.max_hold = kCallHold;
    call_target = [this, &node](const grant_call& call, auto done) {
      CallTarget(node, call, std::move(done));
    };
  }
  node.known_target = std::make_unique<own_target>(
      own_target_settings{.service = kService, .address = {node.ip, kTargetPort}});
  node.known_target->SetLimits(kHeartbeatInterval, kDrainLimit);
  node.connected = false;
  node.session = 0;
  const auto map_changed = [this](instant, const key_map_change& change) { OnMapChanged(change); };
  node.ranges = std::make_unique<range_service>(log_, metrics_, node.rows, settings, now_,
                                                map_changed, call_target);
}

void key_fleet::OnMapChanged(const key_map_change& change) {
  for (auto& node : nodes_) {
    const bool runs = node->process_up && now_ >= node->paused_until;
    if (!runs || node->ranges->controller().map_version() != change.base_version) continue;
    const auto delta = DecodeDelta(change.delta);
    key_map map = node->ranges->controller().map();
    if (delta && ApplyDelta(map, *delta)) node->ranges->OnMapChanged(now_, map, change.version);
  }
}

void key_fleet::StopProcess(simulated_node& node) {
  node.process_up = false;
  *node.alive = false;
  node.ranges.reset();
  node.known_target.reset();
}

void key_fleet::StartTarget(simulated_node& node) {
  const double rate = node.target.clock_rate;
  node.target = {};
  node.target.clock_rate = rate;
  node.target.incarnation = {"t" + std::to_string(++wall_ms_), wall_ms_};
  std::uniform_int_distribution<int> phase(0, static_cast<int>(kHeartbeatInterval.count()));
  node.target.next_heartbeat = now_ + milliseconds(phase(rng_));
  node.connected = false;
}

void key_fleet::RestartTargetUnderItsId(simulated_node& node, milliseconds heartbeat_delay) {
  const std::string id = node.target.incarnation.id;
  StartTarget(node);
  node.target.incarnation.id = id;
  node.target.heartbeats_arrive_from = now_ + heartbeat_delay;
}

std::vector<range_candidate> key_fleet::Candidates() const {
  std::vector<range_candidate> candidates;
  for (const auto& node : nodes_) {
    range_candidate candidate;
    candidate.node = node->name;
    candidate.target = node->target.incarnation;
    candidate.alive = node->process_up && now_ >= node->paused_until;
    candidate.leased = candidate.alive && node->ranges->Leased(now_);
    candidate.accepting = candidate.leased && node->target.up && !node->target.draining;
    candidate.cost = 0.01;
    candidates.push_back(candidate);
  }
  return candidates;
}

void key_fleet::Heartbeat(simulated_node& node) {
  simulated_target& target = node.target;
  target_heartbeat heartbeat;
  heartbeat.incarnation = target.incarnation;
  heartbeat.service = kService;
  heartbeat.slots = 12;
  heartbeat.draining = target.draining;
  heartbeat.sequence = ++target.sequence;
  target.DropExpired(now_);
  for (const auto& range : target.held_ranges) heartbeat.held.push_back({range.keys, range.fence});
  heartbeat.released = target.released;
  heartbeat.address = {node.ip, kTargetPort};
  target.next_heartbeat = now_ + kHeartbeatInterval;
  if (delivery_ == grant_delivery_kind::kHeartbeat) return DeliverHeartbeat(node, heartbeat);
  std::uniform_int_distribution<int> lateness(0, 3000);
  const bool late = std::bernoulli_distribution(late_heartbeats)(rng_);
  const instant arrives =
      std::max(now_ + milliseconds(late ? lateness(rng_) : 0), target.heartbeats_arrive_from);
  events_.emplace(arrives, [this, &node, heartbeat] { DeliverHeartbeat(node, heartbeat); });
}

void key_fleet::DeliverHeartbeat(simulated_node& node, const target_heartbeat& heartbeat) {
  simulated_target& target = node.target;
  if (!node.process_up || now_ < node.paused_until) return;
  if (node.known_target->OnHeartbeat(now_, heartbeat) != heartbeat_verdict::kAccepted) return;
  UpdateTarget(node);
  // The heartbeat takes time to arrive, so the target's hold time starts before the process's.
  std::uniform_int_distribution<int> heartbeat_delay(0, 200);
  const instant sent = now_ - milliseconds(heartbeat_delay(rng_));
  const auto grant = node.ranges->OnHeartbeat(now_, heartbeat);
  target.released.clear();
  if (!grant) return;
  target.ApplyGrant(sent, now_, *grant);
  if (!target.released.empty()) target.next_heartbeat = now_ + kReleaseHeartbeatDelay;
}

void key_fleet::RunEvents() {
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto event = events_.begin()->second;
    events_.erase(events_.begin());
    event();
  }
}

void key_fleet::CallTarget(simulated_node& node, const grant_call& call,
                           std::function<void(instant, const grant_call_outcome&)> done) {
  std::uniform_int_distribution<int> transit(0, 20);
  std::uniform_int_distribution<int> work(0, 300);
  std::uniform_int_distribution<int> lateness(500, 3000);
  const bool late = std::bernoulli_distribution(late_calls)(rng_);
  const instant arrives = now_ + milliseconds(transit(rng_));
  const auto report = [this, &node, alive = node.alive, done](const grant_call_outcome& outcome) {
    if (!*alive) return;
    if (outcome.refused_attempt) {
      node.known_target->OnConnectionRefused(now_, *outcome.refused_attempt);
    }
    if (outcome.result == grant_call_result::kDone) node.known_target->OnAnswer(now_);
    done(now_, outcome);
  };
  const auto deliver = [this, &node, report](const grant_call_outcome& outcome) {
    if (now_ >= node.paused_until) return report(outcome);
    events_.emplace(node.paused_until, [report, outcome] { report(outcome); });
  };
  if (call.type == grant_call::kind::kGrant) {
    events_.emplace(arrives, [this, &node, alive = node.alive, call, deliver, late,
                              end = now_ + call.timeout, lateness = milliseconds(lateness(rng_))] {
      // The connection of a process that has ended delivers nothing.
      if (!*alive) return;
      const grant_call_outcome outcome = DeliverGrant(node, call, late);
      const bool unanswered = late && outcome.result == grant_call_result::kUnknown;
      if (!unanswered) return deliver(outcome);
      events_.emplace(now_ + lateness,
                      [this, &node, call, arrived = now_, incarnation = node.target.incarnation] {
                        if (node.target.incarnation == incarnation)
                          node.target.Apply(now_, arrived, call);
                      });
      events_.emplace(end, [deliver, outcome] { deliver(outcome); });
    });
    return;
  }
  if (late) {
    events_.emplace(arrives + milliseconds(lateness(rng_)),
                    [this, &node, arrives, call] { node.target.Apply(now_, arrives, call); });
    events_.emplace(now_ + call.timeout, [deliver] { deliver({}); });
    return;
  }
  events_.emplace(arrives, [this, &node, call, deliver, delay = milliseconds(work(rng_))] {
    const grant_call_result result = node.target.Apply(now_, now_, call);
    grant_call_outcome outcome{.result = result};
    outcome.connection_lost = result == grant_call_result::kNotDone;
    outcome.handover = "handover";
    events_.emplace(now_ + delay, [deliver, outcome] { deliver(outcome); });
  });
}

grant_call_outcome key_fleet::DeliverGrant(simulated_node& node, const grant_call& call,
                                           bool late) {
  grant_call_outcome outcome;
  if (!node.target.up) {
    node.connected = false;
    outcome.result = grant_call_result::kNotDone;
    outcome.connection_lost = true;
    outcome.refused_attempt = now_;
    return outcome;
  }
  if (!std::exchange(node.connected, true)) ++node.session;
  outcome.session = node.session;
  outcome.withheld = call.session != 0 && call.session != node.session;
  if (outcome.withheld) {
    outcome.result = grant_call_result::kNotDone;
    return outcome;
  }
  if (late) {
    node.connected = false;
    return outcome;
  }
  outcome.result = node.target.Apply(now_, now_, call);
  outcome.connection_lost = outcome.result == grant_call_result::kNotDone;
  if (std::bernoulli_distribution(closing_answers)(rng_)) node.connected = false;
  return outcome;
}

void key_fleet::SendRequest(simulated_node& node) {
  node.next_request = now_ + request_interval;
  if (node.target.up) {
    node.known_target->OnAnswer(now_);
  } else {
    node.known_target->OnConnectionRefused(now_, now_);
  }
}

void key_fleet::UpdateTarget(simulated_node& node) {
  node.ranges->SetTarget(now_, node.known_target->Condition(now_), node.known_target->incarnation(),
                         node.known_target->EndedBefore());
}

void key_fleet::Step() {
  now_ += kStep;
  store_.Advance(now_);
  RunEvents();
  for (auto& node : nodes_) {
    if (node->lost) continue;
    if (!node->process_up && now_ >= node->restart_at) StartProcess(*node);
    if (!node->target.up && node->restart_target && now_ >= node->restart_at) {
      StartTarget(*node);
    }
    if (node->target.up && now_ >= node->target.next_heartbeat) Heartbeat(*node);
    if (!node->process_up || now_ < node->paused_until) continue;
    if (now_ >= node->next_request) SendRequest(*node);
    UpdateTarget(*node);
    DeliverMap(*node);
    node->ranges->Tick(now_, Candidates());
  }
  CheckInvariants();
}

void key_fleet::DeliverMap(simulated_node& node) {
  const stored_row* row = store_.Find({kKeyMapTable, kService});
  const bool behind = row != nullptr && row->version > node.ranges->controller().map_version();
  if (!behind || !node.reaches_store || store_.faults.down || now_ < node.next_map_update) return;
  node.ranges->OnMapRow(now_, now_, *row);
  std::uniform_int_distribution<int> lag(0, static_cast<int>(max_map_delay.count()));
  node.next_map_update = now_ + milliseconds(lag(rng_));
}

void key_fleet::CheckInvariants() {
  if (!violation_.empty()) return;
  for (uint32_t key = 0; key <= kLastKey; key += kProbeDistance) {
    const simulated_node* holder = nullptr;
    for (const auto& node : nodes_) {
      if (!node->target.Holds(now_, key)) continue;
      if (holder != nullptr) {
        violation_ =
            "key " + std::to_string(key) + " is held by " + holder->name + " and " + node->name;
        return;
      }
      holder = node.get();
    }
    for (const simulated_target& target : replaced_targets_) {
      if (holder == nullptr || !target.Holds(now_, key)) continue;
      violation_ = "key " + std::to_string(key) + " is held by " + holder->name +
                   " and by the target of a replaced machine";
      return;
    }
    if (holder == nullptr) continue;
    last_held_[key] = now_;
    uint64_t fence = 0;
    for (const auto& range : holder->target.held_ranges) {
      if (range.keys.Contains(key)) fence = range.fence;
    }
    auto& [last_holder, last_fence] = last_grant_[key];
    const target_incarnation& life = holder->target.incarnation;
    const std::string incarnation = life.id + " started " + std::to_string(life.started_ms);
    const bool fence_grows =
        fence > last_fence || (fence == last_fence && incarnation == last_holder);
    if (!fence_grows) {
      violation_ = "key " + std::to_string(key) + " went to " + incarnation + " with fence " +
                   std::to_string(fence) + " after " + std::to_string(last_fence);
    }
    last_holder = incarnation;
    last_fence = fence;
  }
}

void key_fleet::RunFor(milliseconds span) {
  const instant end = now_ + span;
  while (now_ < end) Step();
}

void key_fleet::InjectFault() {
  std::uniform_int_distribution<size_t> pick(0, nodes_.size() - 1);
  std::uniform_int_distribution<int> fault(0, 9);
  std::uniform_int_distribution<int> span(200, 9000);
  simulated_node& node = *nodes_[pick(rng_)];
  if (node.lost) return;
  const milliseconds duration(span(rng_));
  node.restart_at = now_ + duration;
  switch (fault(rng_)) {
    case 0:  // The process is killed and restarts.
      if (node.process_up) StopProcess(node);
      break;
    case 1:  // The machine loses power.
      if (node.process_up) StopProcess(node);
      node.target.up = false;
      node.restart_target = true;
      break;
    case 2:  // The target crashes.
      node.target.up = false;
      node.restart_target = true;
      break;
    case 3:
      node.target.draining = true;
      break;
    case 4:
      node.paused_until = now_ + duration;
      break;
    case 5:
      node.reaches_store = !node.reaches_store;
      break;
    case 6:
      store_.faults.down = !store_.faults.down;
      break;
    case 7:
      store_.faults.lost_answers = 0.4;
      store_.faults.late_commits = 0.5;
      break;
    case 8:
      store_.faults.delay = milliseconds(span(rng_) / 20);
      break;
    default: {  // The machine is replaced by one with the same name and another address.
      if (node.process_up) StopProcess(node);
      replaced_targets_.push_back(node.target);
      node.ip += "0";
      StartTarget(node);
      break;
    }
  }
}

void key_fleet::Heal() {
  store_.faults = {};
  for (auto& node : nodes_) {
    node->reaches_store = true;
    node->paused_until = {};
    node->restart_at = now_;
    node->restart_target = true;
    if (node->target.draining) {
      node->target.up = false;
      node->target.draining = false;
    }
  }
}

const simulated_node* key_fleet::HolderOf(uint32_t key) const {
  for (const auto& node : nodes_) {
    if (node->target.Holds(now_, key)) return node.get();
  }
  return nullptr;
}

double key_fleet::ShareHeldWithin(milliseconds span) const {
  size_t probes = 0;
  size_t held = 0;
  for (uint32_t key = 0; key <= kLastKey; key += kProbeDistance) {
    ++probes;
    const auto last = last_held_.find(key);
    if (last != last_held_.end() && now_ - last->second <= span) ++held;
  }
  return static_cast<double>(held) / static_cast<double>(probes);
}

key_fleet_report key_fleet::Report() {
  key_fleet_report report;
  report.violation = violation_;
  size_t probes = 0;
  size_t held = 0;
  for (uint32_t key = 0; key <= kLastKey; key += kProbeDistance) {
    ++probes;
    if (HolderOf(key) != nullptr) ++held;
  }
  report.share_held = static_cast<double>(held) / static_cast<double>(probes);
  if (const stored_row* row = store_.Find({kKeyMapTable, kService})) {
    report.map_version = row->version;
  }
  return report;
}

}  // namespace bulrushway
