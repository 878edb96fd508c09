#ifndef BULRUSHWAY_OWN_TARGET_H
#define BULRUSHWAY_OWN_TARGET_H

// The target beside this process: which life of it is running, whether it takes new requests, and
// how much it bears. Learned from its heartbeats, its answers and its failures.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "clock.h"
#include "range_controller.h"
#include "target_heartbeat.h"

namespace bulrushway {

/// Limits that decide what silence and failures mean.
struct own_target_settings {
  std::string service;
  socket_address address;
  /// Interval of heartbeats.
  std::chrono::milliseconds heartbeat{1000};
  /// New requests may reach a leaving target for this long after its leave was acknowledged.
  std::chrono::milliseconds drain_limit{2500};
};

/// What became of a heartbeat.
enum class heartbeat_verdict {
  kAccepted,
  /// From an earlier life of the target, or overtaken by a later one.
  kOutdated,
  /// Another service or address than the one beside this process.
  kForeign,
};

/// State of the target.
class own_target {
 public:
  explicit own_target(own_target_settings settings) : settings_(std::move(settings)) {}

  /// Takes over limits that have changed.
  void SetLimits(std::chrono::milliseconds heartbeat, std::chrono::milliseconds drain_limit) {
    settings_.heartbeat = heartbeat;
    settings_.drain_limit = drain_limit;
  }

  heartbeat_verdict OnHeartbeat(instant now, const target_heartbeat& heartbeat);
  /// The target said that it is gone or about to go. False when it is not the life that runs.
  bool OnLeave(instant now, const std::string& id);
  /// The target's port refused a connection: it does not run.
  void OnConnectionRefused(instant now);
  /// Connections or answers do not come in time.
  void OnTimeout(instant now);
  /// Another target answered at the address: the life that is known has ended, and the next
  /// heartbeat tells which one runs.
  void OnMisdirected(instant now) { misdirected_since_ = now; }
  /// Any answer came.
  void OnAnswer(instant now);
  /// A health answer told how much longer the target is cold.
  void OnCold(instant now, std::chrono::milliseconds left);

  /// Life that runs; empty id before the first heartbeat.
  const target_incarnation& incarnation() const { return incarnation_; }
  uint32_t slots() const { return slots_; }
  /// Known, not refused, and not leaving.
  bool Accepting(instant now) const;
  /// Requests that need this very target, since it holds their key, may still be handed over.
  bool Serving(instant now) const;
  bool Leaving() const { return leaving_since_.has_value(); }
  /// For the range controller of its keys.
  target_condition Condition(instant now) const;
  bool Cold(instant now) const { return now < cold_until_; }
  /// Time of the next heartbeat, if they come in time.
  instant NextHeartbeat() const { return last_heartbeat_ + settings_.heartbeat; }

 private:
  bool Down(instant now) const;

  own_target_settings settings_;
  target_incarnation incarnation_;
  uint64_t sequence_ = 0;
  uint32_t slots_ = 0;
  instant last_heartbeat_{};
  std::optional<instant> leaving_since_;
  std::optional<instant> misdirected_since_;
  std::optional<instant> refused_since_;
  std::optional<instant> timed_out_since_;
  instant cold_until_{};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_OWN_TARGET_H
