#include "target_limit.h"

#include <charconv>
#include <cmath>

namespace bulrushway {

std::optional<double> ParseRequestLimit(const std::string& text) {
  double rate = 0;
  const char* last = text.data() + text.size();
  const auto [end, problem] = std::from_chars(text.data(), last, rate);
  if (problem != std::errc{} || end != last || !std::isfinite(rate) || rate < 0) {
    return std::nullopt;
  }
  return rate;
}

bool target_limit::OnAnswer(instant now, instant sent, std::optional<double> rate) {
  if (rate) {
    named_at_ = now;
  } else if (sent <= named_at_) {
    return false;
  }
  if (rate == rate_) return false;
  rate_ = rate;
  return true;
}

}  // namespace bulrushway
