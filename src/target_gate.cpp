#include <algorithm>
#include <utility>

#include "gate_request.h"
#include "http_parser.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// Connections of the target that stay unused, since the target still counts those that are being
// closed.
constexpr uint32_t kSpareConnections = 4;
// EWMA weight of a new answer: sizes vary widely, so that it covers the last fifty.
constexpr double kBytesWeight = 0.02;
// EWMA weight of a new answer in the slowness of the target: processing times of one route vary
// several times over, so that it covers the last twenty.
constexpr double kSlownessWeight = 0.05;
// Bounds of the slowness and of its inverse.
constexpr double kMaxSlowness = 8;
// Share of the machine's link that answers of its target may use. The rest is for answers to local
// callers, for reports and for bursts.
constexpr double kLinkShare = 0.75;
// Value of the metric of the target's limit while it names none.
constexpr double kNoLimit = -1;
// Extra time for an answer to arrive after the deadline of the caller.
constexpr milliseconds kAnswerSlack{5};

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Whether callers take the status as the promise that their request has not run and never will.
bool IsPromise(int status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

bool SaysNotRun(const http_answer& answer, const header_names& names) {
  return !FindHeader(answer.headers, names.not_run).empty() || answer.status == kMisdirected;
}

}  // namespace

target_gate::target_gate(event_loop& loop, metrics& counters, decision_log& log, own_target& target,
                         target_gate_settings settings, target_gate_ports ports, uint64_t seed)
    : metrics_(counters),
      log_(log),
      target_(target),
      settings_(std::move(settings)),
      ports_(std::move(ports)),
      client_(loop, http_client_settings{.budget = settings_.budget,
                                         .echo_header = settings_.headers.request_id,
                                         .says_not_run =
                                             [this](const http_answer& answer) {
                                               return SaysNotRun(answer, settings_.headers);
                                             }}),
      link_(settings_.large_bytes_per_second),
      bodies_(settings_.large_bytes_per_second),
      next_crash_(seed),
      work_latency_(metrics_.Latency("bulrushway_target_work_seconds")),
      wait_latency_(metrics_.Latency("bulrushway_gate_wait_seconds")) {
  queue_.EnableUrgentRoom(settings_.urgent_room);
}

target_gate::~target_gate() = default;

void target_gate::SetPolicy(instant now, uint32_t connections, double cold_rate,
                            double cold_burst) {
  max_connections_ = connections;
  client_.SetMaxConnections(connections > 2 * kSpareConnections ? connections - kSpareConnections
                                                                : std::max(1U, connections / 2));
  cold_rate_ = cold_rate;
  queue_.cold_bucket().Configure(now, cold_rate, cold_burst);
}

http_request target_gate::MakeTargetRequest(instant now, pending_request& pending) const {
  const header_names& names = settings_.headers;
  http_request request = std::move(pending.request.request);
  // A caller must not remove the headers that are set here by naming them in Connection.
  const std::string connection_options = FindHeader(request.headers, "Connection");
  std::erase_if(request.headers, [&](const auto& header) {
    return IsHopByHop(header.first, connection_options) ||
           EqualIgnoringCase(header.first, names.time_left) ||
           EqualIgnoringCase(header.first, names.caller) ||
           EqualIgnoringCase(header.first, names.target_instance);
  });
  const auto left = std::max(duration_cast<milliseconds>(pending.deadline - now), milliseconds{1});
  request.headers.emplace_back(names.time_left, std::to_string(left.count()));
  request.headers.emplace_back(names.caller, pending.request.caller);
  request.headers.emplace_back(names.target_instance, pending.incarnation.id);
  if (!pending.request.tenant.empty()) {
    request.headers.emplace_back(names.workspace, pending.request.tenant);
  }
  return request;
}

void target_gate::SendToTarget(instant now, const pending_request_ptr& pending) {
  pending->sent_at = now;
  pending->incarnation = target_.incarnation();
  running_.emplace(pending->id, pending);
  pending->running_at_start = static_cast<uint32_t>(running_.size());
  metrics_.Counter("bulrushway_target_requests")++;
  wait_latency_.Add(now - pending->arrived);
  const auto left = duration_cast<milliseconds>(pending->deadline - now) + kAnswerSlack;
  pending->http = client_.Send(settings_.address, MakeTargetRequest(now, *pending),
                               std::max(left, kAnswerSlack),
                               [this, pending](tl::expected<http_answer, http_failure> outcome) {
                                 const instant answered = boot_clock::now();
                                 if (outcome) {
                                   OnAnswer(answered, pending, std::move(*outcome));
                                 } else {
                                   OnFailure(answered, pending, outcome.error());
                                 }
                               });
}

