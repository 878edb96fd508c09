#ifndef BULRUSHWAY_QUOTA_LEDGER_H
#define BULRUSHWAY_QUOTA_LEDGER_H

// The parts of workspaces' quotas that one process issues. A quota is divided into kQuotaParts
// equal parts; a part belongs to the owner of one key of the keyed service, so that it has at most
// one issuer at any time. Answers load above a quota, and callers that move between machines: the
// sum that all processes issue is within the quota whatever they see of each other.

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "clock.h"
#include "token_bucket.h"
#include "workspace.h"

namespace bulrushway {

/// Parts of a quota. The loss of one issuer leaves three quarters of the quota until its key has a
/// new owner.
inline constexpr uint32_t kQuotaParts = 4;

/// A part of the quota of a workspace.
struct quota_part {
  std::string workspace;
  uint32_t number = 0;

  auto operator<=>(const quota_part&) const = default;
};

/// Key whose owner issues the part.
uint32_t QuotaKey(std::string_view workspace, uint32_t part);

/// Rate and burst of one part.
struct quota_share {
  double per_second = 0;
  double burst = 0;
};

/// The share that each part of the workspace's quota has.
quota_share ShareOf(const workspace& entry);

/// Tokens that were issued, each for one request.
struct quota_loan {
  uint32_t tokens = 0;
  /// Time until the part has a token again; zero when it issued all that was asked for.
  std::chrono::milliseconds wait{0};
};

/// The parts that this process issues.
class quota_ledger {
 public:
  /// Sets the parts and their shares. A new part starts without tokens: its former issuer may have
  /// issued them. Tokens of other parts are dropped, and those above a new burst as well.
  void SetParts(instant now, const std::map<quota_part, quota_share>& parts);
  /// Issues up to `wanted` tokens of a part; none of a part that this process does not issue.
  quota_loan Issue(instant now, const quota_part& part, uint32_t wanted);
  bool Contains(const quota_part& part) const { return buckets_.contains(part); }

 private:
  std::map<quota_part, token_bucket> buckets_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_QUOTA_LEDGER_H
