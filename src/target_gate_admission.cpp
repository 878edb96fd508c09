// Admission of requests at the gate of a target: which are refused, which wait for their bodies and
// which are given a slot.

#include <utility>

#include "gate_request.h"
#include "home_regions.h"
#include "stop_reserve.h"

namespace bulrushway {

using std::chrono::milliseconds;

std::optional<std::pair<refusal_reason, milliseconds>> target_gate::CheckAdmission(
    instant now, const dispatch_request& request) const {
  using refused = std::pair<refusal_reason, milliseconds>;
  if (request.service != settings_.service) return refused{refusal_reason::kNoTarget, 0};
  if (!AllowsRegion(request.home_regions, settings_.region)) {
    return refused{refusal_reason::kHomeRegion, 0};
  }
  if (!EndsBeforeStop(now, ports_.latest_answer(), ExpectedWork(request))) {
    // The senders of keyed requests wait for the next owner.
    return refused{request.key ? refusal_reason::kMoving : refusal_reason::kStopping, 0};
  }
  const bool out = ports_.evacuated(now);
  if (out && !(ports_.keyed() && ports_.may_serve_keys(now))) {
    return refused{refusal_reason::kDataCentreOut, 0};
  }
  if (!ports_.keyed()) {
    if (target_.Accepting(now)) return std::nullopt;
    return refused{
        target_.Leaving() ? refusal_reason::kStopping : refusal_reason::kTargetUnreachable, 0};
  }
  if (!request.key) return refused{refusal_reason::kBadRequest, 0};
  if (!target_.Serving(now)) return refused{refusal_reason::kTargetUnreachable, 0};
  if (ports_.holds(now, *request.key)) return std::nullopt;
  return ports_.why_not_held(now, *request.key);
}

target_gate::ticket target_gate::Handle(instant now, dispatch_request request, reply done,
                                        permit ask_for_body) {
  auto pending = std::make_shared<pending_request>();
  pending->id = next_ticket_++;
  pending->deadline = now + request.time_left;
  pending->arrived = now;
  pending->request = std::move(request);
  pending->done = std::move(done);
  pending->ask_for_body = std::move(ask_for_body);
  const ticket id = pending->id;
  pending_requests_.emplace(id, pending);
  CountBody(*pending, pending->request.request.body.size());
  if (pending->request.large_answer) ++large_requests_;
  if (pending->request.separate_body_bytes > 0) {
    AwaitBody(now, pending);
  } else {
    Admit(now, pending);
  }
  return id;
}

void target_gate::AwaitBody(instant now, const pending_request_ptr& pending) {
  const dispatch_request& request = pending->request;
  if (const auto refused = CheckAdmission(now, request)) {
    return Refuse(now, pending, refused->first, run_state::kNotRun, refused->second,
                  "not admitted");
  }
  const milliseconds limit_wait =
      queue_.LimitWait(now, queue_.Waiting() + bodies_.Waiting() + bodies_.UnderWay());
  if (limit_wait > request.max_queue_wait) {
    return Refuse(now, pending, refusal_reason::kTargetLimited, run_state::kNotRun, limit_wait,
                  "the target's limit does not admit it in time");
  }
  const auto wait =
      bodies_.Arrive(now, {pending->id, request.separate_body_bytes, pending->deadline,
                           pending->arrived + request.latency_target_left, ExpectedWork(request)});
  if (wait) {
    return Refuse(now, pending, refusal_reason::kQueueFull, run_state::kNotRun, *wait,
                  "the body would arrive too late");
  }
  PermitBodies(now);
}

void target_gate::PermitBodies(instant now) {
  while (MayPermitBody()) {
    const auto id = bodies_.PermitNext(now);
    if (!id) return;
    const auto found = pending_requests_.find(*id);
    if (found == pending_requests_.end() || !found->second->ask_for_body) {
      bodies_.Remove(*id);
      continue;
    }
    CountBody(*found->second, found->second->request.separate_body_bytes);
    found->second->ask_for_body();
  }
}

bool target_gate::MayPermitBody() const {
  const auto next = bodies_.NextBytes();
  const memory_budget* budget = settings_.budget;
  if (!next || budget == nullptr || *next <= kSmallMessageBytes || budget->Fits(*next)) return true;
  // A single body is accepted however large.
  constexpr size_t kLargePart = 4;
  return budget->HeldBytes() <= budget->limit() / kLargePart;
}

void target_gate::OnBody(instant now, ticket id, std::string piece) {
  const auto found = pending_requests_.find(id);
  if (found == pending_requests_.end() || found->second->request.separate_body_bytes == 0) return;
  const pending_request_ptr pending = found->second;
  std::string& body = pending->request.request.body;
  const size_t expected = pending->request.separate_body_bytes;
  if (body.empty() && piece.size() >= expected) {
    body = std::move(piece);
  } else {
    if (body.empty()) body.reserve(expected);
    body += piece;
    if (body.size() < expected) return pending->ask_for_body();
  }
  bodies_.Remove(id);
  pending->request.separate_body_bytes = 0;
  Admit(now, pending);
  PermitBodies(now);
}

void target_gate::Admit(instant now, const pending_request_ptr& pending) {
  const ticket id = pending->id;
  const dispatch_request& incoming = pending->request;
  pending->fingerprint = MakeRequestFingerprint(
      incoming.service, incoming.request.method + " " + incoming.request.target, incoming.caller,
      incoming.request.body);
  if (poison_.Quarantined(pending->fingerprint, now)) {
    Refuse(now, pending, refusal_reason::kQuarantined, run_state::kNotRun, milliseconds{0},
           "the request was running at several targets when they crashed");
    return;
  }
  if (const auto refused = CheckAdmission(now, pending->request)) {
    Refuse(now, pending, refused->first, run_state::kNotRun, refused->second, "not admitted");
    return;
  }
  const dispatch_request& admitted = pending->request;
  if (admitted.key) ports_.on_request(now, *admitted.key);
  if (const auto refused = CheckLink(now, *pending)) {
    Refuse(now, pending, refused->first, run_state::kNotRun, refused->second,
           "the answer would leave the link too late");
    return;
  }
  const slot_verdict verdict =
      queue_.Arrive(now, {id, admitted.rank, pending->deadline, now + admitted.latency_target_left,
                          admitted.max_queue_wait, ExpectedWork(admitted)});
  switch (verdict.action) {
    case slot_verdict::kind::kRun:
      SendToTarget(now, pending);
      break;
    case slot_verdict::kind::kWait:
      break;
    case slot_verdict::kind::kRefuse:
      Refuse(now, pending, verdict.reason, run_state::kNotRun, verdict.expected_wait,
             "no free slot");
      break;
  }
}

std::optional<std::pair<refusal_reason, milliseconds>> target_gate::CheckLink(
    instant now, const pending_request& pending) const {
  const dispatch_request& request = pending.request;
  if (!request.large_answer) return std::nullopt;
  const instant target = pending.arrived + request.latency_target_left;
  const auto wait = link_.RefusalWait(now, {pending.deadline, target, ExpectedWork(request)},
                                      ports_.unsent_bytes(), large_requests_ - 1);
  if (!wait) return std::nullopt;
  return std::pair{refusal_reason::kQueueFull, *wait};
}

void target_gate::Cancel(instant now, ticket id) {
  const auto found = pending_requests_.find(id);
  if (found == pending_requests_.end()) return;
  const pending_request_ptr pending = found->second;
  pending->abandoned = true;
  if (queue_.Withdraw(id) || pending->request.separate_body_bytes > 0) {
    RemoveRequest(*pending);
    return PermitBodies(now);
  }
  if (!pending->request.idempotent) return;
  client_.Cancel(pending->http);
  ReleaseSlot(now, pending, std::chrono::nanoseconds{0});
  RemoveRequest(*pending);
  PopQueue(now);
}

void target_gate::CountBody(pending_request& pending, size_t bytes) {
  pending.body_bytes += bytes;
  body_bytes_ += bytes;
}

void target_gate::RemoveRequest(const pending_request& pending) {
  if (pending_requests_.erase(pending.id) > 0) {
    if (pending.request.large_answer) --large_requests_;
    body_bytes_ -= pending.body_bytes;
  }
  bodies_.Remove(pending.id);
}

}  // namespace bulrushway
