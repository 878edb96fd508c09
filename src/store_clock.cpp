#include "store_clock.h"

namespace bulrushway {
namespace {

using std::chrono::duration_cast;

// The rates of two machines' steady clocks differ by at most one part in this many, well above the
// error of a quartz clock.
constexpr int kRateMargin = 1000;

store_time RoundedUp(std::chrono::nanoseconds duration) {
  return std::chrono::ceil<store_time>(duration);
}

}  // namespace

std::chrono::nanoseconds store_clock::Uncertainty(const sample& measured, instant now) const {
  return (measured.answered - measured.sent) + (now - measured.answered) / kRateMargin;
}

void store_clock::AddSample(instant sent, instant answered, store_time time) {
  const sample fresh{sent, answered, time};
  if (!sample_ || Uncertainty(fresh, answered) <= Uncertainty(*sample_, answered)) {
    sample_ = fresh;
  }
}

store_time store_clock::Earliest(instant now) const {
  const auto elapsed = now - sample_->answered;
  return sample_->time + duration_cast<store_time>(elapsed - elapsed / kRateMargin);
}

store_time store_clock::Latest(instant now) const {
  const auto elapsed = now - sample_->sent;
  return sample_->time + RoundedUp(elapsed + elapsed / kRateMargin);
}

}  // namespace bulrushway
