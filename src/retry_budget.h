#ifndef BULRUSHWAY_RETRY_BUDGET_H
#define BULRUSHWAY_RETRY_BUDGET_H

// Limits extra attempts (retries and hedges) to a share of the requests, so that a failure of all
// targets does not multiply the load that they get.

#include <algorithm>
#include <cstdint>

namespace bulrushway {

/// Token bucket filled by requests instead of by time.
class retry_budget {
 public:
  /// Each request earns `share` of an extra attempt; at most `burst` attempts are saved up. The
  /// bucket starts full.
  retry_budget(double share, double burst) : share_(share), burst_(burst), tokens_(burst) {}

  /// The budget for all extra attempts of a process. Its share stays below the permitted 10% so
  /// that with the saved burst the amplification is under 1.1 from 100 requests on.
  static retry_budget ForExtraAttempts() { return {kExtraAttemptShare, kExtraAttemptBurst}; }

  /// Notes one request of a caller.
  void OnRequest() { tokens_ = std::min(burst_, tokens_ + share_); }

  /// Whether an extra attempt could be paid for.
  bool CanTake() const { return tokens_ >= 1; }

  /// Pays for one extra attempt if possible.
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
