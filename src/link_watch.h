#ifndef BULRUSHWAY_LINK_WATCH_H
#define BULRUSHWAY_LINK_WATCH_H

// Decides whether an established connection still works. A connection may fall silent for good
// without being closed, so that only a missing receipt shows it.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "clock.h"

namespace bulrushway {

/// State of a connection.
enum class link_health : uint8_t {
  kWorking,
  /// A probe is due: requests run at the peer, and nothing has arrived for some time.
  kQuiet,
  /// A receipt is overdue: other peers are preferred for new requests.
  kSuspect,
  /// No receipt came in time: the connection is to be replaced.
  kSilent,
};

/// Watches one connection.
class link_watch {
 public:
  /// A request or probe was sent; ids increase.
  void OnSent(instant now, uint64_t id) { unreceipted_.push_back({id, now}); }
  /// The peer has received everything up to `id`.
  void OnReceipt(uint64_t id) {
    while (!unreceipted_.empty() && unreceipted_.front().id <= id) unreceipted_.pop_front();
    if (unreceipted_.empty()) patience_ = 1;
  }
  /// The connection was replaced. After one that fell silent, the next one is given more time: the
  /// peer may only be slow.
  void OnReplaced(bool silent) {
    unreceipted_.clear();
    patience_ = silent ? std::min(2 * patience_, kMaxPatience) : patience_;
  }

  /// `received`: when bytes last arrived; `in_flight`: requests that run at the peer.
  link_health Health(instant now, instant received, size_t in_flight,
                     std::chrono::nanoseconds round_trip) const {
    if (unreceipted_.empty()) {
      const bool quiet = in_flight > 0 && now - received > kQuietTime;
      return quiet ? link_health::kQuiet : link_health::kWorking;
    }
    // A large answer may be arriving in front of the receipt.
    const auto waited = now - std::max(received, unreceipted_.front().sent);
    if (waited > patience_ * kReceiptTime + 2 * round_trip) return link_health::kSilent;
    return waited > kSuspectTime + 2 * round_trip ? link_health::kSuspect : link_health::kWorking;
  }

 private:
  // A process at the end of its processor quota answers within a tenth of a second.
  static constexpr std::chrono::milliseconds kReceiptTime{400};
  static constexpr std::chrono::milliseconds kSuspectTime{150};
  static constexpr std::chrono::milliseconds kQuietTime{500};
  static constexpr int kMaxPatience = 4;

  struct sent_message {
    uint64_t id;
    instant sent;
  };
  std::deque<sent_message> unreceipted_;
  int patience_ = 1;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_LINK_WATCH_H
