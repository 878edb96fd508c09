#include "gate.h"

#include <algorithm>
#include <random>
#include <utility>

#include "gate_job.h"

namespace bulrushway {
namespace {

// A request is not sent to the target with less time than this to its deadline or to the expiry of
// the lease.
constexpr std::chrono::milliseconds kMinRunTime{2};
constexpr std::chrono::milliseconds kShortRetryAfter{50};
// A crash is reported once per open connection. Reports within this time of the first one belong to
// the same crash.
constexpr std::chrono::milliseconds kCrashMergeWindow{200};

std::chrono::milliseconds CeilToMilliseconds(std::chrono::nanoseconds time) {
  return std::chrono::ceil<std::chrono::milliseconds>(time);
}

}  // namespace

gate::gate(event_loop& loop, metrics& counters, const gate_settings& settings,
           gate_callbacks callbacks)
    : metrics_(counters),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      client_(loop, settings.connections),
      queue_(queue_settings{settings.max_queue_wait}),
      cap_(concurrency_settings{settings.slots}),
      memory_(idempotency_settings{}),
      poison_(poison_settings{}),
      crash_seed_(uint64_t{std::random_device{}()} << 32) {}

gate::~gate() = default;

gate::ticket gate::Handle(instant now, dispatch_request request, reply done) {
  auto pending = std::make_shared<job>();
  pending->id = next_ticket_++;
  pending->arrived_at = now;
  pending->deadline = now + request.time_left;
  pending->keyed = callbacks_.keyed();
  pending->request = std::move(request);
  pending->done = std::move(done);
  pending->fingerprint =
      MakeRequestFingerprint(pending->request.service, PathOf(pending->request.request.target),
                             pending->request.key_name, pending->request.request.body);
  const ticket id = pending->id;
  jobs_.emplace(id, pending);
  if (pending->keyed) ++jobs_per_slice_[pending->request.slice];
  if (const auto refusal = CheckAllowed(now, *pending)) {
    Refuse(pending, refusal->reason, run_state::kNotRun, refusal->retry_after);
    return id;
  }
  if (ResolveFromMemory(now, pending)) return id;
  Admit(now, pending);
  return id;
}

std::optional<gate_refusal> gate::CheckAllowed(instant now, job& pending) {
  if (auto refusal = callbacks_.check_rules(now, pending.request)) return refusal;
  if (poison_.Quarantined(pending.fingerprint, now)) {
    return gate_refusal{refusal_reason::kQuarantined, {}};
  }
  if (!pending.keyed) return std::nullopt;
  const auto epoch = callbacks_.serving_epoch(now, pending.request.slice);
  if (!epoch) return callbacks_.not_served_reason(now, pending.request.slice);
  pending.epoch = *epoch;
  return std::nullopt;
}

void gate::Admit(instant now, const std::shared_ptr<job>& pending) {
  if (queue_.size() == 0 && cap_.Admits(static_cast<uint32_t>(running_.size()))) {
    SendToTarget(now, pending);
    return;
  }
  const auto [weight, priority] = callbacks_.tenant_share(pending->request);
  const push_result outcome =
      queue_.Push({pending->id, pending->request.tenant, weight, priority, pending->deadline}, now);
  pending->queued = true;
  if (!outcome.refused) return;
  const auto refused = jobs_.find(outcome.refused->id);
  if (refused == jobs_.end()) return;
  const auto victim = refused->second;
  victim->queued = false;
  refusal_reason reason = outcome.refused->reason;
  if (reason == refusal_reason::kQueueFull && cap_.cold()) reason = refusal_reason::kColdStart;
  Refuse(victim, reason, run_state::kNotRun, CeilToMilliseconds(outcome.refused->retry_after));
}

void gate::SendToTarget(instant now, const std::shared_ptr<job>& pending) {
  pending->queued = false;
  // The lease and the rules may have changed while the request was queued.
  if (const auto refusal = CheckAllowed(now, *pending)) {
    Refuse(pending, refusal->reason, run_state::kNotRun, refusal->retry_after);
    return;
  }
  instant run_deadline = pending->deadline;
  if (pending->keyed) run_deadline = std::min(run_deadline, callbacks_.lease_expiry(now));
  if (run_deadline - now < kMinRunTime) {
    const bool limited_by_lease = run_deadline < pending->deadline;
    Refuse(pending,
           limited_by_lease ? refusal_reason::kLeaseLapsed : refusal_reason::kDeadlineTooShort,
           run_state::kNotRun, kShortRetryAfter);
    return;
  }
  pending->sent_at = now;
  ++counts_.sent_to_target;
  running_.emplace(pending->id, pending);
  pending->http_request_id = client_.Send(
      settings_.target, MakeTargetRequest(now, *pending), CeilToMilliseconds(run_deadline - now),
      [this, pending](tl::expected<http_answer, http_failure> outcome) {
        const instant then = boot_clock::now();
        if (outcome) {
          OnAnswer(then, pending, std::move(*outcome));
        } else {
          OnFailure(then, pending, outcome.error());
        }
        PopQueue(then);
      });
}

http_request gate::MakeTargetRequest(instant now, const job& pending) const {
  http_request target_request = pending.request.request;
  const auto add = [&target_request](const char* name, const std::string& value) {
    target_request.headers.emplace_back(name, value);
  };
  const dispatch_request& request = pending.request;
  add("X-Bulrush-Service", request.service);
  add("X-Bulrush-Request-Id", request.request_id);
  if (!request.key_name.empty()) add("X-Bulrush-Key", request.key_name);
  if (!request.tenant.empty()) add("X-Bulrush-Tenant", request.tenant);
  if (!request.idempotency_key.empty()) add("Idempotency-Key", request.idempotency_key);
  instant run_deadline = pending.deadline;
  if (pending.keyed) {
    const instant expiry = callbacks_.lease_expiry(now);
    run_deadline = std::min(run_deadline, expiry);
    add("X-Bulrush-Slice", std::to_string(request.slice));
    add("X-Bulrush-Epoch", std::to_string(pending.epoch));
    add("X-Bulrush-Grant-Expires-Ms",
        std::to_string(std::chrono::floor<std::chrono::milliseconds>(expiry - now).count()));
  }
  add("X-Bulrush-Deadline-Ms",
      std::to_string(std::chrono::floor<std::chrono::milliseconds>(run_deadline - now).count()));
  return target_request;
}

void gate::OnAnswer(instant now, const std::shared_ptr<job>& pending, http_answer answer) {
  if (running_.erase(pending->id) == 0) return;
  const auto in_flight = static_cast<uint32_t>(running_.size()) + 1;
  if (!target_up_) {
    target_up_ = true;
    callbacks_.on_target_state(now, true);
  }
  if (const std::string boot = FindHeader(answer.headers, "X-Bulrush-Boot-Id"); !boot.empty()) {
    cap_.OnBootId(boot, now);
  }
  if (FindHeader(answer.headers, "X-Bulrush-Not-Run") == "1") {
    cap_.OnShed(now);
    Refuse(pending, refusal_reason::kTargetShed, run_state::kNotRun, kShortRetryAfter);
    return;
  }
  const std::string echoed = FindHeader(answer.headers, "X-Bulrush-Request-Id");
  if (!echoed.empty() && echoed != pending->request.request_id) {
    ++counts_.mismatched_answers;
    Refuse(pending, refusal_reason::kAnswerCrossed, run_state::kUnknown);
    return;
  }
  if (answer.body.size() > settings_.max_answer_bytes) {
    Refuse(pending, refusal_reason::kAnswerTooLarge, run_state::kUnknown);
    return;
  }
  const auto service_time = now - pending->sent_at;
  cap_.OnAnswer(service_time, in_flight, now);
  queue_.OnServed(service_time, cap_.limit());
  poison_.OnAnswered(pending->fingerprint, now);
  ++counts_.answered;
  if (pending->tracked_in_memory) {
    memory_.RecordAnswer(pending->request.slice, pending->identity, EncodeRememberedAnswer(answer));
  }
  dispatch_answer outgoing;
  outgoing.answer = std::move(answer);
  Finish(pending, outgoing);
}

void gate::OnFailure(instant now, const std::shared_ptr<job>& pending,
                     const http_failure& failure) {
  if (!running_.contains(pending->id)) return;
  if (failure.timed_out) {
    running_.erase(pending->id);
    cap_.OnTimeout(now - pending->sent_at, now);
    const bool lease_lapsed = pending->keyed && callbacks_.lease_expiry(now) <= now;
    Refuse(pending, lease_lapsed ? refusal_reason::kLeaseLapsed : refusal_reason::kDeadlinePassed,
           run_state::kUnknown);
    return;
  }
  cap_.OnConnectionLost(now);
  if (!failure.may_have_run) {
    running_.erase(pending->id);
    if (std::exchange(target_up_, false)) callbacks_.on_target_state(now, false);
    Refuse(pending, refusal_reason::kTargetUnreachable, run_state::kNotRun, kShortRetryAfter);
    return;
  }
  OnCrash(now);
  running_.erase(pending->id);
  Refuse(pending, refusal_reason::kTargetCrashed, run_state::kUnknown);
}

void gate::OnCrash(instant now) {
  if (crash_count_ > 0 && now - last_crash_at_ < kCrashMergeWindow) return;
  last_crash_at_ = now;
  ++crash_count_;
  std::vector<suspect_request> suspects;
  for (const auto& [id, other] : running_) {
    suspects.push_back({other->fingerprint, callbacks_.home_regions(other->request)});
  }
  for (const auto fingerprint : poison_.OnCrash(crash_seed_ + crash_count_, suspects, now)) {
    callbacks_.on_quarantined(now, fingerprint);
  }
  callbacks_.on_suspects_changed(now);
}

void gate::PopQueue(instant now) {
  queue_.SetConcurrency(cap_.limit());
  while (cap_.Admits(static_cast<uint32_t>(running_.size()))) {
    const pop_result next = queue_.Pop(now);
    for (const queue_refusal& expired : next.expired) {
      const auto found = jobs_.find(expired.id);
      if (found == jobs_.end()) continue;
      const auto victim = found->second;
      victim->queued = false;
      Refuse(victim, expired.reason, run_state::kNotRun, CeilToMilliseconds(expired.retry_after));
    }
    if (!next.id) return;
    const auto found = jobs_.find(*next.id);
    if (found == jobs_.end()) continue;
    const auto chosen = found->second;
    SendToTarget(now, chosen);
  }
}

void gate::Cancel(instant now, ticket id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  const auto pending = found->second;
  pending->done = nullptr;
  if (pending->queued) {
    // Joined repeats still wait for the answer.
    if (!pending->joined.empty()) return;
    queue_.Cancel(id);
    Refuse(pending, refusal_reason::kCancelled, run_state::kNotRun);
    return;
  }
  // A non-idempotent request keeps running, so that a repeat finds its outcome.
  if (!running_.contains(id) || pending->tracked_in_memory || !pending->request.idempotent) return;
  client_.Cancel(pending->http_request_id);
  running_.erase(id);
  Refuse(pending, refusal_reason::kCancelled, run_state::kUnknown);
  PopQueue(now);
}

void gate::Tick(instant now) {
  PopQueue(now);
  ExpireSliceMemories(now);
}

void gate::OnLeaseLapse(instant) {
  std::vector<std::shared_ptr<job>> keyed_jobs;
  for (const auto& [id, pending] : jobs_) {
    if (pending->keyed) keyed_jobs.push_back(pending);
  }
  for (const auto& pending : keyed_jobs) {
    if (!jobs_.contains(pending->id)) continue;
    if (pending->queued) {
      queue_.Cancel(pending->id);
      Refuse(pending, refusal_reason::kLeaseLapsed, run_state::kNotRun, kShortRetryAfter);
      continue;
    }
    if (running_.erase(pending->id) == 0) continue;
    client_.Cancel(pending->http_request_id);
    ++counts_.aborted_by_lapse;
    Refuse(pending, refusal_reason::kLeaseLapsed, run_state::kUnknown);
  }
}

std::vector<uint32_t> gate::BusySlices() const {
  std::vector<uint32_t> busy;
  for (const auto& [slice, requests] : jobs_per_slice_) busy.push_back(slice);
  return busy;
}

void gate::SetSlots(uint32_t slots) {
  if (slots == settings_.slots) return;
  settings_.slots = slots;
  cap_ = concurrency_cap(concurrency_settings{slots});
}

void gate::Refuse(const std::shared_ptr<job>& pending, refusal_reason reason, run_state state,
                  std::chrono::milliseconds retry_after) {
  if (pending->tracked_in_memory) {
    if (state == run_state::kNotRun) {
      memory_.RecordNotRun(pending->request.slice, pending->identity);
    } else {
      memory_.RecordOutcomeUnknown(pending->request.slice, pending->identity);
    }
  }
  metrics_.CountRefusal(reason, state);
  dispatch_answer refusal;
  refusal.reason = reason;
  refusal.state = state;
  refusal.retry_after = retry_after;
  Finish(pending, refusal);
}

void gate::Finish(const std::shared_ptr<job>& pending, const dispatch_answer& answer) {
  RemoveJob(pending);
  const auto joined = std::move(pending->joined);
  const auto deliver = [&answer](job& to) {
    if (!to.done) return;
    dispatch_answer copy = answer;
    copy.id = to.request.id;
    const reply done = std::move(to.done);
    done(std::move(copy));
  };
  deliver(*pending);
  for (const auto& waiting : joined) {
    RemoveJob(waiting);
    deliver(*waiting);
  }
}

void gate::RemoveJob(const std::shared_ptr<job>& pending) {
  if (jobs_.erase(pending->id) == 0 || !pending->keyed) return;
  const auto found = jobs_per_slice_.find(pending->request.slice);
  if (--found->second == 0) jobs_per_slice_.erase(found);
}

}  // namespace bulrushway
