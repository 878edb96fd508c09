#include "request_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "home_regions.h"
#include "parse_number.h"
#include "pending_request.h"
#include "stop_reserve.h"
#include "target_choice.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServerError = 500;

// Callers measure their timeout from the moment they send the request. This covers the network time
// of request and answer.
constexpr milliseconds kCallerMargin{8};
// Minimum time before the deadline for another attempt.
constexpr milliseconds kMinTimeForAttempt{15};
// Interval between lookups of the owner of a key.
constexpr milliseconds kOwnerLookupInterval{60};
// Share of the request's time, from arrival to deadline, for which it waits for the owner of its
// key to be known.
constexpr double kOwnerWaitShare = 0.5;
// EWMA weight of a new measurement of a route.
constexpr double kWorkWeight = 0.05;

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
  const auto found = route_stats_.find(route);
  return found == route_stats_.end() ? milliseconds{0}
                                     : milliseconds(static_cast<int64_t>(found->second.work_ms));
}

void request_router::Handle(instant now, std::shared_ptr<http_exchange> exchange) {
  auto pending = std::make_shared<pending_request>();
  pending->id = next_id_++;
  pending->exchange = std::move(exchange);
  pending->arrived = now;
  pending_requests_.emplace(pending->id, pending);
  if (!Accept(now, pending)) return;
  deadlines_.emplace(pending->deadline, pending->id);
  pending->body = pending->exchange->TakeBody();
  pending->exchange->OnClosed([this, id = pending->id] { OnCallerDisconnected(id); });
  BudgetOf(pending->service).OnRequest();
  AttemptWithinQuota(now, pending);
}

bool request_router::MayOverlap(instant now, const http_request& request) const {
  const auto table = ports_.configuration();
  if (!table || ports_.time_until_restart(now)) return false;
  const route* matched = table->Find(HostName(FindHeader(request.headers, "Host")), request.target);
  return matched != nullptr && matched->idempotent;
}

bool request_router::Accept(instant now, const pending_request_ptr& pending) {
  const http_request& request = pending->exchange->request();
  const header_names& names = settings_.headers;
  pending->request_id = FindHeader(request.headers, names.request_id);
  pending->table = ports_.configuration();
  if (!pending->table) {
    Refuse(now, pending, refusal_reason::kNoConfiguration);
    return false;
  }
  if (const auto wait = ports_.time_until_restart(now)) {
    pending->retry_after = *wait;
    Refuse(now, pending, refusal_reason::kStopping);
    return false;
  }
  pending->matched =
      pending->table->Find(HostName(FindHeader(request.headers, "Host")), request.target);
  if (pending->matched == nullptr) {
    if (RefuseIfUncertain(now, pending, "no route")) return false;
    return Reject(now, pending, kNotFound, "no route");
  }
  if (pending->request_id.empty()) return Reject(now, pending, kBadRequest, "no request id");
  if (!IdentifyWorkspace(now, pending)) return false;
  pending->service = ChooseService(*pending->matched, pending->request_id);
  const service_policy* policy = pending->table->FindService(pending->service);
  pending->keyed = policy != nullptr && policy->keyed;
  if (pending->keyed) {
    pending->key = ParseNumber<uint32_t>(FindHeader(request.headers, names.key));
    if (!pending->key || *pending->key > kLastKey) {
      // A newer configuration may serve the route without keys.
      if (RefuseIfUncertain(now, pending, "no valid key")) return false;
      return Reject(now, pending, kBadRequest, "no valid key");
    }
  }
  const auto requested_timeout =
      ParseNumber<uint64_t>(FindHeader(request.headers, names.time_left));
  milliseconds limit = pending->matched->timeout;
  if (requested_timeout) limit = std::min(limit, milliseconds(*requested_timeout));
  // Time spent before this attempt is charged to the latency target.
  route_stats& stats = route_stats_[pending->matched->name];
  const milliseconds timeout = requested_timeout ? milliseconds(*requested_timeout) : limit;
  stats.longest_timeout = std::max(stats.longest_timeout, timeout);
  pending->on_time_until =
      now + pending->matched->latency_target - (stats.longest_timeout - timeout) - kCallerMargin;
  pending->deadline =
      std::min(now + std::max(limit - kCallerMargin, milliseconds{1}), ports_.latest_deadline());
  return true;
}

