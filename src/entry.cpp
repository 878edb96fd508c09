#include "entry.h"

#include <algorithm>
#include <utility>

#include "home_regions.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Attempts of a lookup request at most, the first and hedges included. Attempts of a keyed request
// are limited by the retry rules.
constexpr uint32_t kMostAttempts = 6;
// What is known of the other processes is taken over this often: reports come every 200 ms.
constexpr milliseconds kRefreshInterval{50};
// A gate answers at the deadline itself; this covers the way back.
constexpr milliseconds kAnswerGrace{50};

milliseconds Millis(std::chrono::nanoseconds time) { return std::chrono::ceil<milliseconds>(time); }

}  // namespace

// One copy of a request on its way.
struct entry::attempt {
  std::string node;
  request_ticket ticket = 0;
  bool local = false;
  uint64_t id = 0;
  instant sent;
  bool open = true;
};

// A caller's request until its answer.
struct entry::flight {
  uint64_t id = 0;
  std::shared_ptr<http_exchange> exchange;
  dispatch_request request;
  const service_facts* facts = nullptr;
  std::vector<std::string> home_regions;
  instant arrived;
  instant deadline;
  uint32_t attempts = 0;
  uint32_t hedges = 0;
  bool done = false;
  // Set once a copy was handed on whose outcome is unknown.
  bool may_have_run = false;
  std::vector<std::string> tried;
  std::vector<attempt> open;
  std::unique_ptr<timer> retry;
  std::unique_ptr<timer> hedge;
};

struct entry::service_state {
  service_targets targets;
  any_picker picker;
  hedge_policy hedges;
  latency_summary* latency = nullptr;
  uint64_t* answered = nullptr;
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

entry::entry(event_loop& loop, metrics& counters, entry_settings settings, entry_ports ports,
             const fleet_view& known, peer_mesh& peers, gate& own_gate, uint64_t seed)
    : loop_(loop),
      metrics_(counters),
      settings_(std::move(settings)),
      ports_(std::move(ports)),
      known_(known),
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
    state->answered = &metrics_.Counter("bulrush_answered_total", {{"service", service}});
  }
  return *state;
}

void entry::Refresh(instant now) {
  next_refresh_ = now + kRefreshInterval;
  for (auto& [service, state] : services_) {
    state->targets.Refresh(known_, service, settings_.place,
                           [this, now](const node_state& to) { return ports_.may_use(now, to); });
  }
}

void entry::Tick(instant now) {
  if (now >= next_refresh_) Refresh(now);
  EndOverdue(now);
}

void entry::EndOverdue(instant now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const uint64_t id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto found = flights_.find(id);
    if (found == flights_.end()) continue;
    const auto subject = found->second;
    // What was sent and not answered may be running.
    const bool under_way = std::ranges::any_of(subject->open, &attempt::open);
    const bool may_have_run = under_way || subject->may_have_run;
    Refuse(now, subject, refusal_reason::kDeadlinePassed,
           may_have_run ? run_state::kUnknown : run_state::kNotRun, milliseconds{0});
  }
}

void entry::Handle(instant now, std::shared_ptr<http_exchange> exchange) {
  auto subject = std::make_shared<flight>();
  subject->id = next_flight_++;
  subject->exchange = std::move(exchange);
  subject->arrived = now;
  if (!Accept(now, subject)) return;
  flights_.emplace(subject->id, subject);
  subject->exchange->OnClosed([this, subject] {
    subject->done = true;
    CancelAttempts(boot_clock::now(), *subject);
    flights_.erase(subject->id);
  });
  Begin(now, subject);
}

bool entry::Accept(instant now, const std::shared_ptr<flight>& subject) {
  const std::string fallback = settings_.node + "-" + std::to_string(subject->id);
  auto parsed = ParseCallerRequest(subject->exchange->request(), settings_.deadlines, fallback);
  const auto refuse = [&](refusal_reason reason, const std::string& detail) {
    Refuse(now, subject, reason, run_state::kNotRun, Millis(RetryAfterHint(reason)), detail);
    return false;
  };
  if (!parsed) {
    subject->request.request_id = fallback;
    return refuse(refusal_reason::kBadRequest, parsed.error().message);
  }
  subject->request = std::move(*parsed);
  dispatch_request& request = subject->request;
  subject->deadline = now + request.time_left;
  if (ports_.stopping()) return refuse(refusal_reason::kStopping, "This process is stopping.");
  if (!ports_.configured()) {
    return refuse(refusal_reason::kNoConfiguration,
                  "This process has not received a configuration yet.");
  }
  subject->facts = ports_.find_service(request.service);
  if (subject->facts == nullptr) {
    return refuse(refusal_reason::kUnknownService,
                  "There is no service \"" + request.service + "\".");
  }
  if (request.request.body.size() > settings_.max_body) {
    return refuse(refusal_reason::kBodyTooLarge, "The body is too large.");
  }
  if (subject->facts->keyed && request.key_name.empty()) {
    return refuse(refusal_reason::kBadRequest,
                  "The service \"" + request.service + "\" needs the header X-Bulrush-Key.");
  }
  if (flights_.size() >= settings_.max_requests) {
    return refuse(refusal_reason::kQueueFull, "This process has too many requests under way.");
  }
  if (ports_.idempotent_route(request)) request.idempotent = true;
  subject->home_regions = ports_.home_regions(request);
  if (!AllowsRegion(subject->home_regions, settings_.place.region)) {
    return refuse(refusal_reason::kHomeRegion,
                  "The request is bound to other regions; send it there.");
  }
  return true;
}

