// Completion of a request: by an answer, a refusal, or a disconnected caller.

#include <algorithm>
#include <utility>

#include "pending_request.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int kFirstErrorStatus = 400;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// Minimum retry-after time sent to refused callers.
constexpr milliseconds kMinRetryAfter{60};
// Retry-after time before jitter when no estimate exists.
constexpr milliseconds kDefaultRetryAfter{250};

}  // namespace

std::string request_router::RetryAfterText(milliseconds wait) {
  const milliseconds min_wait =
      wait.count() > 0 ? std::max(wait, kMinRetryAfter) : kDefaultRetryAfter;
  // Jitter, so that callers that are refused together do not retry together.
  std::uniform_real_distribution<double> jitter(1.0, 2.0);
  const auto ms = static_cast<int64_t>(static_cast<double>(min_wait.count()) * jitter(rng_));
  constexpr int64_t kMsPerSecond = 1000;
  std::string fraction = std::to_string(ms % kMsPerSecond);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(ms / kMsPerSecond) + "." + fraction;
}

void request_router::Refuse(instant now, const pending_request_ptr& pending,
                            refusal_reason reason) {
  http_answer answer;
  const run_state state = pending->may_have_run ? run_state::kUnknown : run_state::kNotRun;
  if (state == run_state::kNotRun) {
    answer.status = reason == refusal_reason::kOverQuota ? kTooManyRequests : kUnavailable;
    ReturnQuota(now, *pending);
    answer.headers.emplace_back(settings_.headers.retry_after,
                                RetryAfterText(pending->retry_after));
  } else {
    answer.status = reason == refusal_reason::kDeadlinePassed ? kGatewayTimeout : kBadGateway;
  }
  metrics_.CountRefusal(reason, state);
  Complete(now, pending, std::move(answer), std::string(Name(reason)));
}

void request_router::CancelAttempt(instant now, pending_request& pending) {
  if (!pending.outstanding) return;
  pending.outstanding = false;
  if (pending.at_own_gate) {
    gate_.Cancel(now, pending.ticket);
  } else {
    mesh_.Cancel(pending.ticket);
  }
  dispatch_answer cancelled;
  cancelled.reason = refusal_reason::kCancelled;
  fleet_.OnAnswer(now, pending.node, cancelled);
}

void request_router::Complete(instant now, const pending_request_ptr& pending, http_answer answer,
                              const std::string& outcome) {
  if (pending->finished) return;
  pending->finished = true;
  CancelAttempt(now, *pending);
  const header_names& names = settings_.headers;
  if (!pending->request_id.empty() && FindHeader(answer.headers, names.request_id).empty()) {
    answer.headers.emplace_back(names.request_id, pending->request_id);
  }
  const auto elapsed = now - pending->arrived;
  const std::string route = pending->matched == nullptr ? "-" : pending->matched->name;
  metrics_.Latency("bulrushway_request_seconds", {{"route", route}}).Add(elapsed);
  const node_state* node = fleet_.Find(pending->node);
  const auto load_age =
      node == nullptr ? milliseconds{0} : duration_cast<milliseconds>(now - node->load_received);
  const bool served = answer.status < kFirstErrorStatus;
  log_.Write("request_done",
             {{"request", pending->request_id},
              {"route", route},
              {"service", pending->service},
              {"key", pending->key ? std::to_string(*pending->key) : "-"},
              {"outcome", outcome},
              {"status", std::to_string(answer.status)},
              {"state",
               std::string(Name(pending->may_have_run ? run_state::kUnknown : run_state::kNotRun))},
              {"node", pending->node.empty() ? "-" : pending->node},
              {"load_age_ms", std::to_string(load_age.count())},
              {"tries", std::to_string(pending->tries)},
              {"offers", std::to_string(pending->offers)},
              {"configuration", pending->table ? std::to_string(pending->table->version()) : "-"},
              {"elapsed_ms", std::to_string(duration_cast<milliseconds>(elapsed).count())}},
             served ? log_priority::kRoutine : log_priority::kNotable);
  pending->exchange->Reply(std::move(answer));
  pending_requests_.erase(pending->id);
}

void request_router::OnCallerDisconnected(uint64_t id) {
  const auto found = pending_requests_.find(id);
  if (found == pending_requests_.end()) return;
  const pending_request_ptr pending = found->second;
  const instant now = boot_clock::now();
  pending->finished = true;
  // Nothing of it reached a target.
  if (pending->offers == 0 && !pending->outstanding) ReturnQuota(now, *pending);
  CancelAttempt(now, *pending);
  metrics_.Counter("bulrushway_callers_left")++;
  log_.Write("caller_left", {{"request", pending->request_id},
                             {"node", pending->node.empty() ? "-" : pending->node},
                             {"offers", std::to_string(pending->offers)}});
  pending_requests_.erase(id);
}

}  // namespace bulrushway
