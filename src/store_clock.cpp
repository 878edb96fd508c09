#include "store_clock.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;

// Steady clocks of different machines may differ in rate by one part in this many; well above the
// error of a quartz clock.
constexpr int kRateMargin = 1000;

store_time RoundedUp(std::chrono::nanoseconds span) { return std::chrono::ceil<store_time>(span); }

}  // namespace

std::chrono::nanoseconds store_clock::Uncertainty(const sample& of, instant now) const {
  return (of.answered - of.sent) + (now - of.answered) / kRateMargin;
}

void store_clock::Note(instant sent, instant answered, store_time time) {
  const sample fresh{sent, answered, time};
  if (!sample_ || Uncertainty(fresh, answered) <= Uncertainty(*sample_, answered)) {
    sample_ = fresh;
  }
}

store_time store_clock::Earliest(instant now) const {
  const auto since = now - sample_->answered;
  return sample_->time + duration_cast<store_time>(since - since / kRateMargin);
}

store_time store_clock::Latest(instant now) const {
  const auto since = now - sample_->sent;
  return sample_->time + RoundedUp(since + since / kRateMargin);
}

}  // namespace bulrushway