void entry::Begin(instant now, const std::shared_ptr<flight>& subject) {
  dispatch_request& request = subject->request;
  service_state& state = StateOf(request.service);
  if (state.targets.Size() == 0) Refresh(now);
  deadlines_.emplace(subject->deadline + kAnswerGrace, subject->id);
  extra_attempts_.OnRequest();
  state.hedges.OnRequest();
  if (subject->facts->keyed) {
    const slice_layout& layout = subject->facts->layout;
    const uint32_t partition = PartitionFor(layout, subject->home_regions);
    request.slice = SliceOf(layout, partition, request.key_name);
  }
  if (Attempt(now, subject)) ArmHedge(now, subject);
}

bool entry::Attempt(instant now, const std::shared_ptr<flight>& subject) {
  const member_record* to = ChooseTarget(now, *subject);
  if (to == nullptr) {
    const bool keyed = subject->facts->keyed;
    ++subject->attempts;
    OnRefused(now, subject, keyed ? refusal_reason::kNoOwner : refusal_reason::kNoTarget,
              run_state::kNotRun, milliseconds{0});
    return false;
  }
  SendTo(now, subject, *to);
  return true;
}

const member_record* entry::ChooseTarget(instant now, flight& subject) {
  const dispatch_request& request = subject.request;
  if (subject.facts->keyed) {
    const node_state* owner = known_.Find(ports_.owner_of(request.service, request.slice));
    return owner == nullptr ? nullptr : &owner->member;
  }
  service_state& state = StateOf(request.service);
  const auto pick = [&](const std::vector<std::string>& regions) {
    return std::visit(
        [&](auto& picker) { return state.targets.Pick(now, picker, subject.tried, regions, rng_); },
        state.picker);
  };
  const member_record* chosen = pick(subject.home_regions);
  if (chosen == nullptr || Pays(now, subject, *chosen)) return chosen;
  // The paid link is used up for requests that have a choice; stay near if anybody is there.
  const member_record* near = pick({settings_.place.region});
  return near == nullptr ? chosen : near;
}

bool entry::Pays(instant now, flight& subject, const member_record& to) {
  if (LocalityOf(settings_.place, to) != target_locality::kRemote) return true;
  return links_.Spill(settings_.place.region, to.region, subject.request.request.body.size(), now);
}

void entry::SendTo(instant now, const std::shared_ptr<flight>& subject, const member_record& to) {
  dispatch_request copy = subject->request;
  copy.time_left = std::max(Millis(subject->deadline - now), milliseconds{1});
  ++subject->attempts;
  const uint64_t number = subject->open.size();
  attempt sent;
  sent.node = to.node;
  sent.sent = now;
  sent.local = to.node == settings_.node;
  if (!subject->facts->keyed) {
    sent.ticket = StateOf(copy.service).targets.Start(now, to.node);
    subject->tried.push_back(to.node);
  }
  subject->open.push_back(sent);
  const auto answered = [this, subject, number](instant then, const dispatch_answer& answer) {
    OnAnswer(then, subject, number, answer);
  };
  if (sent.local) {
    const uint64_t id = own_gate_.Handle(
        now, std::move(copy),
        [answered](const dispatch_answer& answer) { answered(boot_clock::now(), answer); });
    subject->open[number].id = id;
    return;
  }
  links_.Count(settings_.place.region, to.region, copy.request.body.size());
  const uint64_t id = peers_.Send(to.node, std::move(copy), false, answered);
  subject->open[number].id = id;
  if (id != 0) return;
  dispatch_answer unreachable;
  unreachable.reason = refusal_reason::kOwnerUnreachable;
  OnAnswer(now, subject, number, unreachable);
}

void entry::ArmHedge(instant now, const std::shared_ptr<flight>& subject) {
  if (subject->done || subject->facts->keyed || !settings_.hedge) return;
  const auto delay = StateOf(subject->request.service).hedges.Delay(subject->request.idempotent);
  if (!delay || now + *delay >= subject->deadline) return;
  if (!subject->hedge) {
    subject->hedge =
        std::make_unique<timer>(loop_, [this, weak = std::weak_ptr(subject)](instant then) {
          if (const auto late = weak.lock()) OnHedgeTime(then, late);
        });
  }
  subject->hedge->Once(*delay);
}

