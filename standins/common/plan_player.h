#ifndef BULRUSHWAY_PLAN_PLAYER_H
#define BULRUSHWAY_PLAN_PLAYER_H

// Plays a load plan in real time: calls for each request at its planned time, whatever became of
// the earlier ones, and keeps how far the calls fell behind the plan.

#include <functional>
#include <optional>
#include <vector>

#include "event_loop.h"
#include "load_plan.h"
#include "load_report.h"

namespace bulrushway::standin {

/// Player of one plan.
class plan_player {
 public:
  using send_function = std::function<void(const planned_request& planned, instant now)>;

  /// `send` is called for each request, `over` once after the last one.
  plan_player(event_loop& loop, load_plan plan, send_function send,
              std::function<void()> on_finished);

  /// Starts to play.
  void Start(instant now);
  /// Plays no further.
  void Stop() { send_timer_.Cancel(); }
  instant StartTime() const { return started_; }
  /// Time at which the request is due.
  instant DueTime(const planned_request& planned) const { return started_ + planned.at; }
  /// How far the calls fell behind the plan.
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