void target_gate::RecordLoad(const http_answer& answer) {
  const std::string text = FindHeader(answer.headers, settings_.headers.load);
  if (text.empty()) return;
  if (const auto load = ports_.parse_load(text)) pace_percent_ = std::max(1U, load->pace_percent);
}

void target_gate::ApplyLimit(instant now) {
  queue_.SetLimit(now, limit_.rate());
  metrics_.Gauge("bulrushway_target_limit") = limit_.rate().value_or(kNoLimit);
}

void target_gate::RecordNotices(instant now, const pending_request& pending,
                                const http_answer& answer) {
  const header_names& names = settings_.headers;
  const std::string answering_id = FindHeader(answer.headers, names.answering_instance);
  const bool other_target = !answering_id.empty() && answering_id != pending.incarnation.id;
  if (other_target || pending.incarnation != target_.incarnation()) return;
  queue_.SetProbing(false);
  const std::string text = FindHeader(answer.headers, names.limit);
  const std::optional<double> rate = ParseRequestLimit(text);
  if (!text.empty() && !rate) {
    log_.Write("target_limit_unreadable", {{"target", pending.incarnation.id}, {"limit", text}});
  } else if (limit_.OnAnswer(now, pending.sent_at, rate)) {
    log_.Write("target_limit",
               {{"target", pending.incarnation.id},
                {"per_second", rate ? text : "none"},
                {"status", std::to_string(answer.status)}},
               log_priority::kNotable);
    ApplyLimit(now);
  }
  if (!FindHeader(answer.headers, names.leaving).empty() && !target_.Leaving()) {
    log_.Write("target_says_leaving", {{"target", pending.incarnation.id}}, log_priority::kNotable);
    target_.OnLeave(now, pending.incarnation.id);
  }
}

void target_gate::RecordSlowness(const pending_request& pending, std::chrono::nanoseconds work) {
  const std::chrono::duration<double> expected = pending.request.expected_work;
  if (expected.count() <= 0) return;
  const double ratio = std::chrono::duration<double>(work) / expected;
  slowness_ += kSlownessWeight * (ratio - slowness_);
  slowness_ = std::clamp(slowness_, 1 / kMaxSlowness, kMaxSlowness);
}

uint32_t target_gate::SlownessPercent() const {
  constexpr double kPercent = 100;
  return static_cast<uint32_t>(slowness_ * kPercent);
}

void target_gate::ReleaseSlot(instant now, const pending_request_ptr& pending,
                              std::chrono::nanoseconds work) {
  running_.erase(pending->id);
  queue_.Finish(now, work, pending->request.rank);
}

refusal_reason target_gate::HandleNotRun(instant now, const pending_request& pending,
                                         const http_answer& answer) {
  if (answer.status != kMisdirected) {
    queue_.OnTargetFull(now);
    RecordTargetFull(now, pending);
    return refusal_reason::kTargetShed;
  }
  const std::string answering_id = FindHeader(answer.headers, settings_.headers.answering_instance);
  if (!answering_id.empty() && answering_id != pending.incarnation.id) {
    if (pending.incarnation == target_.incarnation()) target_.OnMisdirected(now);
    return refusal_reason::kTargetUnreachable;
  }
  if (pending.request.key) ports_.on_key_lost(now, *pending.request.key);
  return refusal_reason::kNotOwner;
}

