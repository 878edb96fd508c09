#include "plan_player.h"

#include <algorithm>

namespace bulrushway::standin {

plan_player::plan_player(event_loop& loop, load_plan plan, send_function send,
                         std::function<void()> on_finished)
    : plan_(std::move(plan)),
      send_(std::move(send)),
      on_finished_(std::move(on_finished)),
      send_timer_(loop, [this](instant now) { SendDue(now); }) {}

void plan_player::Start(instant now) {
  started_ = now;
  next_ = plan_.Next();
  // The first request is sent from the event loop, so that the caller can finish starting first.
  send_timer_.Once(std::chrono::nanoseconds{0});
}

void plan_player::SendDue(instant now) {
  while (next_ && DueTime(*next_) <= now) {
    lags_.push_back(now - DueTime(*next_));
    send_(*next_, now);
    next_ = plan_.Next();
  }
  if (!next_) return on_finished_();
  const auto delay = DueTime(*next_) - boot_clock::now();
  send_timer_.Once(std::max<std::chrono::nanoseconds>(delay, std::chrono::nanoseconds{0}));
}

}  // namespace bulrushway::standin
