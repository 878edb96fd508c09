#include "rate_meter.h"

#include <algorithm>

namespace bulrushway::standin {

bool rate_meter::TryCount(uint64_t limit, instant now) {
  AdvanceTo(now);
  if (limit > 0 && current_ >= limit) {
    ++refused_;
    return false;
  }
  ++current_;
  ++total_;
  largest_ = std::max(largest_, current_);
  return true;
}

uint64_t rate_meter::LastSecond(instant now) {
  AdvanceTo(now);
  return last_;
}

void rate_meter::AdvanceTo(instant now) {
  const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  if (second == second_) return;
  last_ = second == second_ + 1 ? current_ : 0;
  current_ = 0;
  second_ = second;
}

}  // namespace bulrushway::standin
