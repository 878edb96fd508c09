#ifndef BULRUSHWAY_RETRY_BUDGET_H
#define BULRUSHWAY_RETRY_BUDGET_H

// Limits extra attempts (retries and hedged requests) to a share of the requests, so that a failure
// of all targets does not multiply their load.

#include <algorithm>
#include <cstdint>

namespace bulrushway {

/// Token bucket filled by requests instead of by time.
class retry_budget {
 public:
  /// Each request adds `share` tokens, and each extra attempt takes one; at most `burst` tokens are
  /// saved up. The bucket starts full.
  retry_budget(double share, double burst) : share_(share), burst_(burst), tokens_(burst) {}

  /// Budget for all extra attempts of a process. The share is below the permitted 10% so that, with
  /// the full burst, the amplification is under 1.1 from 100 requests on.
  static retry_budget ForExtraAttempts() { return {kExtraAttemptShare, kExtraAttemptBurst}; }

  /// Adds the share of one request of a caller.
  void OnRequest() { tokens_ = std::min(burst_, tokens_ + share_); }

  /// Whether there is a token for an extra attempt.
  bool CanTake() const { return tokens_ >= 1; }

  /// Takes the token of one extra attempt; false when there is none.
  bool Take() {
    if (!CanTake()) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double kExtraAttemptShare = 0.06;
  static constexpr double kExtraAttemptBurst = 4;

  double share_;
  double burst_;
  double tokens_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_RETRY_BUDGET_H
