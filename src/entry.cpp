#include "entry.h"

#include <algorithm>
#include <utility>

#include "home_regions.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Maximum attempts of a lookup request, including the first attempt and hedges. The retry rules
// limit the attempts of keyed requests.
constexpr uint32_t kMaxLookupAttempts = 6;
// Interval at which the targets are refreshed from the fleet view; nodes report every 200 ms.
constexpr milliseconds kRefreshInterval{50};
// A gate answers at the deadline at the latest. The entry waits this much longer for that answer to
// arrive.
constexpr milliseconds kAnswerGrace{50};

milliseconds CeilToMilliseconds(std::chrono::nanoseconds time) {
  return std::chrono::ceil<milliseconds>(time);
}

}  // namespace

// One copy of a request, sent to the local gate or to a peer.
struct entry::attempt {
  std::string node;
  request_ticket ticket = 0;
  bool local = false;
  uint64_t id = 0;
  instant sent_at;
  bool open = true;
};

// State of a caller's request from its arrival to its answer.
struct entry::pending_request {
  uint64_t id = 0;
  std::shared_ptr<http_exchange> exchange;
  dispatch_request request;
  const service_info* service = nullptr;
  std::vector<std::string> home_regions;
  instant arrived_at;
  instant deadline;
  uint32_t attempts = 0;
  uint32_t hedges = 0;
  bool done = false;
  // Set once an attempt ends with an unknown outcome.
  bool may_have_run = false;
  std::vector<std::string> tried;
  std::vector<attempt> sent_attempts;
  std::unique_ptr<timer> retry_timer;
  std::unique_ptr<timer> hedge_timer;
};

struct entry::service_state {
  service_targets targets;
  any_picker picker;
  hedge_policy hedging;
  latency_summary* latency = nullptr;
  uint64_t* answered_counter = nullptr;
};

result<any_picker> MakePicker(const std::string& name) {
  if (name == "scored") return scored_picker{};
  if (name == "random") return random_picker{};
  if (name == "round_robin") return round_robin_picker{};
  if (name == "least_requests") return least_requests_picker{};
  if (name == "two_choices") return two_choices_picker{};
  if (name == "marginal_utility") return marginal_utility_picker{};
  return Failure(error_kind::kUser, "choose policy", "",
                 "There is no policy \"" + name +
                     "\"; there are scored, random, round_robin, least_requests, two_choices and "
                     "marginal_utility.");
}

entry::entry(event_loop& loop, metrics& counters, entry_settings settings,
             entry_callbacks callbacks, const fleet_view& fleet, peer_mesh& peers, gate& own_gate,
             uint64_t seed)
    : loop_(loop),
      metrics_(counters),
      settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      fleet_(fleet),
      peers_(peers),
      own_gate_(own_gate),
      rng_(seed),
      links_(link_settings{}) {}

entry::~entry() = default;

entry::service_state& entry::StateOf(const std::string& service) {
  auto& state = services_[service];
  if (!state) {
    state = std::make_unique<service_state>();
    state->picker = settings_.picker;
    state->latency = &metrics_.Latency("bulrush_request_seconds", {{"service", service}});
    state->answered_counter = &metrics_.Counter("bulrush_answered_total", {{"service", service}});
  }
  return *state;
}

void entry::RefreshTargets(instant now) {
  next_refresh_ = now + kRefreshInterval;
  for (auto& [service, state] : services_) {
    state->targets.Refresh(fleet_, service, settings_.location, [this, now](const node_state& to) {
      return callbacks_.may_use(now, to);
    });
  }
}

void entry::Tick(instant now) {
  if (now >= next_refresh_) RefreshTargets(now);
  ExpireOverdue(now);
}

void entry::ExpireOverdue(instant now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const uint64_t id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto found = pending_requests_.find(id);
    if (found == pending_requests_.end()) continue;
    const auto pending = found->second;
    // An unanswered attempt may be running at its target.
    const bool under_way = std::ranges::any_of(pending->sent_attempts, &attempt::open);
    const bool may_have_run = under_way || pending->may_have_run;
    Refuse(now, pending, refusal_reason::kDeadlinePassed,
           may_have_run ? run_state::kUnknown : run_state::kNotRun, milliseconds{0});
  }
}