void target_gate::OnAnswer(instant now, const pending_request_ptr& pending, http_answer answer) {
  const auto work = now - pending->sent_at;
  pending->reached_target = true;
  target_.OnAnswer(now);
  RecordLoad(answer);
  RecordNotices(now, *pending, answer);
  const header_names& names = settings_.headers;
  if (SaysNotRun(answer, names)) {
    ReleaseSlot(now, pending, std::chrono::nanoseconds{0});
    const refusal_reason reason = HandleNotRun(now, *pending, answer);
    Refuse(now, pending, reason, run_state::kNotRun, queue_.UsualWork(),
           "target answered " + std::to_string(answer.status));
    PopQueue(now);
    return;
  }
  ReleaseSlot(now, pending, work);
  poison_.OnAnswered(pending->fingerprint, now);
  work_latency_.Add(work);
  RecordSlowness(*pending, work);
  RecordConcurrency(now, *pending, work);
  answer_bytes_ += kBytesWeight * (static_cast<double>(answer.body.size()) - answer_bytes_);
  if (pending->request.large_answer && IsSuccess(answer.status)) link_.OnAnswer(answer.body.size());
  // Passed on, the status would promise a caller that its request has not run.
  if (IsPromise(answer.status)) {
    Refuse(
        now, pending, refusal_reason::kAnswerLost, run_state::kUnknown, milliseconds{0},
        "target answered " + std::to_string(answer.status) + " without saying that it is not run");
    return PopQueue(now);
  }
  // A success without the target's signature, or with an encoding that was not requested, was
  // altered on its way.
  const bool damaged =
      IsSuccess(answer.status) && (FindHeader(answer.headers, names.signature).empty() ||
                                   !FindHeader(answer.headers, "Content-Encoding").empty());
  if (damaged) {
    Refuse(now, pending, refusal_reason::kAnswerLost, run_state::kUnknown, milliseconds{0},
           "the answer has no signature or has a content encoding");
  } else {
    dispatch_answer result;
    result.sent_to_target = true;
    result.work = duration_cast<milliseconds>(work);
    result.answer = std::move(answer);
    Finish(now, pending, std::move(result));
  }
  PopQueue(now);
}

void target_gate::OnFailure(instant now, const pending_request_ptr& pending,
                            const http_failure& failure) {
  ReleaseSlot(now, pending, std::chrono::nanoseconds{0});
  if (failure.closed_before_answer && failure.may_have_run) {
    crash_watch_.OnConnectionLost(now, {pending->fingerprint, pending->request.home_regions});
  }
  if (failure.closed_before_answer) RecordTargetFull(now, *pending);
  if (failure.refused) {
    OnCrash(now);
    target_.OnConnectionRefused(now, failure.refused_attempt);
    client_.CloseIdle(settings_.address);
  }
  if (failure.timed_out && !failure.may_have_run) target_.OnTimeout(now);
  pending->reached_target = failure.may_have_run;
  const auto state = failure.may_have_run ? run_state::kUnknown : run_state::kNotRun;
  refusal_reason reason = refusal_reason::kAnswerLost;
  if (!failure.may_have_run) {
    reason = refusal_reason::kTargetUnreachable;
  } else if (failure.timed_out) {
    reason = refusal_reason::kDeadlinePassed;
  } else if (failure.too_large) {
    reason = refusal_reason::kAnswerTooLarge;
  }
  Refuse(now, pending, reason, state, milliseconds{0}, failure.message);
  PopQueue(now);
}

void target_gate::OnCrash(instant now) {
  const std::vector<suspect_request> suspects = crash_watch_.TakeSuspects(now);
  if (suspects.empty()) return;
  for (const request_fingerprint quarantined : poison_.OnCrash(next_crash_++, suspects, now)) {
    log_.Write("request_quarantined",
               {{"fingerprint", std::to_string(quarantined)}, {"target", last_incarnation_.id}},
               log_priority::kNotable);
  }
  log_.Write("target_crashed",
             {{"target", last_incarnation_.id}, {"requests", std::to_string(suspects.size())}},
             log_priority::kNotable);
  ports_.suspects_changed(now);
}

void target_gate::PopQueue(instant now) {
  while (const auto id = queue_.StartNext(now)) {
    const auto found = pending_requests_.find(*id);
    if (found == pending_requests_.end()) {
      queue_.Finish(now, std::chrono::nanoseconds{0});
      continue;
    }
    const pending_request_ptr pending = found->second;
    // The target may have started to leave, or lost the key, while the request waited.
    if (const auto refused = CheckAdmission(now, pending->request)) {
      queue_.Finish(now, std::chrono::nanoseconds{0}, pending->request.rank);
      Refuse(now, pending, refused->first, run_state::kNotRun, refused->second,
             "not admitted after the wait");
      continue;
    }
    SendToTarget(now, pending);
  }
}

