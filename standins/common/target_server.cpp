#include "target_server.h"

#include <algorithm>
#include <cstdlib>

#include "answer_text.h"

namespace bulrushway::standin {
namespace {

constexpr http_limits kLimits{4 << 20, 16 << 10, std::chrono::seconds{60}};
// Interval at which requests of a frozen target check whether it is still frozen.
constexpr std::chrono::milliseconds kFreezePollInterval{5};
constexpr int kPoisonExitCode = 86;
constexpr std::chrono::milliseconds kLoadSampleInterval{100};
constexpr uint64_t kListeningSockets = 1;

}  // namespace

struct target_server::pending_request {
  enum class state { kArrived, kWaiting, kRunning, kEnded };

  exchange_pointer caller;
  target_request request;
  state current_state = state::kArrived;
};

target_server::target_server(event_loop& loop, target_settings settings, instant now)
    : loop_(loop),
      settings_(std::move(settings)),
      times_(settings_.service, settings_.seed, now),
      random_(settings_.seed + 1),
      delayed_(loop),
      sample_timer_(loop, [this](instant at) { SampleLoad(at); }) {}

result<void> target_server::Start(instant) {
  server_ = std::make_unique<http_server>(
      loop_, kLimits, [this](const exchange_pointer& caller) { Handle(caller); });
  sample_timer_.Every(kLoadSampleInterval);
  return server_->Listen(settings_.listen);
}

void target_server::Handle(const exchange_pointer& caller) {
  const instant now = boot_clock::now();
  const std::string path = PathOf(caller->request().target);
  if (path.starts_with("/-/")) return HandleControl(caller, path, now);
  ++counters_.arrivals;
  const socket_address peer = caller->Peer();
  seen_connections_.insert(peer);
  if (silent_connections_.contains(peer)) {
    unanswered_.push_back(caller);
    return;
  }
  auto pending = std::make_shared<pending_request>();
  pending->caller = caller;
  pending->request = ReadTargetRequest(caller->request(), now);
  caller->OnClosed([this, weak = std::weak_ptr<pending_request>(pending)] {
    if (const auto closed = weak.lock()) OnCancelled(closed);
  });
  AdmitWhenNotFrozen(pending, now);
}

void target_server::AdmitWhenNotFrozen(const pending_pointer& pending, instant now) {
  if (pending->current_state == pending_request::state::kEnded) return;
  if (!IsFrozen(faults_, now)) return Admit(pending, now);
  delayed_.CallAt(now + kFreezePollInterval,
                  [this, pending](instant later) { AdmitWhenNotFrozen(pending, later); });
}

void target_server::Admit(const pending_pointer& pending, instant now) {
  if (RefuseBeforeQueueing(pending)) return;
  pending->current_state = pending_request::state::kWaiting;
  waiting_.push_back(pending);
  StartWaitingRequests(now);
  if (pending->current_state != pending_request::state::kWaiting ||
      waiting_.size() <= settings_.queue)
    return;
  waiting_.pop_back();
  ++counters_.shed;
  Refuse(pending, 503, "queue full");
}

bool target_server::RefuseBeforeQueueing(const pending_pointer& pending) {
  if (faults_.drain) {
    Refuse(pending, 503, "draining");
    return true;
  }
  if (sockets_.Count(boot_clock::now()) > settings_.connections + kListeningSockets) {
    ++counters_.over_connections;
    Refuse(pending, 503, "too many connections");
    return true;
  }
  const bool shed =
      faults_.shed > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < faults_.shed;
  if (!shed) return false;
  ++counters_.shed;
  Refuse(pending, 503, "shed");
  return true;
}

void target_server::StartWaitingRequests(instant now) {
  while (running_ < settings_.slots && !waiting_.empty()) {
    const pending_pointer next = waiting_.front();
    waiting_.pop_front();
    Run(next, now);
  }
}

void target_server::Run(const pending_pointer& pending, instant now) {
  const target_request& request = pending->request;
  if (request.deadline && now >= *request.deadline) {
    ++counters_.past_deadline;
    return Refuse(pending, 504, "deadline passed");
  }
  if (settings_.check_grants) {
    if (const auto reason = grant_checker_.Check(request, now)) {
      ++counters_.refused_grants;
      return Refuse(pending, 409, *reason);
    }
  }
  ++running_;
  counters_.largest_running = std::max(counters_.largest_running, running_);
  pending->current_state = pending_request::state::kRunning;
  const bool has_idempotency_key = !request.idempotency_key.empty();
  executions_.RecordExecution(has_idempotency_key ? request.idempotency_key : request.request_id,
                              request.idempotent);
  if (request.owner) executions_.RecordOwner(*request.owner, now);
  if (request.poison) std::_Exit(kPoisonExitCode);
  const auto base_time = times_.Draw(running_, now);
  const auto work_time =
      std::chrono::duration_cast<std::chrono::nanoseconds>(base_time * SlowdownAt(faults_, now));
  // The work ends at the deadline, because no caller waits for it beyond that.
  const instant end = std::min(now + work_time, request.deadline.value_or(instant::max()));
  delayed_.CallAt(end, [this, pending](instant later) { Finish(pending, later); });
}

void target_server::Finish(const pending_pointer& pending, instant now) {
  if (pending->current_state != pending_request::state::kRunning) return;
  if (IsFrozen(faults_, now)) {
    delayed_.CallAt(now + kFreezePollInterval,
                    [this, pending](instant later) { Finish(pending, later); });
    return;
  }
  ReleaseSlot(pending, now);
  times_.RecordDone();
  ++counters_.done;
  if (pending->request.deadline && now >= *pending->request.deadline) {
    ++counters_.past_deadline;
    pending->caller->Reply(
        WithBootId({504, {}, "The deadline passed while the request was running.\n"}));
    return;
  }
  SendAnswer(pending);
}

void target_server::OnCancelled(const pending_pointer& pending) {
  ++counters_.cancelled;
  if (pending->current_state == pending_request::state::kRunning)
    return ReleaseSlot(pending, boot_clock::now());
  std::erase(waiting_, pending);
  pending->current_state = pending_request::state::kEnded;
}

void target_server::ReleaseSlot(const pending_pointer& pending, instant now) {
  pending->current_state = pending_request::state::kEnded;
  --running_;
  StartWaitingRequests(now);
}

void target_server::SendAnswer(const pending_pointer& pending) {
  const target_request& request = pending->request;
  answer_fields fields{settings_.name, request.request_id, request.key,
                       pending->caller->request().target};
  if (faults_.cross_next > 0) {
    --faults_.cross_next;
    fields.request_id = last_request_id_ + "-crossed";
  }
  last_request_id_ = request.request_id;
  http_answer answer{
      200, {{"Content-Type", "text/plain"}}, ComposeAnswer(fields, settings_.padding)};
  answer.headers.emplace_back("X-Bulrush-Request-Id", fields.request_id);
  if (faults_.truncate_next > 0) {
    --faults_.truncate_next;
    const size_t half = answer.body.size() / 2;
    pending->caller->ReplyTruncated(WithBootId(std::move(answer)), half);
    return;
  }
  pending->caller->Reply(WithBootId(std::move(answer)));
}

void target_server::Refuse(const pending_pointer& pending, int status, const std::string& reason) {
  pending->current_state = pending_request::state::kEnded;
  pending->caller->Reply(WithBootId(
      {status, {{"X-Bulrush-Not-Run", "1"}, {"X-Target-Reason", reason}}, reason + "\n"}));
}

http_answer target_server::WithBootId(http_answer answer) const {
  answer.headers.emplace_back("X-Bulrush-Boot-Id", settings_.boot_id);
  return answer;
}

}  // namespace bulrushway::standin
