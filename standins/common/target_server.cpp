#include "target_server.h"

#include <algorithm>
#include <cstdlib>

#include "answer_text.h"

namespace bulrushway::standin {
namespace {

constexpr http_limits kLimits{4 << 20, 16 << 10, std::chrono::seconds{60}};
// A frozen target looks again after this time whether it may go on.
constexpr std::chrono::milliseconds kFreezePoll{5};
constexpr int kPoisonExitCode = 86;
constexpr std::chrono::milliseconds kLoadSampleInterval{100};
constexpr uint64_t kListeningSockets = 1;

}  // namespace

struct target_server::job {
  enum class state { kArrived, kWaiting, kRunning, kEnded };

  exchange caller;
  target_request request;
  state at = state::kArrived;
};

target_server::target_server(event_loop& loop, target_settings settings, instant now)
    : loop_(loop),
      settings_(std::move(settings)),
      times_(settings_.service, settings_.seed, now),
      random_(settings_.seed + 1),
      delayed_(loop),
      sampling_(loop, [this](instant at) { SampleLoad(at); }) {}

result<void> target_server::Start(instant) {
  server_ = std::make_unique<http_server>(loop_, kLimits,
                                          [this](const exchange& caller) { Handle(caller); });
  sampling_.Every(kLoadSampleInterval);
  return server_->Listen(settings_.listen);
}

void target_server::Handle(const exchange& caller) {
  const instant now = boot_clock::now();
  const std::string path = PathOf(caller->request().target);
  if (path.starts_with("/-/")) return HandleControl(caller, path, now);
  ++counters_.arrivals;
  const socket_address peer = caller->Peer();
  seen_.insert(peer);
  if (silent_.contains(peer)) {
    unanswered_.push_back(caller);
    return;
  }
  auto work = std::make_shared<job>();
  work->caller = caller;
  work->request = ReadTargetRequest(caller->request(), now);
  caller->OnClosed([this, weak = std::weak_ptr<job>(work)] {
    if (const auto closed = weak.lock()) Cancelled(closed);
  });
  Arrive(work, now);
}

void target_server::Arrive(const job_pointer& work, instant now) {
  if (work->at == job::state::kEnded) return;
  if (!IsFrozen(faults_, now)) return Admit(work, now);
  delayed_.CallAt(now + kFreezePoll, [this, work](instant later) { Arrive(work, later); });
}

void target_server::Admit(const job_pointer& work, instant now) {
  if (RefusedAtOnce(work)) return;
  work->at = job::state::kWaiting;
  waiting_.push_back(work);
  StartWaiting(now);
  if (work->at != job::state::kWaiting || waiting_.size() <= settings_.queue) return;
  waiting_.pop_back();
  ++counters_.shed;
  Refuse(work, 503, "queue full");
}

bool target_server::RefusedAtOnce(const job_pointer& work) {
  if (faults_.drain) {
    Refuse(work, 503, "draining");
    return true;
  }
  if (sockets_.Count(boot_clock::now()) > settings_.connections + kListeningSockets) {
    ++counters_.over_connections;
    Refuse(work, 503, "too many connections");
    return true;
  }
  const bool shed =
      faults_.shed > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < faults_.shed;
  if (!shed) return false;
  ++counters_.shed;
  Refuse(work, 503, "shed");
  return true;
}

void target_server::StartWaiting(instant now) {
  while (running_ < settings_.slots && !waiting_.empty()) {
    const job_pointer next = waiting_.front();
    waiting_.pop_front();
    Run(next, now);
  }
}

void target_server::Run(const job_pointer& work, instant now) {
  const target_request& request = work->request;
  if (request.deadline && now >= *request.deadline) {
    ++counters_.past_deadline;
    return Refuse(work, 504, "deadline passed");
  }
  if (settings_.check_grants) {
    if (const auto why = grants_.Refuse(request, now)) {
      ++counters_.refused_grants;
      return Refuse(work, 409, *why);
    }
  }
  ++running_;
  counters_.largest_running = std::max(counters_.largest_running, running_);
  work->at = job::state::kRunning;
  const bool named = !request.idempotency_key.empty();
  executions_.Count(named ? request.idempotency_key : request.request_id, request.idempotent);
  if (request.owner) executions_.CountOwner(*request.owner, now);
  if (request.poison) std::_Exit(kPoisonExitCode);
  const auto plain = times_.Draw(running_, now);
  const auto time =
      std::chrono::duration_cast<std::chrono::nanoseconds>(plain * SlowdownNow(faults_, now));
  // The work stops at the deadline, since nobody waits for it any more.
  const instant end = std::min(now + time, request.deadline.value_or(instant::max()));
  delayed_.CallAt(end, [this, work](instant later) { Finish(work, later); });
}

void target_server::Finish(const job_pointer& work, instant now) {
  if (work->at != job::state::kRunning) return;
  if (IsFrozen(faults_, now)) {
    delayed_.CallAt(now + kFreezePoll, [this, work](instant later) { Finish(work, later); });
    return;
  }
  LeaveSlot(work, now);
  times_.Done();
  ++counters_.done;
  if (work->request.deadline && now >= *work->request.deadline) {
    ++counters_.past_deadline;
    work->caller->Reply(WithBootId({504, {}, "The deadline passed during the work.\n"}));
    return;
  }
  Answer(work);
}

void target_server::Cancelled(const job_pointer& work) {
  ++counters_.cancelled;
  if (work->at == job::state::kRunning) return LeaveSlot(work, boot_clock::now());
  std::erase(waiting_, work);
  work->at = job::state::kEnded;
}

void target_server::LeaveSlot(const job_pointer& work, instant now) {
  work->at = job::state::kEnded;
  --running_;
  StartWaiting(now);
}

void target_server::Answer(const job_pointer& work) {
  const target_request& request = work->request;
  answer_fields fields{settings_.name, request.request_id, request.key,
                       work->caller->request().target};
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
    work->caller->ReplyTruncated(WithBootId(std::move(answer)), half);
    return;
  }
  work->caller->Reply(WithBootId(std::move(answer)));
}

void target_server::Refuse(const job_pointer& work, int status, const std::string& why) {
  work->at = job::state::kEnded;
  work->caller->Reply(
      WithBootId({status, {{"X-Bulrush-Not-Run", "1"}, {"X-Target-Reason", why}}, why + "\n"}));
}

http_answer target_server::WithBootId(http_answer answer) const {
  answer.headers.emplace_back("X-Bulrush-Boot-Id", settings_.boot_id);
  return answer;
}

}  // namespace bulrushway::standin