void entry::Handle(instant now, std::shared_ptr<http_exchange> exchange) {
  auto pending = std::make_shared<pending_request>();
  pending->id = next_request_id_++;
  pending->exchange = std::move(exchange);
  pending->arrived_at = now;
  if (!Accept(now, pending)) return;
  pending_requests_.emplace(pending->id, pending);
  pending->exchange->OnClosed([this, pending] {
    pending->done = true;
    CancelAttempts(boot_clock::now(), *pending);
    pending_requests_.erase(pending->id);
  });
  Begin(now, pending);
}

bool entry::Accept(instant now, const std::shared_ptr<pending_request>& pending) {
  const std::string fallback = settings_.node + "-" + std::to_string(pending->id);
  auto parsed = ParseCallerRequest(pending->exchange->request(), settings_.deadlines, fallback);
  const auto refuse = [&](refusal_reason reason, const std::string& detail) {
    Refuse(now, pending, reason, run_state::kNotRun, CeilToMilliseconds(RetryAfterHint(reason)),
           detail);
    return false;
  };
  if (!parsed) {
    pending->request.request_id = fallback;
    return refuse(refusal_reason::kBadRequest, parsed.error().message);
  }
  pending->request = std::move(*parsed);
  dispatch_request& request = pending->request;
  pending->deadline = now + request.time_left;
  if (callbacks_.stopping()) return refuse(refusal_reason::kStopping, "This process is stopping.");
  if (!callbacks_.configured()) {
    return refuse(refusal_reason::kNoConfiguration,
                  "This process has not received a configuration yet.");
  }
  pending->service = callbacks_.find_service(request.service);
  if (pending->service == nullptr) {
    return refuse(refusal_reason::kUnknownService,
                  "There is no service \"" + request.service + "\".");
  }
  if (request.request.body.size() > settings_.max_body_bytes) {
    return refuse(refusal_reason::kBodyTooLarge, "The body is too large.");
  }
  if (pending->service->keyed && request.key_name.empty()) {
    return refuse(refusal_reason::kBadRequest,
                  "The service \"" + request.service + "\" needs the header X-Bulrush-Key.");
  }
  if (pending_requests_.size() >= settings_.max_requests) {
    return refuse(refusal_reason::kQueueFull, "This process has too many requests in flight.");
  }
  if (callbacks_.idempotent_route(request)) request.idempotent = true;
  pending->home_regions = callbacks_.home_regions(request);
  if (!AllowsRegion(pending->home_regions, settings_.location.region)) {
    return refuse(refusal_reason::kHomeRegion,
                  "The request is bound to other regions; send it to one of them.");
  }
  return true;
}

void entry::Begin(instant now, const std::shared_ptr<pending_request>& pending) {
  dispatch_request& request = pending->request;
  service_state& state = StateOf(request.service);
  if (state.targets.Size() == 0) RefreshTargets(now);
  deadlines_.emplace(pending->deadline + kAnswerGrace, pending->id);
  extra_attempt_budget_.OnRequest();
  state.hedging.OnRequest();
  if (pending->service->keyed) {
    const slice_layout& layout = pending->service->layout;
    const uint32_t partition = PartitionFor(layout, pending->home_regions);
    request.slice = SliceOf(layout, partition, request.key_name);
  }
  if (StartAttempt(now, pending)) ArmHedge(now, pending);
}

bool entry::StartAttempt(instant now, const std::shared_ptr<pending_request>& pending) {
  const member_record* to = ChooseTarget(now, *pending);
  if (to == nullptr) {
    const bool keyed = pending->service->keyed;
    ++pending->attempts;
    OnRefused(now, pending, keyed ? refusal_reason::kNoOwner : refusal_reason::kNoTarget,
              run_state::kNotRun, milliseconds{0});
    return false;
  }
  SendTo(now, pending, *to);
  return true;
}

