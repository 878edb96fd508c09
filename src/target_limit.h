#ifndef BULRUSHWAY_TARGET_LIMIT_H
#define BULRUSHWAY_TARGET_LIMIT_H

// The request limit of a target. A target in need names in its answers how many requests a second
// it takes from all processes together; the limit lasts until an answer does not name it.

#include <optional>
#include <string>

#include "clock.h"

namespace bulrushway {

/// Parses a limit in requests per second; empty unless the text is a finite number of at least 0.
std::optional<double> ParseRequestLimit(const std::string& text);

/// The limit that one incarnation of a target has named.
class target_limit {
 public:
  /// Takes over what an answer says: the limit, or none. Returns whether the limit has changed.
  /// `sent` is when the request was sent: the answer to one sent before the limit was last named
  /// may be older than the limit, and does not end it.
  bool OnAnswer(instant now, instant sent, std::optional<double> rate);
  /// Forgets what the previous incarnation of the target said.
  void Reset() { *this = {}; }

  /// Requests per second; empty while the target names no limit.
  std::optional<double> rate() const { return rate_; }

 private:
  std::optional<double> rate_;
  instant named_at_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_LIMIT_H
