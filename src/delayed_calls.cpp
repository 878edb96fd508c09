#include "delayed_calls.h"

#include <algorithm>

namespace bulrushway {

delayed_calls::delayed_calls(event_loop& loop)
    : loop_(loop), timer_(loop, [this](instant now) { Expire(now); }) {}

void delayed_calls::CallAt(instant due, std::function<void(instant now)> call) {
  const bool first = calls_.empty() || due < calls_.begin()->first;
  calls_.emplace(due, std::move(call));
  if (first) Arm(boot_clock::now());
}

void delayed_calls::Expire(instant now) {
  while (!calls_.empty() && calls_.begin()->first <= now) {
    const auto call = std::move(calls_.begin()->second);
    calls_.erase(calls_.begin());
    loop_.Guard("delayed call", [&] { call(now); });
  }
  if (!calls_.empty()) Arm(now);
}

void delayed_calls::Arm(instant now) {
  const auto delay = calls_.begin()->first - now;
  timer_.Once(std::max<std::chrono::nanoseconds>(delay, std::chrono::nanoseconds{0}));
}

}  // namespace bulrushway
