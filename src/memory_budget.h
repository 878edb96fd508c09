#ifndef BULRUSHWAY_MEMORY_BUDGET_H
#define BULRUSHWAY_MEMORY_BUDGET_H

// Limits the bytes of requests and answers that a process holds together. What does not fit is
// refused by itself, so that it does not end the process with the requests of others.

#include <cstddef>
#include <functional>
#include <vector>

namespace bulrushway {

/// Messages of up to this many bytes are always accepted.
inline constexpr size_t kSmallMessageBytes = 64 << 10;

/// The budget of one process.
class memory_budget {
 public:
  /// Sets the limit in bytes; zero means that there is none.
  void SetLimit(size_t limit) { limit_ = limit; }
  /// Adds a part of the process that holds messages, by a function that returns their bytes.
  void AddHolder(std::function<size_t()> held_bytes) { holders_.push_back(std::move(held_bytes)); }
  /// Bytes held now, those included that the senders of incomplete messages have announced.
  size_t HeldBytes() const {
    size_t held = 0;
    for (const auto& held_bytes : holders_) held += held_bytes();
    return held;
  }
  /// Whether a message for which `more` bytes are not held yet can be accepted.
  bool Fits(size_t more) const { return limit_ == 0 || HeldBytes() + more <= limit_; }
  size_t limit() const { return limit_; }

 private:
  size_t limit_ = 0;
  std::vector<std::function<size_t()>> holders_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_MEMORY_BUDGET_H
