#ifndef BULRUSHWAY_BALANCE_CLIENT_H
#define BULRUSHWAY_BALANCE_CLIENT_H

// Sends a planned load straight to targets and chooses among them by one policy, as several
// processes with views of their own would. Compares the policies of the product on the same load,
// without the rest of the product between.

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

/// Settings of the comparison.
struct balance_settings {
  std::vector<socket_address> targets;
  /// Processes that choose independently of each other; requests go to them in turn.
  size_t routers = 5;
  bool hedge = false;
  std::chrono::milliseconds window{1000};
  size_t connections = 60;
};

/// Runs one load under one policy.
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
            [this](const planned_request& planned, instant now) { Begin(planned, now); },
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

  /// Starts to send; the loop is stopped when everything is answered.
  result<void> Start(instant now) {
    player_.Start(now);
    return {};
  }
  void Stop(instant) { player_.Stop(); }

  const load_report& Report() const { return report_; }
  load_sender_figures SenderFigures() { return {player_.Started(), 0, player_.Lag()}; }
  /// Second attempts that were sent.
  uint64_t Hedges() const { return hedges_; }

 private:
  struct router {
    std::vector<target_load> loads;
    std::vector<target_view> views;
    Picker picker;
    hedge_policy hedges;
    retry_budget extra = retry_budget::ForExtraAttempts();
    std::unique_ptr<http_client> http;
  };
  struct attempt {
    size_t target = 0;
    request_ticket ticket = 0;
    http_client::request_id http = 0;
  };
  struct flight {
    planned_request planned;
    router* from = nullptr;
    instant first_sent;
    std::map<uint64_t, attempt> attempts;
    uint32_t hedges = 0;
    bool finished = false;
  };
  using flight_pointer = std::shared_ptr<flight>;

  void Begin(const planned_request& planned, instant now) {
    auto subject = std::make_shared<flight>();
    subject->planned = planned;
    subject->from = &routers_[next_router_++ % routers_.size()];
    subject->first_sent = now;
    ++open_;
    subject->from->hedges.OnRequest();
    subject->from->extra.OnRequest();
    Attempt(subject, now);
    if (settings_.hedge) ArmHedge(subject, now);
  }

  void ArmHedge(const flight_pointer& subject, instant now) {
    const auto delay = subject->from->hedges.Delay(true);
    if (!delay || subject->hedges >= hedge_policy::kMaxHedges) return;
    delayed_.CallAt(now + *delay, [this, subject](instant later) { Hedge(subject, later); });
  }

  void Hedge(const flight_pointer& subject, instant now) {
    if (subject->finished) return;
    if (subject->from->hedges.TakeHedge(subject->hedges, subject->from->extra)) {
      ++subject->hedges;
      ++hedges_;
      Attempt(subject, now);
    }
    ArmHedge(subject, now);
  }

  void Attempt(const flight_pointer& subject, instant now) {
    router& from = *subject->from;
    for (const auto& [number, tried] : subject->attempts) from.views[tried.target].tried = true;
    const auto chosen = from.picker.Pick(now, from.views, random_);
    for (target_view& view : from.views) view.tried = false;
    if (!chosen) return;
    const uint64_t number = next_attempt_++;
    attempt& sent = subject->attempts[number];
    sent.target = *chosen;
    sent.ticket = from.loads[*chosen].Start(now);
    from.loads[*chosen].WriteTo(from.views[*chosen]);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        player_.Due(subject->planned) + player_.Settings().deadline - now);
    sent.http = from.http->Send(
        settings_.targets[*chosen], Compose(subject->planned),
        std::max(left, std::chrono::milliseconds{1}),
        [this, subject, number](const tl::expected<http_answer, http_failure>& answer) {
          Answered(subject, number, answer);
        });
  }

  void Answered(const flight_pointer& subject, uint64_t number,
                const tl::expected<http_answer, http_failure>& answer) {
    const instant now = boot_clock::now();
    load_result finished;
    finished.request = subject->planned;
    finished.latency = now - player_.Due(subject->planned);
    if (answer)
      Classify(*answer, KeyName(subject->planned), "", player_.Settings().deadline, finished);
    const bool whole = finished.outcome == load_outcome::kWhole;
    const bool timed_out = !answer && answer.error().timed_out;
    EndAttempt(*subject, number,
               whole       ? request_outcome::kAnswered
               : timed_out ? request_outcome::kTimedOut
                           : request_outcome::kFailed,
               now);
    if (!whole && !subject->attempts.empty()) return;
    subject->finished = true;
    if (whole) subject->from->hedges.OnAnswer(now - subject->first_sent, now);
    while (!subject->attempts.empty()) {
      const auto [other, sent] = *subject->attempts.begin();
      subject->from->http->Cancel(sent.http);
      EndAttempt(*subject, other, request_outcome::kCancelled, now);
    }
    report_.Add(std::move(finished));
    --open_;
    StopIfDone();
  }

  void EndAttempt(flight& subject, uint64_t number, request_outcome end, instant now) {
    const attempt ended = subject.attempts.at(number);
    subject.attempts.erase(number);
    router& from = *subject.from;
    from.loads[ended.target].Finish(ended.ticket, end, now);
    from.loads[ended.target].WriteTo(from.views[ended.target]);
  }

  void StopIfDone() {
    if (all_sent_ && open_ == 0) loop_.Stop();
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
  uint64_t open_ = 0;
  uint64_t hedges_ = 0;
  bool all_sent_ = false;
  load_report report_;
  delayed_calls delayed_;
  plan_player player_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_BALANCE_CLIENT_H