const node_state* request_router::ChooseNode(instant now, pending_request& pending,
                                             refusal_reason& reason) {
  if (!pending.keyed) {
    reason = refusal_reason::kNoTarget;
    const auto stats = route_stats_.find(pending.matched->name);
    const double bytes = stats == route_stats_.end() ? 0 : stats->second.bytes;
    return ChooseTarget(now, fleet_.OfService(pending.service),
                        {pending.home_regions, pending.tried, bytes,
                         ExpectedWork(pending.matched->name), pending.body.size()},
                        rng_);
  }
  const std::string owner = OwnerOf(pending);
  reason = refusal_reason::kNoOwner;
  if (owner.empty()) return nullptr;
  const node_state* node = fleet_.Find(owner);
  // Neither directly nor through a relay.
  if (node != nullptr && !AllowsRegion(pending.home_regions, node->member.region)) {
    reason = refusal_reason::kHomeRegion;
    return nullptr;
  }
  reason = refusal_reason::kOwnerUnreachable;
  if (node == nullptr || !node->reachable || !node->reported) return nullptr;
  if (node->TargetLeft(now, ports_.drain_limit())) {
    reason = refusal_reason::kMoving;
    return nullptr;
  }
  return node;
}

void request_router::Attempt(instant now, const pending_request_ptr& pending) {
  if (pending->finished) return;
  const auto left = duration_cast<milliseconds>(pending->deadline - now);
  if (left < kMinTimeForAttempt) return Refuse(now, pending, refusal_reason::kDeadlineTooShort);
  const instant latest = ports_.latest_deadline();
  if (pending->deadline >= latest &&
      !EndsBeforeStop(now, latest, ExpectedWork(pending->matched->name))) {
    pending->retry_after = ports_.time_until_restart(now).value_or(milliseconds{0});
    return Refuse(now, pending, refusal_reason::kStopping);
  }
  refusal_reason reason = refusal_reason::kNone;
  const node_state* to = ChooseNode(now, *pending, reason);
  if (to != nullptr) return SendTo(now, pending, *to, nullptr);
  if (reason == refusal_reason::kOwnerUnreachable && SendThroughRelay(now, pending, reason)) return;
  // The owner may become known shortly.
  const bool may_wait =
      pending->keyed && reason != refusal_reason::kHomeRegion &&
      reason != refusal_reason::kNoHomeRelay &&
      now - pending->arrived < kOwnerWaitShare * (pending->deadline - pending->arrived);
  if (may_wait) {
    pending->last_reason = reason;
    return ScheduleAttempt(now, pending, kOwnerLookupInterval);
  }
  if (!pending->tried.empty() && pending->last_reason != refusal_reason::kNone) {
    reason = pending->last_reason;
  }
  Refuse(now, pending, reason);
}

void request_router::UpdateRouteStats(const pending_request& pending,
                                      const dispatch_answer& answer) {
  constexpr double kPercent = 100;
  const auto work = static_cast<double>(answer.work.count()) * kPercent /
                    std::max(1U, answer.target.slowness_percent);
  const auto bytes = static_cast<double>(pending.body.size() + answer.answer.body.size());
  route_stats& stats = route_stats_[pending.matched->name];
  if (stats.work_ms == 0) {
    stats.work_ms = work;
    stats.bytes = bytes;
  }
  stats.work_ms += kWorkWeight * (work - stats.work_ms);
  stats.bytes += kWorkWeight * (bytes - stats.bytes);
}

bool request_router::TakeRetry(pending_request& pending) {
  if (pending.offers == 0) return true;
  if (pending.offers >= pending.matched->max_attempts) return false;
  return BudgetOf(pending.service).Take();
}

