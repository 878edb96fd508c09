#include "token_bucket.h"

#include <algorithm>
#include <cmath>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Reported wait for a bucket that is not refilled.
constexpr milliseconds kNoRefillWait{1000};

}  // namespace

void token_bucket::Configure(instant now, double rate, double burst) {
  tokens_ = Tokens(now);
  refilled_at_ = now;
  rate_ = rate;
  burst_ = std::max(1.0, burst);
  tokens_ = std::min(tokens_, burst_);
}

double token_bucket::Tokens(instant now) const {
  const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
  return std::min(burst_, tokens_ + std::max(0.0, elapsed) * rate_);
}

bool token_bucket::Take(instant now) {
  tokens_ = Tokens(now);
  refilled_at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

milliseconds token_bucket::Wait(instant now, double tokens) const {
  const double missing = tokens - Tokens(now);
  constexpr double kMsPerSecond = 1000;
  if (missing <= 0) return milliseconds{0};
  if (rate_ <= 0) return kNoRefillWait;
  return milliseconds(static_cast<int64_t>(std::ceil(missing / rate_ * kMsPerSecond)));
}

void token_bucket::Fill(instant now) {
  tokens_ = burst_;
  refilled_at_ = now;
}

void token_bucket::Empty(instant now) {
  tokens_ = 0;
  refilled_at_ = now;
}

}  // namespace bulrushway
