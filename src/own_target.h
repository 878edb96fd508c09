#ifndef BULRUSHWAY_OWN_TARGET_H
#define BULRUSHWAY_OWN_TARGET_H

// State of the target beside this process: its incarnation, whether it accepts new requests, and
// its capacity. Derived from its heartbeats, answers and failures.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "clock.h"
#include "range_controller.h"
#include "target_heartbeat.h"

namespace bulrushway {

/// Identity of the target, and the time limits for its failure detection and its draining.
struct own_target_settings {
  std::string service;
  socket_address address;
  /// Interval of heartbeats.
  std::chrono::milliseconds heartbeat{1000};
  /// Time after the acknowledgement of a leave for which new requests may reach the target.
  std::chrono::milliseconds drain_limit{2500};
  /// Maximum duration of a grant of keys.
  std::chrono::milliseconds longest_grant{10'000};
};

/// Result of processing a heartbeat.
enum class heartbeat_verdict {
  kAccepted,
  /// From an earlier incarnation of the target, or older than the last accepted one.
  kOutdated,
  /// For another service or address than those of the target beside this process.
  kForeign,
};

/// The target beside this process.
class own_target {
 public:
  explicit own_target(own_target_settings settings) : settings_(std::move(settings)) {}

  /// Updates the limits.
  void SetLimits(std::chrono::milliseconds heartbeat, std::chrono::milliseconds drain_limit) {
    settings_.heartbeat = heartbeat;
    settings_.drain_limit = drain_limit;
  }

  heartbeat_verdict OnHeartbeat(instant now, const target_heartbeat& heartbeat);
  /// The target reports that it has left or is leaving. False when `id` is not the current
  /// incarnation.
  bool OnLeave(instant now, const std::string& id);
  /// The target refused a connection that was attempted at `attempted`: it is not running.
  void OnConnectionRefused(instant now, instant attempted);
  /// A connection or an answer of the target timed out.
  void OnTimeout(instant now);
  /// Another target answered at the address: the known incarnation has ended, and the next
  /// heartbeat identifies the current one.
  void OnMisdirected(instant now) { misdirected_since_ = now; }
  /// The target answered.
  void OnAnswer(instant now);
  /// A health check returned how much longer the target stays cold.
  void OnCold(instant now, std::chrono::milliseconds left);

  /// Current incarnation; the id is empty before the first heartbeat.
  const target_incarnation& incarnation() const { return incarnation_; }
  uint32_t slots() const { return slots_; }
  /// Whether the target may receive any new request: known, reachable and not leaving.
  bool Accepting(instant now) const;
  /// Whether the target may receive requests for keys that it holds; it may for a while after it
  /// has begun to leave.
  bool Serving(instant now) const;
  bool Leaving() const { return leaving_since_.has_value(); }
  /// Condition of the target for the range_controller of its keys.
  target_condition Condition(instant now) const;
  bool Cold(instant now) const { return now < cold_until_; }
  /// Sequence number of the last accepted heartbeat, and the time since then.
  uint64_t HeartbeatSequence() const { return sequence_; }
  std::chrono::milliseconds HeartbeatAge(instant now) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - last_heartbeat_);
  }
  bool RefusesConnections() const { return refused_since_.has_value(); }
  /// No incarnation that was reached before this instant still runs.
  instant EndedBefore() const { return ended_before_; }
  /// Expected time of the next heartbeat.
  instant NextHeartbeat() const { return last_heartbeat_ + settings_.heartbeat; }

 private:
  using heartbeat_id = std::pair<target_incarnation, uint64_t>;

  // Heartbeats of one incarnation that count as outdated although each is newer than the one
  // before.
  struct outdated_run {
    target_incarnation incarnation;
    uint64_t sequence = 0;
    instant first{};
    instant last{};
  };

  bool Down(instant now) const;
  bool Outdated(const target_heartbeat& heartbeat) const;
  // Whether the target has sent only such heartbeats for so long that the last accepted one cannot
  // have been its own: another writer sent it, with a later start time or a higher sequence.
  bool ReplacesLastHeartbeat(instant now, const target_heartbeat& heartbeat);

  own_target_settings settings_;
  target_incarnation incarnation_;
  uint64_t sequence_ = 0;
  std::optional<outdated_run> outdated_run_;
  // The accepted heartbeat that was found not to be the target's own; its writer may repeat it.
  std::optional<heartbeat_id> disproved_;
  uint32_t slots_ = 0;
  instant last_heartbeat_{};
  std::optional<instant> leaving_since_;
  std::optional<instant> misdirected_since_;
  std::optional<instant> refused_since_;
  instant ended_before_{};
  std::optional<instant> timed_out_since_;
  instant cold_until_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_OWN_TARGET_H
