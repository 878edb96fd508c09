#include "target_limit.h"

#include <cmath>

#include "parse_number.h"

namespace bulrushway {

std::optional<double> ParseRequestLimit(const std::string& text) {
  const auto rate = ParseNumber<double>(text);
  if (!rate || !std::isfinite(*rate) || *rate < 0) return std::nullopt;
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
