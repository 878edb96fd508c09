#ifndef BULRUSHWAY_PLAN_PLAYER_H
#define BULRUSHWAY_PLAN_PLAYER_H

// Replays a load plan in real time: calls back for each request at its planned time, regardless of
// the outcome of earlier requests, and records the delay of the calls behind the plan.

#include <functional>
#include <optional>
#include <vector>

#include "event_loop.h"
#include "load_plan.h"
#include "load_report.h"

namespace bulrushway::standin {

/// Replays one plan.
class plan_player {
 public:
  using send_function = std::function<void(const planned_request& planned, instant now)>;

  /// Calls `send` for each request and `on_finished` once after the last one.
  plan_player(event_loop& loop, load_plan plan, send_function send,
              std::function<void()> on_finished);

  /// Starts the replay; `now` is the start of the plan.
  void Start(instant now);
  /// Stops the replay.
  void Stop() { send_timer_.Cancel(); }
  instant StartTime() const { return started_; }
  /// Planned send time of the request.
  instant DueTime(const planned_request& planned) const { return started_ + planned.at; }
  /// Delay of the calls behind the planned times.
  latency_summary Lag() { return Summarize(lags_); }
  const load_settings& Settings() const { return plan_.Settings(); }

 private:
  void SendDue(instant now);

  load_plan plan_;
  send_function send_;
  std::function<void()> on_finished_;
  instant started_{};
  std::optional<planned_request> next_;
  std::vector<std::chrono::nanoseconds> lags_;
  timer send_timer_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_PLAN_PLAYER_H