void target_gate::Tick(instant now) {
  if (last_incarnation_ != target_.incarnation()) {
    const bool first = last_incarnation_.id.empty();
    if (!first) OnCrash(now);
    // The target may have run before this process started.
    queue_.SetProbing(first);
    last_incarnation_ = target_.incarnation();
    limit_.Reset();
    limiter_.OnIncarnation(now);
    ApplyLimit(now);
  }
  ApplySlots(now);
  queue_.SetCold(now, cold_rate_ > 0 && target_.Cold(now));
  for (const expired_request& expired : queue_.Expire(now)) {
    const auto found = pending_requests_.find(expired.id);
    if (found == pending_requests_.end()) continue;
    const pending_request_ptr pending = found->second;
    Refuse(now, pending, expired.reason, run_state::kNotRun, expired.expected_wait,
           "no free slot in time");
  }
  for (const uint64_t id : bodies_.Expire(now)) {
    const auto found = pending_requests_.find(id);
    if (found == pending_requests_.end()) continue;
    const pending_request_ptr pending = found->second;
    Refuse(now, pending, refusal_reason::kQueueFull, run_state::kNotRun, bodies_.ExpectedWait(),
           "the body cannot arrive in time");
  }
  PermitBodies(now);
  PopQueue(now);
}

void target_gate::Refuse(instant now, const pending_request_ptr& pending, refusal_reason reason,
                         run_state state, milliseconds retry_after, const std::string& detail) {
  dispatch_answer result;
  result.reason = reason;
  result.state = state;
  // A request that reached the target was offered to it, whatever the target answered.
  result.sent_to_target = pending->reached_target;
  result.retry_after = retry_after;
  if (reason == refusal_reason::kNotOwner && pending->request.key) {
    result.owner = ports_.other_owner(*pending->request.key);
  }
  metrics_.CountRefusal(reason, state);
  log_.Write(
      "gate_refused",
      {{"request", pending->request.request_id},
       {"reason", std::string(Name(reason))},
       {"state", std::string(Name(state))},
       {"detail", detail},
       {"running", std::to_string(running_.size())},
       {"waiting", std::to_string(queue_.Waiting())},
       {"slots", std::to_string(queue_.slots())},
       {"waited_ms", std::to_string(duration_cast<milliseconds>(now - pending->arrived).count())}});
  Finish(now, pending, std::move(result));
}

void target_gate::Finish(instant now, const pending_request_ptr& pending, dispatch_answer answer) {
  RemoveRequest(*pending);
  if (pending->abandoned) return;
  answer.id = pending->request.id;
  answer.target = Report(now);
  pending->done(now, std::move(answer));
}

target_report target_gate::Report(instant now) const {
  target_report report;
  report.incarnation = target_.incarnation();
  report.service = settings_.service;
  report.accepting = target_.Accepting(now);
  report.leaving = target_.Leaving();
  report.evacuated = ports_.evacuated(now);
  report.cold = target_.Cold(now);
  report.slots = settings_.adaptive_concurrency ? queue_.slots() : target_.slots();
  report.running = queue_.Running();
  report.waiting = static_cast<uint32_t>(queue_.Waiting());
  report.usual_work = queue_.UsualWork();
  report.slowness_percent = SlownessPercent();
  report.body_wait = bodies_.ExpectedWait();
  if (settings_.link_bytes_per_second > 0) {
    const std::chrono::duration<double> on_link(answer_bytes_ /
                                                (settings_.link_bytes_per_second * kLinkShare));
    report.link_time = duration_cast<std::chrono::microseconds>(on_link);
  }
  report.pace_percent = pace_percent_;
  report.cold_rate = static_cast<uint32_t>(cold_rate_);
  constexpr double kThousandths = 1000;
  if (const auto limit = limit_.rate()) {
    report.limit_millirate = static_cast<uint32_t>(*limit * kThousandths);
    report.limit_wait = queue_.LimitWait(now, queue_.Waiting());
  }
  return report;
}

}  // namespace bulrushway
