#include "request_router.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "home_regions.h"
#include "request_flight.h"
#include "target_choice.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServerError = 500;

// Gates that are asked for one request at most: each refusal costs a round trip.
constexpr uint32_t kMostTries = 4;
// The caller counts its time from the sending of its request; this covers the way here and back.
constexpr milliseconds kCallerMargin{8};
// A plain request waits this long at a busy target while others may have a free slot.
constexpr milliseconds kFirstPatience{40};
// Share of the time left after the work that a request may wait for a slot at its last choice.
constexpr double kLastPatience = 0.7;
// The same for a request whose answer will be late: under lasting overload it would wait in vain.
constexpr double kLatePatience = 0.25;
// Least time left with which another attempt is made.
constexpr milliseconds kLeastAttempt{15};
// Pause before the owner of a key is looked up again.
constexpr milliseconds kOwnerRetry{60};
// Share of the time left that a request waits for the owner of its key to be known.
constexpr double kOwnerPatience = 0.5;
// Weight of a new measurement in the usual work of a route.
constexpr double kWorkWeight = 0.05;

template <class Number>
std::optional<Number> ParseNumber(const std::string& text) {
  Number value{};
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (problem != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string HostName(std::string host) {
  host = host.substr(0, host.find(':'));
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return host;
}

bool IsOwnerMoving(refusal_reason reason) {
  return reason == refusal_reason::kMoving || reason == refusal_reason::kNotOwner ||
         reason == refusal_reason::kNoOwner || reason == refusal_reason::kLeaseLapsed;
}

}  // namespace

request_router::request_router(decision_log& log, metrics& counters,
                               request_router_settings settings, request_router_ports ports,
                               fleet_view& fleet, peer_mesh& mesh, target_gate& gate, uint64_t seed)
    : log_(log),
      metrics_(counters),
      settings_(std::move(settings)),
      ports_(std::move(ports)),
      fleet_(fleet),
      mesh_(mesh),
      gate_(gate),
      rng_(seed) {}

request_router::~request_router() = default;

retry_budget& request_router::BudgetOf(const std::string& service) {
  return budgets_.try_emplace(service, settings_.retry_share, settings_.retry_burst).first->second;
}

milliseconds request_router::ExpectedWork(const std::string& route) const {
  const auto found = experience_.find(route);
  return found == experience_.end() ? milliseconds{0}
                                    : milliseconds(static_cast<int64_t>(found->second.work_ms));
}

void request_router::Handle(instant now, std::shared_ptr<http_exchange> exchange) {
  auto subject = std::make_shared<flight>();
  subject->id = next_flight_++;
  subject->exchange = std::move(exchange);
  subject->arrived = now;
  flights_.emplace(subject->id, subject);
  if (!Accept(now, subject)) return;
  deadlines_.emplace(subject->deadline, subject->id);
  subject->body = subject->exchange->TakeBody();
  subject->exchange->OnClosed([this, id = subject->id] { OnCallerLeft(id); });
  BudgetOf(subject->service).OnRequest();
  Attempt(now, subject);
}

bool request_router::Accept(instant now, const flight_ptr& subject) {
  const http_request& request = subject->exchange->request();
  const header_names& names = settings_.headers;
  const auto answer = [&](int status, const std::string& outcome) {
    Complete(now, subject, http_answer{status, {}, {}}, outcome);
    return false;
  };
  subject->request_id = FindHeader(request.headers, names.request_id);
  subject->table = ports_.configuration();
  if (!subject->table) {
    GiveUp(now, subject, refusal_reason::kNoConfiguration);
    return false;
  }
  if (const auto back = ports_.stopping(now)) {
    subject->retry_after = *back;
    GiveUp(now, subject, refusal_reason::kStopping);
    return false;
  }
  subject->matched =
      subject->table->Find(HostName(FindHeader(request.headers, "Host")), request.target);
  if (subject->matched == nullptr) return answer(kNotFound, "no route");
  if (subject->request_id.empty()) return answer(kBadRequest, "no request id");
  subject->service = ChooseService(*subject->matched, subject->request_id);
  const service_policy* policy = subject->table->FindService(subject->service);
  subject->keyed = policy != nullptr && policy->keyed;
  if (subject->keyed) {
    subject->key = ParseNumber<uint32_t>(FindHeader(request.headers, names.key));
    if (!subject->key || *subject->key > kLastKey) return answer(kBadRequest, "no valid key");
  }
  const auto wanted = ParseNumber<uint64_t>(FindHeader(request.headers, names.time_left));
  milliseconds limit = subject->matched->timeout;
  if (wanted) limit = std::min(limit, milliseconds(*wanted));
  // Time that passed before this attempt counts against the latency target.
  route_experience& known = experience_[subject->matched->name];
  const milliseconds said = wanted ? milliseconds(*wanted) : limit;
  known.full_time = std::max(known.full_time, said);
  subject->target =
      now + subject->matched->latency_target - (known.full_time - said) - kCallerMargin;
  subject->deadline =
      std::min(now + std::max(limit - kCallerMargin, milliseconds{1}), ports_.latest_deadline());
  return true;
}

const node_state* request_router::Choose(instant now, flight& subject, refusal_reason& why_none) {
  if (!subject.keyed) {
    why_none = refusal_reason::kNoTarget;
    const auto known = experience_.find(subject.matched->name);
    const double bytes = known == experience_.end() ? 0 : known->second.bytes;
    return ChooseTarget(now, fleet_.OfService(subject.service),
                        {subject.matched->home_regions, subject.tried, bytes}, rng_);
  }
  const std::string owner = OwnerOf(subject);
  why_none = refusal_reason::kNoOwner;
  if (owner.empty()) return nullptr;
  const node_state* node = fleet_.Find(owner);
  why_none = refusal_reason::kOwnerUnreachable;
  if (node == nullptr || !node->reachable || !node->reported) return nullptr;
  if (!AllowsRegion(subject.matched->home_regions, node->member.region)) {
    why_none = refusal_reason::kHomeRegion;
    return nullptr;
  }
  return node;
}

void request_router::Attempt(instant now, const flight_ptr& subject) {
  if (subject->finished) return;
  const auto left = duration_cast<milliseconds>(subject->deadline - now);
  if (left < kLeastAttempt) return GiveUp(now, subject, refusal_reason::kDeadlineTooShort);
  refusal_reason why_none = refusal_reason::kNone;
  const node_state* to = Choose(now, *subject, why_none);
  if (to != nullptr) return SendTo(now, subject, *to, nullptr);
  if (why_none == refusal_reason::kOwnerUnreachable && SendThroughRelay(now, subject)) return;
  // An owner that is not known yet may be known in a moment.
  const bool wait =
      subject->keyed && why_none != refusal_reason::kHomeRegion &&
      now - subject->arrived < kOwnerPatience * (subject->deadline - subject->arrived);
  if (wait) {
    subject->last_reason = why_none;
    return Park(now, subject, kOwnerRetry);
  }
  if (!subject->tried.empty() && subject->last_reason != refusal_reason::kNone) {
    why_none = subject->last_reason;
  }
  GiveUp(now, subject, why_none);
}

milliseconds request_router::Patience(const flight& subject, milliseconds spare,
                                      milliseconds on_time) const {
  spare = std::max(spare, milliseconds{0});
  const auto longest = duration_cast<milliseconds>(spare * kLastPatience);
  // A key has no other owner.
  if (subject.keyed) return longest;
  const bool others = subject.tries + 1 < kMostTries;
  if (others && on_time > kFirstPatience) return std::min(longest, kFirstPatience);
  // Wait as long as the answer can be on time; what is late anyway waits only while load passes.
  return std::min(longest, std::max(on_time, duration_cast<milliseconds>(spare * kLatePatience)));
}

dispatch_request request_router::MakeDispatch(instant now, const flight& subject,
                                              const node_state& to) const {
  const http_request& asked = subject.exchange->request();
  dispatch_request request;
  request.request_id = subject.request_id;
  request.caller = settings_.service;
  request.service = subject.service;
  request.route = subject.matched->name;
  request.key = subject.key;
  request.idempotent = subject.matched->idempotent;
  request.large_answer = subject.matched->large_answers;
  request.rank = subject.matched->rank;
  request.home_regions = subject.matched->home_regions;
  const auto way_back = duration_cast<milliseconds>(to.round_trip / 2);
  const auto left = duration_cast<milliseconds>(subject.deadline - now) - way_back;
  request.time_left = std::max(left, milliseconds{1});
  request.expected_work = ExpectedWork(subject.matched->name);
  const auto target_left = duration_cast<milliseconds>(subject.target - now) - way_back;
  request.target_left = target_left;
  request.patience =
      Patience(subject, left - request.expected_work, target_left - request.expected_work);
  request.request.method = asked.method;
  request.request.target = asked.target;
  request.request.headers = asked.headers;
  request.request.body = subject.body;
  return request;
}

bool request_router::SendThroughRelay(instant now, const flight_ptr& subject) {
  const node_state* owner = fleet_.Find(OwnerOf(*subject));
  if (owner == nullptr || subject->tries >= kMostTries) return false;
  const node_state* relay = ChooseRelay(now, fleet_, *owner, subject->tried, rng_);
  if (relay == nullptr) return false;
  metrics_.Counter("bulrushway_requests_relayed")++;
  SendTo(now, subject, *owner, relay);
  return true;
}

void request_router::SendTo(instant now, const flight_ptr& subject, const node_state& to,
                            const node_state* relay) {
  const std::string node = relay == nullptr ? to.member.node : relay->member.node;
  const bool own = to.locality == node_locality::kSelf;
  dispatch_request request = MakeDispatch(now, *subject, to);
  if (relay != nullptr) request.relay_to = to.member.node;
  const uint64_t attempt = ++subject->attempt;
  ++subject->tries;
  subject->tried.push_back(node);
  subject->node = node;
  subject->outstanding = true;
  subject->at_own_gate = own;
  subject->ticket = 0;
  fleet_.OnSent(node);
  const auto done = [this, subject, attempt, node](instant answered, dispatch_answer answer) {
    OnAnswer(answered, subject, attempt, node, std::move(answer));
  };
  if (own) {
    const uint64_t ticket = gate_.Handle(now, std::move(request), done);
    if (subject->attempt == attempt) subject->ticket = ticket;
    return;
  }
  subject->ticket = mesh_.Send(node, std::move(request), subject->matched->large_answers, done);
  if (subject->ticket != 0) return;
  dispatch_answer unreachable;
  unreachable.reason = refusal_reason::kOwnerUnreachable;
  OnAnswer(now, subject, attempt, node, std::move(unreachable));
}

void request_router::NoteExperience(const flight& subject, const dispatch_answer& answer) {
  const auto work = static_cast<double>(answer.work.count());
  const auto bytes = static_cast<double>(subject.body.size() + answer.answer.body.size());
  route_experience& known = experience_[subject.matched->name];
  if (known.work_ms == 0) {
    known.work_ms = work;
    known.bytes = bytes;
  }
  known.work_ms += kWorkWeight * (work - known.work_ms);
  known.bytes += kWorkWeight * (bytes - known.bytes);
}

bool request_router::MayOfferAgain(flight& subject) {
  if (subject.offers == 0) return true;
  if (subject.offers >= subject.matched->attempts) return false;
  return BudgetOf(subject.service).Take();
}

void request_router::OnAnswer(instant now, const flight_ptr& subject, uint64_t attempt,
                              const std::string& node, dispatch_answer answer) {
  fleet_.OnAnswer(now, node, answer);
  if (subject->finished || attempt != subject->attempt) return;
  subject->outstanding = false;
  if (answer.offered) ++subject->offers;
  const bool idempotent = subject->matched->idempotent;
  if (answer.reason == refusal_reason::kNone) {
    const bool failed = answer.answer.status >= kServerError;
    if (failed && idempotent && !subject->keyed &&
        subject->deadline - now > 2 * ExpectedWork(subject->matched->name) &&
        subject->tries < kMostTries && MayOfferAgain(*subject)) {
      metrics_.CountRetry(refusal_reason::kTargetCrashed);
      return Attempt(now, subject);
    }
    if (!failed) {
      NoteExperience(*subject, answer);
    }
    return Complete(now, subject, std::move(answer.answer), "answered");
  }
  subject->last_reason = answer.reason;
  if (answer.state == run_state::kUnknown) subject->may_have_run = true;
  if (answer.retry_after.count() > 0) {
    subject->retry_after = subject->retry_after.count() > 0
                               ? std::min(subject->retry_after, answer.retry_after)
                               : answer.retry_after;
  }
  if (subject->may_have_run && !idempotent) return GiveUp(now, subject, answer.reason);
  metrics_.CountRetry(answer.reason);
  if (subject->keyed) {
    const bool again = IsOwnerMoving(answer.reason) ||
                       answer.reason == refusal_reason::kOwnerUnreachable ||
                       answer.reason == refusal_reason::kTargetUnreachable;
    if (!again || !MayOfferAgain(*subject)) return GiveUp(now, subject, answer.reason);
    const bool other_known =
        subject->tries < kMostTries && fleet_.Find(answer.owner) != nullptr &&
        owner_hints_.Learn(subject->service, *subject->key, answer.owner, subject->tried);
    if (other_known) return Attempt(now, subject);
    const milliseconds wait = std::max(answer.retry_after, kOwnerRetry);
    if (now + wait + ExpectedWork(subject->matched->name) > subject->deadline) {
      return GiveUp(now, subject, answer.reason);
    }
    return Park(now, subject, std::min(wait, 4 * kOwnerRetry));
  }
  if (subject->tries >= kMostTries || !MayOfferAgain(*subject)) {
    return GiveUp(now, subject, answer.reason);
  }
  Attempt(now, subject);
}

void request_router::Park(instant now, const flight_ptr& subject, milliseconds wait) {
  parked_.emplace(now + wait, subject->id);
}

std::string request_router::OwnerOf(const flight& subject) const {
  std::string named = owner_hints_.Find(subject.service, *subject.key);
  return named.empty() ? ports_.owner_of(subject.service, *subject.key) : named;
}

void request_router::OnOwnersChanged(instant now) {
  owner_hints_.Clear();
  std::multimap<instant, uint64_t> waiting;
  waiting.swap(parked_);
  for (const auto& [until, id] : waiting) {
    const auto found = flights_.find(id);
    if (found == flights_.end()) continue;
    const flight_ptr subject = found->second;
    Attempt(now, subject);
  }
}

void request_router::EndAll(instant now) {
  const std::map<uint64_t, flight_ptr> last = flights_;
  for (const auto& [id, subject] : last) {
    if (subject->outstanding) subject->may_have_run = true;
    GiveUp(now, subject, refusal_reason::kStopping);
  }
}

void request_router::Tick(instant now) {
  if (now >= ports_.latest_deadline()) EndAll(now);
  while (!parked_.empty() && parked_.begin()->first <= now) {
    const uint64_t id = parked_.begin()->second;
    parked_.erase(parked_.begin());
    const auto found = flights_.find(id);
    if (found == flights_.end() || found->second->outstanding) continue;
    const flight_ptr subject = found->second;
    Attempt(now, subject);
  }
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const uint64_t id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto found = flights_.find(id);
    if (found == flights_.end()) continue;
    const flight_ptr subject = found->second;
    // What was sent and not answered may be running.
    if (subject->outstanding) subject->may_have_run = true;
    GiveUp(now, subject, refusal_reason::kDeadlinePassed);
  }
}

}  // namespace bulrushway
