#ifndef BULRUSHWAY_GRANT_DELIVERY_H
#define BULRUSHWAY_GRANT_DELIVERY_H

// How the grants of a key space reach a target: in the answers to its heartbeats, or by calls to
// its address. The range controller decides what is granted in both cases; a delivery knows what
// the target holds for certain and what it may still hold.

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "clock.h"
#include "target_heartbeat.h"

namespace bulrushway {

/// How the targets of a service receive their grants.
enum class grant_delivery_kind {
  /// In the answers to their heartbeats, each of which replaces all earlier grants.
  kHeartbeat,
  /// By one call for each range, which the target answers. A call without an answer may take effect
  /// later.
  kCall,
};

/// Limits of the grants of one target.
struct grant_limits {
  /// Longest hold of a grant.
  std::chrono::milliseconds max_hold{5000};
  /// A target's clock may run slow by at most this share.
  double max_clock_slowness = 0.02;
};

/// Longest time that a hold can last by the clock of this process.
inline std::chrono::milliseconds LongestHold(const grant_limits& limits,
                                             std::chrono::milliseconds hold) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(hold *
                                                               (1 + limits.max_clock_slowness));
}

/// Knowledge of what one incarnation of a target holds.
template <class Delivery>
concept grant_delivery = requires(Delivery& delivery, const Delivery& view, instant now,
                                  uint32_t key, const key_range& keys) {
  // The range under which the target certainly holds the key; null when there is none.
  { view.Find(now, key) } -> std::same_as<const granted_range*>;
  // Latest end of all grants of the keys made so far, under whatever fence.
  { view.LatestEnd(keys) } -> std::same_as<instant>;
  // Latest end of the grants that may take effect even after the target has released the keys.
  { view.LatestLateEnd(keys) } -> std::same_as<instant>;
  // The target refused a request for the key as not held.
  delivery.OnNotHeld(now, key);
  // Another incarnation than the known one runs; nothing is certainly held.
  delivery.OnIncarnationEnded();
  // The target does not run at present; nothing is certainly held.
  delivery.OnTargetDown();
};

/// An order to a target about its keys.
struct grant_call {
  enum class kind { kGrant, kRelease };

  kind type = kind::kGrant;
  /// Identifies the call within the process.
  uint64_t id = 0;
  target_incarnation target;
  granted_range range;
  /// Hold of a grant, measured from its arrival at the target.
  std::chrono::milliseconds hold{0};
  /// Time for an answer, after which the connection is closed.
  std::chrono::milliseconds timeout{0};
  /// The only session in which a grant may be sent; 0: any.
  uint64_t session = 0;
};

/// What became of a grant_call.
enum class grant_call_result {
  /// The target has carried it out.
  kDone,
  /// The target has seen a higher fencing token on one of the keys, and did nothing.
  kHigherFence,
  /// Certainly not carried out.
  kNotDone,
  /// No answer, or one that does not tell: it may be carried out later.
  kUnknown,
};

/// Name of the result in logs and metrics.
inline std::string_view Name(grant_call_result result) {
  switch (result) {
    case grant_call_result::kDone:
      return "done";
    case grant_call_result::kHigherFence:
      return "higher-fence";
    case grant_call_result::kNotDone:
      return "not-done";
    case grant_call_result::kUnknown:
      break;
  }
  return "unknown";
}

struct grant_call_outcome {
  grant_call_result result = grant_call_result::kUnknown;
  /// Handover data of released keys.
  std::string handover = {};
  /// Session of the connection that the call was sent on, or withheld from, numbered from 1: all
  /// calls of a session reach the same incarnation. 0 if no connection was established, and for
  /// releases.
  uint64_t session = 0;
  /// The call was not sent, since the session is another one than it requires.
  bool withheld = false;
  /// The connection broke or could not be opened: another incarnation may use the address.
  bool connection_lost = false;
  /// Start of the attempt to connect, if it was refused: no incarnation from before still runs.
  std::optional<instant> refused_attempt = {};
  /// Description for the log.
  std::string detail = {};
};

/// Sends a call to the target and reports its outcome exactly once, from the event loop.
using grant_call_function =
    std::function<void(const grant_call&, std::function<void(instant, const grant_call_outcome&)>)>;

}  // namespace bulrushway

#endif  // BULRUSHWAY_GRANT_DELIVERY_H
