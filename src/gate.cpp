#include "gate.h"

#include <algorithm>
#include <random>
#include <utility>

#include "gate_job.h"

namespace bulrushway {
namespace {

constexpr std::chrono::milliseconds kShortestRun{2};
constexpr std::chrono::milliseconds kRetrySoon{50};
// Crashes reported within this time of each other are one crash: each open connection reports it.
constexpr std::chrono::milliseconds kSameCrash{200};

std::chrono::milliseconds Millis(std::chrono::nanoseconds time) {
  return std::chrono::ceil<std::chrono::milliseconds>(time);
}

}  // namespace

gate::gate(event_loop& loop, metrics& counters, const gate_settings& settings, gate_ports ports)
    : metrics_(counters),
      settings_(settings),
      ports_(std::move(ports)),
      client_(loop, settings.connections),
      queue_(queue_settings{settings.longest_wait}),
      cap_(concurrency_settings{settings.slots}),
      memory_(idempotency_settings{}),
      poison_(poison_settings{}),
      crash_seed_(uint64_t{std::random_device{}()} << 32) {}

gate::~gate() = default;

gate::ticket gate::Handle(instant now, dispatch_request request, reply done) {
  auto subject = std::make_shared<job>();
  subject->id = next_ticket_++;
  subject->arrived = now;
  subject->deadline = now + request.time_left;
  subject->keyed = ports_.keyed();
  subject->request = std::move(request);
  subject->done = std::move(done);
  subject->fingerprint =
      MakeRequestFingerprint(subject->request.service, PathOf(subject->request.request.target),
                             subject->request.key_name, subject->request.request.body);
  const ticket id = subject->id;
  jobs_.emplace(id, subject);
  if (subject->keyed) ++per_slice_[subject->request.slice];
  if (const auto refusal = Check(now, *subject)) {
    Refuse(subject, refusal->reason, run_state::kNotRun, refusal->retry_after);
    return id;
  }
  if (Remembered(now, subject)) return id;
  Admit(now, subject);
  return id;
}

std::optional<gate_refusal> gate::Check(instant now, job& subject) {
  if (auto refusal = ports_.check_rules(now, subject.request)) return refusal;
  if (poison_.Quarantined(subject.fingerprint, now)) {
    return gate_refusal{refusal_reason::kQuarantined, {}};
  }
  if (!subject.keyed) return std::nullopt;
  const auto epoch = ports_.serves(now, subject.request.slice);
  if (!epoch) return ports_.not_served(now, subject.request.slice);
  subject.epoch = *epoch;
  return std::nullopt;
}

void gate::Admit(instant now, const std::shared_ptr<job>& subject) {
  if (queue_.size() == 0 && cap_.Admits(static_cast<uint32_t>(running_.size()))) {
    HandOver(now, subject);
    return;
  }
  const auto [weight, priority] = ports_.share(subject->request);
  const queue_outcome outcome =
      queue_.Push({subject->id, subject->request.tenant, weight, priority, subject->deadline}, now);
  subject->queued = true;
  if (!outcome.refused) return;
  const auto refused = jobs_.find(outcome.refused->id);
  if (refused == jobs_.end()) return;
  const auto victim = refused->second;
  victim->queued = false;
  refusal_reason reason = outcome.refused->reason;
  if (reason == refusal_reason::kQueueFull && cap_.cold()) reason = refusal_reason::kColdStart;
  Refuse(victim, reason, run_state::kNotRun, Millis(outcome.refused->retry_after));
}

void gate::HandOver(instant now, const std::shared_ptr<job>& subject) {
  subject->queued = false;
  // The lease and the rules may have changed while the request waited.
  if (const auto refusal = Check(now, *subject)) {
    Refuse(subject, refusal->reason, run_state::kNotRun, refusal->retry_after);
    return;
  }
  instant limit = subject->deadline;
  if (subject->keyed) limit = std::min(limit, ports_.lease_expiry(now));
  if (limit - now < kShortestRun) {
    const bool lapsing = limit < subject->deadline;
    Refuse(subject, lapsing ? refusal_reason::kLeaseLapsed : refusal_reason::kDeadlineTooShort,
           run_state::kNotRun, kRetrySoon);
    return;
  }
  subject->handed_over = now;
  ++counts_.handed_over;
  running_.emplace(subject->id, subject);
  subject->http = client_.Send(settings_.target, TargetRequest(now, *subject), Millis(limit - now),
                               [this, subject](tl::expected<http_answer, http_failure> outcome) {
                                 const instant then = boot_clock::now();
                                 if (outcome) {
                                   OnAnswer(then, subject, std::move(*outcome));
                                 } else {
                                   OnFailure(then, subject, outcome.error());
                                 }
                                 PopQueue(then);
                               });
}

http_request gate::TargetRequest(instant now, const job& subject) const {
  http_request sent = subject.request.request;
  const auto add = [&sent](const char* name, const std::string& value) {
    sent.headers.emplace_back(name, value);
  };
  const dispatch_request& request = subject.request;
  add("X-Bulrush-Service", request.service);
  add("X-Bulrush-Request-Id", request.request_id);
  if (!request.key_name.empty()) add("X-Bulrush-Key", request.key_name);
  if (!request.tenant.empty()) add("X-Bulrush-Tenant", request.tenant);
  if (!request.idempotency_key.empty()) add("Idempotency-Key", request.idempotency_key);
  instant limit = subject.deadline;
  if (subject.keyed) {
    const instant expiry = ports_.lease_expiry(now);
    limit = std::min(limit, expiry);
    add("X-Bulrush-Slice", std::to_string(request.slice));
    add("X-Bulrush-Epoch", std::to_string(subject.epoch));
    add("X-Bulrush-Grant-Expires-Ms",
        std::to_string(std::chrono::floor<std::chrono::milliseconds>(expiry - now).count()));
  }
  add("X-Bulrush-Deadline-Ms",
      std::to_string(std::chrono::floor<std::chrono::milliseconds>(limit - now).count()));
  return sent;
}

void gate::OnAnswer(instant now, const std::shared_ptr<job>& subject, http_answer answer) {
  if (running_.erase(subject->id) == 0) return;
  const auto in_flight = static_cast<uint32_t>(running_.size()) + 1;
  if (!target_up_) {
    target_up_ = true;
    ports_.target_state(now, true);
  }
  if (const std::string boot = FindHeader(answer.headers, "X-Bulrush-Boot-Id"); !boot.empty()) {
    cap_.OnBootId(boot, now);
  }
  if (FindHeader(answer.headers, "X-Bulrush-Not-Run") == "1") {
    cap_.OnShed(now);
    Refuse(subject, refusal_reason::kTargetShed, run_state::kNotRun, kRetrySoon);
    return;
  }
  const std::string echoed = FindHeader(answer.headers, "X-Bulrush-Request-Id");
  if (!echoed.empty() && echoed != subject->request.request_id) {
    ++counts_.crossed;
    Refuse(subject, refusal_reason::kAnswerCrossed, run_state::kUnknown);
    return;
  }
  if (answer.body.size() > settings_.max_answer) {
    Refuse(subject, refusal_reason::kAnswerTooLarge, run_state::kUnknown);
    return;
  }
  const auto took = now - subject->handed_over;
  cap_.OnAnswer(took, in_flight, now);
  queue_.OnServed(took, cap_.limit());
  poison_.OnAnswered(subject->fingerprint, now);
  ++counts_.answered;
  if (subject->identified) {
    memory_.Answered(subject->request.slice, subject->identity, RememberedForm(answer));
  }
  dispatch_answer whole;
  whole.answer = std::move(answer);
  Finish(subject, whole);
}

void gate::OnFailure(instant now, const std::shared_ptr<job>& subject,
                     const http_failure& failure) {
  if (!running_.contains(subject->id)) return;
  if (failure.timed_out) {
    running_.erase(subject->id);
    cap_.OnTimeout(now - subject->handed_over, now);
    const bool lapsed = subject->keyed && ports_.lease_expiry(now) <= now;
    Refuse(subject, lapsed ? refusal_reason::kLeaseLapsed : refusal_reason::kDeadlinePassed,
           run_state::kUnknown);
    return;
  }
  cap_.OnConnectionLost(now);
  if (!failure.may_have_run) {
    running_.erase(subject->id);
    if (std::exchange(target_up_, false)) ports_.target_state(now, false);
    Refuse(subject, refusal_reason::kTargetUnreachable, run_state::kNotRun, kRetrySoon);
    return;
  }
  OnCrash(now);
  running_.erase(subject->id);
  Refuse(subject, refusal_reason::kTargetCrashed, run_state::kUnknown);
}

void gate::OnCrash(instant now) {
  if (crashes_ > 0 && now - last_crash_ < kSameCrash) return;
  last_crash_ = now;
  ++crashes_;
  std::vector<suspect_request> suspects;
  for (const auto& [id, other] : running_) {
    suspects.push_back({other->fingerprint, ports_.home_regions(other->request)});
  }
  for (const auto fingerprint : poison_.OnCrash(crash_seed_ + crashes_, suspects, now)) {
    ports_.quarantined(now, fingerprint);
  }
  ports_.suspects_changed(now);
}

void gate::PopQueue(instant now) {
  queue_.SetConcurrency(cap_.limit());
  while (cap_.Admits(static_cast<uint32_t>(running_.size()))) {
    const queue_next next = queue_.Pop(now);
    for (const queue_refusal& expired : next.expired) {
      const auto found = jobs_.find(expired.id);
      if (found == jobs_.end()) continue;
      const auto victim = found->second;
      victim->queued = false;
      Refuse(victim, expired.reason, run_state::kNotRun, Millis(expired.retry_after));
    }
    if (!next.id) return;
    const auto found = jobs_.find(*next.id);
    if (found == jobs_.end()) continue;
    const auto chosen = found->second;
    HandOver(now, chosen);
  }
}

void gate::Cancel(instant now, ticket id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  const auto subject = found->second;
  subject->done = nullptr;
  if (subject->queued) {
    // Repeats that joined still wait for its answer.
    if (!subject->joined.empty()) return;
    queue_.Cancel(id);
    Refuse(subject, refusal_reason::kCancelled, run_state::kNotRun);
    return;
  }
  // What may not run twice goes on, so that a repeat finds the outcome.
  if (!running_.contains(id) || subject->identified || !subject->request.idempotent) return;
  client_.Cancel(subject->http);
  running_.erase(id);
  Refuse(subject, refusal_reason::kCancelled, run_state::kUnknown);
  PopQueue(now);
}

void gate::Tick(instant now) {
  PopQueue(now);
  ExpireMemories(now);
}

void gate::OnLapse(instant) {
  std::vector<std::shared_ptr<job>> cut;
  for (const auto& [id, subject] : jobs_) {
    if (subject->keyed) cut.push_back(subject);
  }
  for (const auto& subject : cut) {
    if (!jobs_.contains(subject->id)) continue;
    if (subject->queued) {
      queue_.Cancel(subject->id);
      Refuse(subject, refusal_reason::kLeaseLapsed, run_state::kNotRun, kRetrySoon);
      continue;
    }
    if (running_.erase(subject->id) == 0) continue;
    client_.Cancel(subject->http);
    ++counts_.cut_by_lapse;
    Refuse(subject, refusal_reason::kLeaseLapsed, run_state::kUnknown);
  }
}

std::vector<uint32_t> gate::BusySlices() const {
  std::vector<uint32_t> busy;
  for (const auto& [slice, requests] : per_slice_) busy.push_back(slice);
  return busy;
}

void gate::SetSlots(uint32_t slots) {
  if (slots == settings_.slots) return;
  settings_.slots = slots;
  cap_ = concurrency_cap(concurrency_settings{slots});
}

void gate::Refuse(const std::shared_ptr<job>& subject, refusal_reason reason, run_state state,
                  std::chrono::milliseconds retry_after) {
  if (subject->identified) {
    if (state == run_state::kNotRun) {
      memory_.NotRun(subject->request.slice, subject->identity);
    } else {
      memory_.OutcomeUnknown(subject->request.slice, subject->identity);
    }
  }
  metrics_.CountRefusal(reason, state);
  dispatch_answer refusal;
  refusal.reason = reason;
  refusal.state = state;
  refusal.retry_after = retry_after;
  Finish(subject, refusal);
}

void gate::Finish(const std::shared_ptr<job>& subject, const dispatch_answer& answer) {
  Forget(subject);
  const auto joined = std::move(subject->joined);
  const auto deliver = [&answer](job& to) {
    if (!to.done) return;
    dispatch_answer own = answer;
    own.id = to.request.id;
    const reply done = std::move(to.done);
    done(std::move(own));
  };
  deliver(*subject);
  for (const auto& waiting : joined) {
    Forget(waiting);
    deliver(*waiting);
  }
}

void gate::Forget(const std::shared_ptr<job>& subject) {
  if (jobs_.erase(subject->id) == 0 || !subject->keyed) return;
  const auto found = per_slice_.find(subject->request.slice);
  if (--found->second == 0) per_slice_.erase(found);
}

}  // namespace bulrushway
