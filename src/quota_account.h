#ifndef BULRUSHWAY_QUOTA_ACCOUNT_H
#define BULRUSHWAY_QUOTA_ACCOUNT_H

// Tokens of workspaces' quotas that a process has been issued and not used yet. Tokens are asked
// for ahead of the requests that need them, as many as the recent demand uses in a short time, and
// expire soon after: what one process does not use must not add up to a burst above the quota.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "clock.h"

namespace bulrushway {

/// Permits one request.
struct quota_token {
  instant expires{};
};

/// Answer to a request for a token.
struct quota_verdict {
  /// Empty when the request is over the quota.
  std::optional<quota_token> token;
  /// Time until the workspace may have a token again.
  std::chrono::milliseconds wait{0};
};

/// The tokens of one process, by workspace.
class quota_account {
 public:
  /// Tokens expire this long after they were asked for.
  static constexpr std::chrono::milliseconds kTokenLifetime{400};

  /// Records a request of the workspace.
  void OnRequest(instant now, const std::string& workspace);
  /// Takes a token that has not expired.
  std::optional<quota_token> Take(instant now, const std::string& workspace);
  /// Returns the token of a request that was refused and has not run.
  void Return(instant now, const std::string& workspace, const quota_token& token);
  /// Adds tokens that were asked for at `asked`.
  void Add(instant asked, const std::string& workspace, uint32_t tokens);
  /// Number of tokens to ask for when `waiting` requests have none; zero when those here suffice.
  uint32_t Missing(instant now, const std::string& workspace, uint32_t waiting) const;
  /// Drops expired tokens and workspaces without requests.
  void Expire(instant now);

 private:
  struct balance {
    std::deque<quota_token> tokens;
    // EWMA of the requests per second at `measured`.
    double demand = 0;
    instant measured{};
  };

  static double DemandAt(instant now, const balance& of);

  std::map<std::string, balance> balances_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_QUOTA_ACCOUNT_H
