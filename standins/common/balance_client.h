#ifndef BULRUSHWAY_BALANCE_CLIENT_H
#define BULRUSHWAY_BALANCE_CLIENT_H

// Sends a planned load directly to targets and chooses among them by one load-balancing policy. It
// simulates several routers, each with its own view of the targets' load, so that the policies can
// be compared on the same load without the rest of the router.

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "delayed_calls.h"
#include "hedge_policy.h"
#include "http_client.h"
#include "load_output.h"
#include "plan_player.h"
#include "retry_budget.h"
#include "target_load.h"
#include "target_picker.h"

namespace bulrushway::standin {

/// Settings of a balance client.
struct balance_settings {
  std::vector<socket_address> targets;
  /// Simulated routers that choose independently of each other; requests are assigned round-robin.
  size_t routers = 5;
  bool hedge = false;
  std::chrono::milliseconds window{1000};
  size_t connections = 60;
};

/// Runs one load under one load-balancing policy.
template <target_picker Picker>
class balance_client {
 public:
  balance_client(event_loop& loop, load_plan plan, balance_settings settings)
      : loop_(loop),
        settings_(std::move(settings)),
        random_(plan.Settings().seed + 1),
        routers_(settings_.routers),
        report_(plan.Settings(), settings_.window),
        delayed_(loop),
        player_(
            loop, std::move(plan),
            [this](const planned_request& planned, instant now) { StartRequest(planned, now); },
            [this] {
              all_sent_ = true;
              StopIfDone();
            }) {
    for (router& each : routers_) {
      each.loads.resize(settings_.targets.size());
      each.views.resize(settings_.targets.size());
      each.http = std::make_unique<http_client>(loop, settings_.connections);
    }
  }

  /// Starts sending; stops the event loop when all requests are finished.
  result<void> Start(instant now) {
    player_.Start(now);
    return {};
  }
  void Stop(instant) { player_.Stop(); }

  const load_report& Report() const { return report_; }
  load_sender_figures SenderFigures() { return {player_.StartTime(), 0, player_.Lag()}; }
  /// Number of hedged attempts sent.
  uint64_t Hedges() const { return hedges_; }

 private:
  struct router {
    std::vector<target_load> loads;
    std::vector<target_view> views;
    Picker picker;
    hedge_policy hedges;
    retry_budget extra_attempts = retry_budget::ForExtraAttempts();
    std::unique_ptr<http_client> http;
  };
  struct attempt {
    size_t target = 0;
    request_ticket ticket = 0;
    http_client::request_id http = 0;
  };
  struct pending_request {
    planned_request planned;
    router* origin = nullptr;
    instant first_sent;
    std::map<uint64_t, attempt> attempts;
    uint32_t hedges = 0;
    bool finished = false;
  };
  using pending_pointer = std::shared_ptr<pending_request>;

  void StartRequest(const planned_request& planned, instant now) {
    auto pending = std::make_shared<pending_request>();
    pending->planned = planned;
    pending->origin = &routers_[next_router_++ % routers_.size()];
    pending->first_sent = now;
    ++pending_requests_;
    pending->origin->hedges.OnRequest();
    pending->origin->extra_attempts.OnRequest();
    SendAttempt(pending, now);
    if (settings_.hedge) ScheduleHedge(pending, now);
  }

  void ScheduleHedge(const pending_pointer& pending, instant now) {
    const auto delay = pending->origin->hedges.Delay(true);
    if (!delay || pending->hedges >= hedge_policy::kMaxHedges) return;
    delayed_.CallAt(now + *delay, [this, pending](instant later) { SendHedge(pending, later); });
  }

  void SendHedge(const pending_pointer& pending, instant now) {
    if (pending->finished) return;
    if (pending->origin->hedges.TakeHedge(pending->hedges, pending->origin->extra_attempts)) {
      ++pending->hedges;
      ++hedges_;
      SendAttempt(pending, now);
    }
    ScheduleHedge(pending, now);
  }

  void SendAttempt(const pending_pointer& pending, instant now) {
    router& origin = *pending->origin;
    for (const auto& [number, tried] : pending->attempts) origin.views[tried.target].tried = true;
    const auto chosen = origin.picker.Pick(now, origin.views, random_);
    for (target_view& view : origin.views) view.tried = false;
    if (!chosen) return;
    const uint64_t attempt_id = next_attempt_++;
    attempt& sent = pending->attempts[attempt_id];
    sent.target = *chosen;
    sent.ticket = origin.loads[*chosen].Start(now);
    origin.loads[*chosen].WriteTo(origin.views[*chosen]);
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        player_.DueTime(pending->planned) + player_.Settings().deadline - now);
    sent.http = origin.http->Send(
        settings_.targets[*chosen], Compose(pending->planned),
        std::max(remaining, std::chrono::milliseconds{1}),
        [this, pending, attempt_id](const tl::expected<http_answer, http_failure>& answer) {
          OnAnswer(pending, attempt_id, answer);
        });
  }

  void OnAnswer(const pending_pointer& pending, uint64_t attempt_id,
                const tl::expected<http_answer, http_failure>& answer) {
    const instant now = boot_clock::now();
    load_result finished;
    finished.request = pending->planned;
    finished.latency = now - player_.DueTime(pending->planned);
    if (answer)
      Classify(*answer, KeyName(pending->planned), "", player_.Settings().deadline, finished);
    const bool whole = finished.outcome == load_outcome::kWhole;
    const bool timed_out = !answer && answer.error().timed_out;
    EndAttempt(*pending, attempt_id,
               whole       ? request_outcome::kAnswered
               : timed_out ? request_outcome::kTimedOut
                           : request_outcome::kFailed,
               now);
    if (!whole && !pending->attempts.empty()) return;
    pending->finished = true;
    if (whole) pending->origin->hedges.OnAnswer(now - pending->first_sent, now);
    while (!pending->attempts.empty()) {
      const auto [other_id, sent] = *pending->attempts.begin();
      pending->origin->http->Cancel(sent.http);
      EndAttempt(*pending, other_id, request_outcome::kCancelled, now);
    }
    report_.Add(std::move(finished));
    --pending_requests_;
    StopIfDone();
  }

  void EndAttempt(pending_request& pending, uint64_t attempt_id, request_outcome end, instant now) {
    const attempt ended = pending.attempts.at(attempt_id);
    pending.attempts.erase(attempt_id);
    router& origin = *pending.origin;
    origin.loads[ended.target].Finish(ended.ticket, end, now);
    origin.loads[ended.target].WriteTo(origin.views[ended.target]);
  }

  void StopIfDone() {
    if (all_sent_ && pending_requests_ == 0) loop_.Stop();
  }

  static std::string KeyName(const planned_request& planned) {
    return "key" + std::to_string(planned.key);
  }

  http_request Compose(const planned_request& planned) const {
    const std::string& service = player_.Settings().services[planned.service].name;
    http_request request{"GET", "/" + service + "/item/" + KeyName(planned), {}, {}};
    request.headers.emplace_back("X-Bulrush-Request-Id", planned.request_id);
    request.headers.emplace_back("X-Bulrush-Deadline-Ms",
                                 std::to_string(player_.Settings().deadline.count()));
    return request;
  }

  event_loop& loop_;
  balance_settings settings_;
  std::mt19937_64 random_;
  std::vector<router> routers_;
  size_t next_router_ = 0;
  uint64_t next_attempt_ = 1;
  uint64_t pending_requests_ = 0;
  uint64_t hedges_ = 0;
  bool all_sent_ = false;
  load_report report_;
  delayed_calls delayed_;
  plan_player player_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_BALANCE_CLIENT_H
