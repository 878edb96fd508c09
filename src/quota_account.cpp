#include "quota_account.h"

#include <algorithm>
#include <cmath>

namespace bulrushway {
namespace {

// Time constant of the measured demand.
constexpr std::chrono::duration<double> kDemandTime{1};
// Tokens are asked for when those here last for less than the first time, and then for the second
// one: a round trip between regions takes 40 ms.
constexpr std::chrono::duration<double> kLowTime{0.1};
constexpr std::chrono::duration<double> kAheadTime{0.25};
// A workspace is forgotten below this demand, in requests per second.
constexpr double kNoDemand = 0.01;

}  // namespace

double quota_account::DemandAt(instant now, const balance& of) {
  const std::chrono::duration<double> elapsed = now - of.measured;
  return of.demand * std::exp(-std::max(0.0, elapsed / kDemandTime));
}

void quota_account::OnRequest(instant now, const std::string& workspace) {
  balance& of = balances_[workspace];
  of.demand = DemandAt(now, of) + 1 / kDemandTime.count();
  of.measured = now;
}

std::optional<quota_token> quota_account::Take(instant now, const std::string& workspace) {
  const auto found = balances_.find(workspace);
  if (found == balances_.end()) return std::nullopt;
  std::deque<quota_token>& tokens = found->second.tokens;
  while (!tokens.empty() && tokens.front().expires <= now) tokens.pop_front();
  if (tokens.empty()) return std::nullopt;
  const quota_token token = tokens.front();
  tokens.pop_front();
  return token;
}

void quota_account::Return(instant now, const std::string& workspace, const quota_token& token) {
  if (token.expires <= now) return;
  std::deque<quota_token>& tokens = balances_[workspace].tokens;
  const auto position = std::upper_bound(
      tokens.begin(), tokens.end(), token,
      [](const quota_token& a, const quota_token& b) { return a.expires < b.expires; });
  tokens.insert(position, token);
}

void quota_account::Add(instant asked, const std::string& workspace, uint32_t tokens) {
  std::deque<quota_token>& held = balances_[workspace].tokens;
  const quota_token added{asked + kTokenLifetime};
  const auto position = std::upper_bound(
      held.begin(), held.end(), added,
      [](const quota_token& a, const quota_token& b) { return a.expires < b.expires; });
  held.insert(position, tokens, added);
}

uint32_t quota_account::Missing(instant now, const std::string& workspace, uint32_t waiting) const {
  const auto found = balances_.find(workspace);
  if (found == balances_.end()) return waiting;
  const balance& of = found->second;
  const auto valid = std::count_if(of.tokens.begin(), of.tokens.end(),
                                   [now](const quota_token& token) { return token.expires > now; });
  const double demand = DemandAt(now, of);
  const double left = static_cast<double>(valid) - waiting;
  if (left >= std::max(demand * kLowTime.count(), 0.0) && left >= 0) return 0;
  const double missing = demand * kAheadTime.count() - left;
  return std::max(waiting, static_cast<uint32_t>(std::max(0.0, std::floor(missing))));
}

void quota_account::Expire(instant now) {
  for (auto& [workspace, of] : balances_) {
    while (!of.tokens.empty() && of.tokens.front().expires <= now) of.tokens.pop_front();
  }
  std::erase_if(balances_, [now](const auto& entry) {
    return entry.second.tokens.empty() && DemandAt(now, entry.second) < kNoDemand;
  });
}

}  // namespace bulrushway