const member_record* entry::ChooseTarget(instant now, pending_request& pending) {
  const dispatch_request& request = pending.request;
  if (pending.service->keyed) {
    const node_state* owner = fleet_.Find(callbacks_.owner_of(request.service, request.slice));
    return owner == nullptr ? nullptr : &owner->member;
  }
  service_state& state = StateOf(request.service);
  const auto pick = [&](const std::vector<std::string>& regions) {
    return std::visit(
        [&](auto& picker) { return state.targets.Pick(now, picker, pending.tried, regions, rng_); },
        state.picker);
  };
  const member_record* chosen = pick(pending.home_regions);
  if (chosen == nullptr || ConsumeSpillBudget(now, pending, *chosen)) return chosen;
  // The spill budget of the paid link is exhausted: prefer a target of the own region if there is
  // one.
  const member_record* near = pick({settings_.location.region});
  return near == nullptr ? chosen : near;
}

bool entry::ConsumeSpillBudget(instant now, pending_request& pending, const member_record& to) {
  if (LocalityOf(settings_.location, to) != target_locality::kRemote) return true;
  return links_.TrySpill(settings_.location.region, to.region, pending.request.request.body.size(),
                         now);
}

void entry::SendTo(instant now, const std::shared_ptr<pending_request>& pending,
                   const member_record& to) {
  dispatch_request copy = pending->request;
  copy.time_left = std::max(CeilToMilliseconds(pending->deadline - now), milliseconds{1});
  ++pending->attempts;
  const uint64_t attempt_index = pending->sent_attempts.size();
  attempt sent;
  sent.node = to.node;
  sent.sent_at = now;
  sent.local = to.node == settings_.node;
  if (!pending->service->keyed) {
    sent.ticket = StateOf(copy.service).targets.Start(now, to.node);
    pending->tried.push_back(to.node);
  }
  pending->sent_attempts.push_back(sent);
  const auto on_answer = [this, pending, attempt_index](instant then,
                                                        const dispatch_answer& answer) {
    OnAnswer(then, pending, attempt_index, answer);
  };
  if (sent.local) {
    const uint64_t id = own_gate_.Handle(
        now, std::move(copy),
        [on_answer](const dispatch_answer& answer) { on_answer(boot_clock::now(), answer); });
    pending->sent_attempts[attempt_index].id = id;
    return;
  }
  links_.RecordBytes(settings_.location.region, to.region, copy.request.body.size());
  const uint64_t id = peers_.Send(now, to.node, std::move(copy), false, on_answer);
  pending->sent_attempts[attempt_index].id = id;
  if (id != 0) return;
  dispatch_answer unreachable;
  unreachable.reason = refusal_reason::kOwnerUnreachable;
  OnAnswer(now, pending, attempt_index, unreachable);
}

void entry::ArmHedge(instant now, const std::shared_ptr<pending_request>& pending) {
  if (pending->done || pending->service->keyed || !settings_.hedge) return;
  const auto delay = StateOf(pending->request.service).hedging.Delay(pending->request.idempotent);
  if (!delay || now + *delay >= pending->deadline) return;
  if (!pending->hedge_timer) {
    pending->hedge_timer =
        std::make_unique<timer>(loop_, [this, weak = std::weak_ptr(pending)](instant then) {
          if (const auto locked = weak.lock()) OnHedgeTimer(then, locked);
        });
  }
  pending->hedge_timer->Once(*delay);
}

void entry::OnHedgeTimer(instant now, const std::shared_ptr<pending_request>& pending) {
  const bool limit_reached = pending->hedges >= hedge_policy::kMaxHedges;
  if (pending->done || limit_reached || pending->attempts >= kMaxLookupAttempts) return;
  ArmHedge(now, pending);
  const member_record* to = ChooseTarget(now, *pending);
  if (to == nullptr) return;
  const std::string& service = pending->request.service;
  if (!StateOf(service).hedging.TakeHedge(pending->hedges, extra_attempt_budget_)) {
    ++metrics_.Counter("bulrush_hedges_denied_total", {{"service", service}});
    return;
  }
  ++pending->hedges;
  ++metrics_.Counter("bulrush_hedges_total", {{"service", service}});
  SendTo(now, pending, *to);
}

