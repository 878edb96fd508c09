// How a request ends: with an answer, a refusal, or because its caller left.

#include <algorithm>
#include <utility>

#include "request_flight.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int kFirstErrorStatus = 400;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// Least time after which a refused caller is told to come back.
constexpr milliseconds kLeastRetryAfter{60};
// The same when nothing is known of how long it will take.
constexpr milliseconds kUnknownRetryAfter{250};

}  // namespace

std::string request_router::RetryAfterText(milliseconds wait) {
  const milliseconds least =
      wait.count() > 0 ? std::max(wait, kLeastRetryAfter) : kUnknownRetryAfter;
  // Spread, so that callers refused together do not come back together.
  std::uniform_real_distribution<double> spread(1.0, 2.0);
  const auto ms = static_cast<int64_t>(static_cast<double>(least.count()) * spread(rng_));
  constexpr int64_t kMsPerSecond = 1000;
  std::string fraction = std::to_string(ms % kMsPerSecond);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(ms / kMsPerSecond) + "." + fraction;
}

void request_router::GiveUp(instant now, const flight_ptr& subject, refusal_reason reason) {
  http_answer answer;
  const run_state state = subject->may_have_run ? run_state::kUnknown : run_state::kNotRun;
  if (state == run_state::kNotRun) {
    answer.status = kUnavailable;
    answer.headers.emplace_back(settings_.headers.retry_after,
                                RetryAfterText(subject->retry_after));
  } else {
    answer.status = reason == refusal_reason::kDeadlinePassed ? kGatewayTimeout : kBadGateway;
  }
  metrics_.CountRefusal(reason, state);
  Complete(now, subject, std::move(answer), std::string(Name(reason)));
}

void request_router::CancelAttempt(instant now, flight& subject) {
  if (!subject.outstanding) return;
  subject.outstanding = false;
  if (subject.at_own_gate) {
    gate_.Cancel(now, subject.ticket);
  } else {
    mesh_.Cancel(subject.ticket);
  }
  dispatch_answer nothing;
  nothing.reason = refusal_reason::kCancelled;
  fleet_.OnAnswer(now, subject.node, nothing);
}

void request_router::Complete(instant now, const flight_ptr& subject, http_answer answer,
                              const std::string& outcome) {
  if (subject->finished) return;
  subject->finished = true;
  CancelAttempt(now, *subject);
  const header_names& names = settings_.headers;
  if (!subject->request_id.empty() && FindHeader(answer.headers, names.request_id).empty()) {
    answer.headers.emplace_back(names.request_id, subject->request_id);
  }
  const auto elapsed = now - subject->arrived;
  const std::string route = subject->matched == nullptr ? "-" : subject->matched->name;
  metrics_.Latency("bulrushway_request_seconds", {{"route", route}}).Add(elapsed);
  const node_state* node = fleet_.Find(subject->node);
  const auto load_age =
      node == nullptr ? milliseconds{0} : duration_cast<milliseconds>(now - node->load_told);
  const bool served = answer.status < kFirstErrorStatus;
  log_.Write("request_done",
             {{"request", subject->request_id},
              {"route", route},
              {"service", subject->service},
              {"key", subject->key ? std::to_string(*subject->key) : "-"},
              {"outcome", outcome},
              {"status", std::to_string(answer.status)},
              {"state",
               std::string(Name(subject->may_have_run ? run_state::kUnknown : run_state::kNotRun))},
              {"node", subject->node.empty() ? "-" : subject->node},
              {"load_age_ms", std::to_string(load_age.count())},
              {"tries", std::to_string(subject->tries)},
              {"offers", std::to_string(subject->offers)},
              {"configuration", subject->table ? std::to_string(subject->table->version()) : "-"},
              {"elapsed_ms", std::to_string(duration_cast<milliseconds>(elapsed).count())}},
             served ? log_weight::kRoutine : log_weight::kNotable);
  subject->exchange->Reply(answer);
  flights_.erase(subject->id);
}

void request_router::OnCallerLeft(uint64_t id) {
  const auto found = flights_.find(id);
  if (found == flights_.end()) return;
  const flight_ptr subject = found->second;
  const instant now = boot_clock::now();
  subject->finished = true;
  CancelAttempt(now, *subject);
  metrics_.Counter("bulrushway_callers_left")++;
  log_.Write("caller_left", {{"request", subject->request_id},
                             {"node", subject->node.empty() ? "-" : subject->node},
                             {"offers", std::to_string(subject->offers)}});
  flights_.erase(id);
}

}  // namespace bulrushway
