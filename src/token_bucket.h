#ifndef BULRUSHWAY_TOKEN_BUCKET_H
#define BULRUSHWAY_TOKEN_BUCKET_H

// Token bucket that limits the rate of requests.

#include <chrono>

#include "clock.h"

namespace bulrushway {

/// Tokens that are refilled at a constant rate up to the size of the bucket.
class token_bucket {
 public:
  /// Sets the rate in tokens per second and the size of the bucket, which is at least one token.
  void Configure(instant now, double rate, double burst);
  /// Takes a token; false when there is none.
  bool Take(instant now);
  bool CanTake(instant now) const { return Tokens(now) >= 1; }
  /// Time until the next token.
  std::chrono::milliseconds Wait(instant now) const { return Wait(now, 1); }
  /// Time until there are `tokens` tokens for requests that wait; may exceed the bucket's size.
  std::chrono::milliseconds Wait(instant now, double tokens) const;
  void Fill(instant now);
  void Empty(instant now);

 private:
  double Tokens(instant now) const;

  double rate_ = 0;
  double burst_ = 1;
  double tokens_ = 1;
  instant refilled_at_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TOKEN_BUCKET_H