void entry::OnHedgeTime(instant now, const std::shared_ptr<flight>& subject) {
  const bool enough = subject->hedges >= hedge_policy::kMostHedges;
  if (subject->done || enough || subject->attempts >= kMostAttempts) return;
  ArmHedge(now, subject);
  const member_record* to = ChooseTarget(now, *subject);
  if (to == nullptr) return;
  const std::string& service = subject->request.service;
  if (!StateOf(service).hedges.TakeHedge(subject->hedges, extra_attempts_)) {
    ++metrics_.Counter("bulrush_hedges_denied_total", {{"service", service}});
    return;
  }
  ++subject->hedges;
  ++metrics_.Counter("bulrush_hedges_total", {{"service", service}});
  SendTo(now, subject, *to);
}

void entry::OnAnswer(instant now, const std::shared_ptr<flight>& subject, uint64_t number,
                     const dispatch_answer& answer) {
  attempt& ended = subject->open[number];
  if (!ended.open) return;
  ended.open = false;
  const bool answered = answer.reason == refusal_reason::kNone;
  service_state& state = StateOf(subject->request.service);
  if (!subject->facts->keyed) {
    request_end end = BlamesTarget(answer.reason) ? request_end::kFailed : request_end::kCancelled;
    if (answered) end = request_end::kAnswered;
    if (answer.reason == refusal_reason::kDeadlinePassed) end = request_end::kTimedOut;
    state.targets.Finish(now, ended.node, ended.ticket, end);
    state.targets.MarkCold(ended.node, answer.reason == refusal_reason::kColdStart);
  }
  if (!ended.local) {
    if (const node_state* from = known_.Find(ended.node)) {
      links_.Count(from->member.region, settings_.place.region, answer.answer.body.size());
    }
  }
  if (subject->done) return;
  if (answer.reason == refusal_reason::kNotOwner) ports_.owners_outdated(now);
  if (!answered) {
    OnRefused(now, subject, answer.reason, answer.state, answer.retry_after);
    return;
  }
  state.hedges.OnAnswer(now - subject->arrived, now);
  state.latency->Add(now - subject->arrived);
  ++*state.answered;
  Complete(now, subject, CallerAnswer(subject->request, answer));
}

void entry::OnRefused(instant now, const std::shared_ptr<flight>& subject, refusal_reason reason,
                      run_state state, milliseconds retry_after) {
  if (state == run_state::kUnknown) subject->may_have_run = true;
  // Another copy is still under way and may answer.
  if (std::ranges::any_of(subject->open, &attempt::open)) return;
  const run_state whole = subject->may_have_run ? run_state::kUnknown : run_state::kNotRun;
  const failed_attempt failure{reason, whole, retry_after};
  retry_context context;
  context.idempotent = subject->request.idempotent;
  context.sole_owner = subject->facts->keyed;
  context.attempts = subject->attempts;
  context.deadline = subject->deadline;
  const retry_decision decision = DecideRetry(failure, context, extra_attempts_, now, rng_);
  if (decision.budget_exhausted) ++metrics_.Counter("bulrush_retries_denied_total");
  const bool enough = !subject->facts->keyed && subject->attempts >= kMostAttempts;
  if (decision.action == retry_action::kGiveUp || enough) {
    const auto hint = std::max(decision.retry_after, RetryAfterHint(reason));
    Refuse(now, subject, reason, whole, Millis(hint));
    return;
  }
  metrics_.CountRetry(reason);
  if (decision.action == retry_action::kRetryElsewhere) {
    Attempt(now, subject);
    return;
  }
  subject->tried.clear();
  subject->retry =
      std::make_unique<timer>(loop_, [this, weak = std::weak_ptr(subject)](instant then) {
        const auto again = weak.lock();
        if (again && !again->done) Attempt(then, again);
      });
  subject->retry->Once(decision.delay);
}

void entry::CancelAttempts(instant now, flight& subject) {
  for (attempt& other : subject.open) {
    if (!std::exchange(other.open, false)) continue;
    if (other.local) {
      own_gate_.Cancel(now, other.id);
    } else {
      peers_.Cancel(other.id);
    }
    if (subject.facts->keyed) continue;
    StateOf(subject.request.service)
        .targets.Finish(now, other.node, other.ticket, request_end::kCancelled);
  }
}

void entry::Refuse(instant now, const std::shared_ptr<flight>& subject, refusal_reason reason,
                   run_state state, milliseconds retry_after, const std::string& detail) {
  metrics_.CountRefusal(reason, state);
  const bool elsewhere = reason == refusal_reason::kHomeRegion;
  Complete(now, subject,
           CallerRefusal(subject->request.request_id, reason, state, retry_after, detail,
                         elsewhere ? subject->home_regions : std::vector<std::string>{}));
}

void entry::Complete(instant now, const std::shared_ptr<flight>& subject,
                     const http_answer& answer) {
  subject->done = true;
  if (subject->facts != nullptr) CancelAttempts(now, *subject);
  subject->exchange->Reply(answer);
  flights_.erase(subject->id);
  if (subject->retry) subject->retry->Cancel();
  if (subject->hedge) subject->hedge->Cancel();
}

}  // namespace bulrushway
