#include "plan_player.h"

#include <algorithm>

namespace bulrushway::standin {

plan_player::plan_player(event_loop& loop, load_plan plan, sender send, std::function<void()> over)
    : plan_(std::move(plan)),
      send_(std::move(send)),
      over_(std::move(over)),
      next_due_(loop, [this](instant now) { PlayDue(now); }) {}

void plan_player::Start(instant now) {
  started_ = now;
  next_ = plan_.Next();
  // The first request is sent from the loop, after the caller is done with its own start.
  next_due_.Once(std::chrono::nanoseconds{0});
}

void plan_player::PlayDue(instant now) {
  while (next_ && Due(*next_) <= now) {
    lags_.push_back(now - Due(*next_));
    send_(*next_, now);
    next_ = plan_.Next();
  }
  if (!next_) return over_();
  const auto delay = Due(*next_) - boot_clock::now();
  next_due_.Once(std::max<std::chrono::nanoseconds>(delay, std::chrono::nanoseconds{0}));
}

}  // namespace bulrushway::standin