void request_router::OnAnswer(instant now, const pending_request_ptr& pending, uint64_t attempt,
                              const std::string& node, dispatch_answer answer) {
  fleet_.OnAnswer(now, node, answer);
  if (pending->finished || attempt != pending->attempt) return;
  pending->outstanding = false;
  if (answer.sent_to_target) ++pending->offers;
  const bool idempotent = pending->matched->idempotent;
  if (answer.reason == refusal_reason::kNone) {
    const bool failed = answer.answer.status >= kServerError;
    if (failed && idempotent && !pending->keyed &&
        pending->deadline - now > 2 * ExpectedWork(pending->matched->name) &&
        pending->tries < kMaxTries && TakeRetry(*pending)) {
      pending->may_have_run = true;
      metrics_.CountRetry(refusal_reason::kTargetCrashed);
      return Attempt(now, pending);
    }
    if (!failed) {
      UpdateRouteStats(*pending, answer);
    }
    return Complete(now, pending, std::move(answer.answer), "answered");
  }
  pending->last_reason = answer.reason;
  if (answer.state == run_state::kUnknown) pending->may_have_run = true;
  if (answer.retry_after.count() > 0) {
    pending->retry_after = pending->retry_after.count() > 0
                               ? std::min(pending->retry_after, answer.retry_after)
                               : answer.retry_after;
  }
  if (pending->may_have_run && !idempotent) return Refuse(now, pending, answer.reason);
  metrics_.CountRetry(answer.reason);
  if (pending->keyed) {
    const bool retryable = IsOwnerMoving(answer.reason) ||
                           answer.reason == refusal_reason::kOwnerUnreachable ||
                           answer.reason == refusal_reason::kTargetUnreachable;
    if (!retryable || !TakeRetry(*pending)) return Refuse(now, pending, answer.reason);
    const bool has_new_owner =
        pending->tries < kMaxTries && fleet_.Find(answer.owner) != nullptr &&
        owner_hints_.Add(pending->service, *pending->key, answer.owner, pending->tried);
    if (has_new_owner) return Attempt(now, pending);
    const milliseconds wait = std::max(answer.retry_after, kOwnerLookupInterval);
    if (now + wait + ExpectedWork(pending->matched->name) > pending->deadline) {
      return Refuse(now, pending, answer.reason);
    }
    return ScheduleAttempt(now, pending, std::min(wait, 4 * kOwnerLookupInterval));
  }
  if (pending->tries >= kMaxTries || !TakeRetry(*pending)) {
    return Refuse(now, pending, answer.reason);
  }
  Attempt(now, pending);
}

void request_router::ScheduleAttempt(instant now, const pending_request_ptr& pending,
                                     milliseconds wait) {
  scheduled_attempts_.emplace(now + wait, pending->id);
}

std::string request_router::OwnerOf(const pending_request& pending) const {
  std::string hinted = owner_hints_.Find(pending.service, *pending.key);
  return hinted.empty() ? ports_.owner_of(pending.service, *pending.key) : hinted;
}

void request_router::OnOwnersChanged(instant now) {
  owner_hints_.Clear();
  std::multimap<instant, uint64_t> waiting;
  waiting.swap(scheduled_attempts_);
  for (const auto& [until, id] : waiting) {
    const auto found = pending_requests_.find(id);
    if (found == pending_requests_.end()) continue;
    const pending_request_ptr pending = found->second;
    Attempt(now, pending);
  }
}

bool request_router::AttemptMayHaveRun(const pending_request& pending) const {
  return pending.at_own_gate ? gate_.MayHaveRun(pending.ticket) : mesh_.MayHaveRun(pending.ticket);
}

void request_router::RefuseAll(instant now) {
  const std::map<uint64_t, pending_request_ptr> remaining = pending_requests_;
  for (const auto& [id, pending] : remaining) {
    if (pending->outstanding && AttemptMayHaveRun(*pending)) pending->may_have_run = true;
    Refuse(now, pending, refusal_reason::kStopping);
  }
}

void request_router::Tick(instant now) {
  if (now >= ports_.latest_deadline()) RefuseAll(now);
  while (!scheduled_attempts_.empty() && scheduled_attempts_.begin()->first <= now) {
    const uint64_t id = scheduled_attempts_.begin()->second;
    scheduled_attempts_.erase(scheduled_attempts_.begin());
    const auto found = pending_requests_.find(id);
    if (found == pending_requests_.end() || found->second->outstanding) continue;
    const pending_request_ptr pending = found->second;
    Attempt(now, pending);
  }
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const uint64_t id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto found = pending_requests_.find(id);
    if (found == pending_requests_.end()) continue;
    const pending_request_ptr pending = found->second;
    // A request that was sent and not answered may be running.
    if (pending->outstanding && AttemptMayHaveRun(*pending)) pending->may_have_run = true;
    Refuse(now, pending, refusal_reason::kDeadlinePassed);
  }
}

}  // namespace bulrushway