void entry::OnAnswer(instant now, const std::shared_ptr<pending_request>& pending,
                     uint64_t attempt_index, const dispatch_answer& answer) {
  attempt& ended = pending->sent_attempts[attempt_index];
  if (!ended.open) return;
  ended.open = false;
  const bool answered = answer.reason == refusal_reason::kNone;
  service_state& state = StateOf(pending->request.service);
  if (!pending->service->keyed) {
    request_outcome outcome =
        CountsAgainstTarget(answer.reason) ? request_outcome::kFailed : request_outcome::kCancelled;
    if (answered) outcome = request_outcome::kAnswered;
    if (answer.reason == refusal_reason::kDeadlinePassed) outcome = request_outcome::kTimedOut;
    state.targets.Finish(now, ended.node, ended.ticket, outcome);
    state.targets.MarkCold(ended.node, answer.reason == refusal_reason::kColdStart);
  }
  if (!ended.local) {
    if (const node_state* from = fleet_.Find(ended.node)) {
      links_.RecordBytes(from->member.region, settings_.location.region, answer.answer.body.size());
    }
  }
  if (pending->done) return;
  if (answer.reason == refusal_reason::kNotOwner) callbacks_.on_owners_outdated(now);
  if (!answered) {
    OnRefused(now, pending, answer.reason, answer.state, answer.retry_after);
    return;
  }
  state.hedging.OnAnswer(now - pending->arrived_at, now);
  state.latency->Add(now - pending->arrived_at);
  ++*state.answered_counter;
  Complete(now, pending, CallerAnswer(pending->request, answer));
}

void entry::OnRefused(instant now, const std::shared_ptr<pending_request>& pending,
                      refusal_reason reason, run_state state, milliseconds retry_after) {
  if (state == run_state::kUnknown) pending->may_have_run = true;
  // Another attempt is still in flight and may be answered.
  if (std::ranges::any_of(pending->sent_attempts, &attempt::open)) return;
  const run_state request_state = pending->may_have_run ? run_state::kUnknown : run_state::kNotRun;
  const failed_attempt failure{reason, request_state, retry_after};
  retry_context context;
  context.idempotent = pending->request.idempotent;
  context.sole_owner = pending->service->keyed;
  context.attempts = pending->attempts;
  context.deadline = pending->deadline;
  const retry_decision decision = DecideRetry(failure, context, extra_attempt_budget_, now, rng_);
  if (decision.budget_exhausted) ++metrics_.Counter("bulrush_retries_denied_total");
  const bool limit_reached = !pending->service->keyed && pending->attempts >= kMaxLookupAttempts;
  if (decision.action == retry_action::kGiveUp || limit_reached) {
    const auto hint = std::max(decision.retry_after, RetryAfterHint(reason));
    Refuse(now, pending, reason, request_state, CeilToMilliseconds(hint));
    return;
  }
  metrics_.CountRetry(reason);
  if (decision.action == retry_action::kRetryElsewhere) {
    StartAttempt(now, pending);
    return;
  }
  pending->tried.clear();
  pending->retry_timer =
      std::make_unique<timer>(loop_, [this, weak = std::weak_ptr(pending)](instant then) {
        const auto locked = weak.lock();
        if (locked && !locked->done) StartAttempt(then, locked);
      });
  pending->retry_timer->Once(decision.delay);
}

void entry::CancelAttempts(instant now, pending_request& pending) {
  for (attempt& other : pending.sent_attempts) {
    if (!std::exchange(other.open, false)) continue;
    if (other.local) {
      own_gate_.Cancel(now, other.id);
    } else {
      peers_.Cancel(other.id);
    }
    if (pending.service->keyed) continue;
    StateOf(pending.request.service)
        .targets.Finish(now, other.node, other.ticket, request_outcome::kCancelled);
  }
}

void entry::Refuse(instant now, const std::shared_ptr<pending_request>& pending,
                   refusal_reason reason, run_state state, milliseconds retry_after,
                   const std::string& detail) {
  metrics_.CountRefusal(reason, state);
  const bool wrong_region = reason == refusal_reason::kHomeRegion;
  Complete(now, pending,
           CallerRefusal(pending->request.request_id, reason, state, retry_after, detail,
                         wrong_region ? pending->home_regions : std::vector<std::string>{}));
}

void entry::Complete(instant now, const std::shared_ptr<pending_request>& pending,
                     const http_answer& answer) {
  pending->done = true;
  if (pending->service != nullptr) CancelAttempts(now, *pending);
  pending->exchange->Reply(answer);
  pending_requests_.erase(pending->id);
  if (pending->retry_timer) pending->retry_timer->Cancel();
  if (pending->hedge_timer) pending->hedge_timer->Cancel();
}

}  // namespace bulrushway
