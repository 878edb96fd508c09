#ifndef BULRUSHWAY_CONCURRENCY_CAP_H
#define BULRUSHWAY_CONCURRENCY_CAP_H

// Limits the number of requests that the gate has in flight at its target. A cold target has little
// capacity, so the cap starts small, rises while the latency of answers stays stable, and drops at
// once when the target sheds load or appears to be cold again. It never exceeds the slots of the
// target.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "clock.h"

namespace bulrushway {

/// Bounds of the cap of one target.
struct concurrency_settings {
  /// Requests that a warm target executes at the same time.
  uint32_t slots = 12;
  /// Requests that a target can execute at the same time directly after its start.
  uint32_t cold_start_limit = 2;
};

/// Adaptive cap on the requests in flight at one target.
class concurrency_cap {
 public:
  explicit concurrency_cap(concurrency_settings settings)
      : settings_(settings), limit_(settings.cold_start_limit), ceiling_(settings.slots) {}

  /// Maximum number of requests in flight.
  uint32_t limit() const { return limit_; }

  /// Whether another request may be sent while `in_flight` requests are running.
  bool Admits(uint32_t in_flight) const { return in_flight < limit_; }

  /// True after a cold start until the cap reaches the number of slots.
  bool cold() const { return cold_; }

  /// Records a complete answer. `in_flight` includes the answered request.
  void OnAnswer(std::chrono::nanoseconds latency, uint32_t in_flight, instant now);

  /// Halves the cap because the target shed a request.
  void OnShed(instant now);

  /// Halves the cap because the target failed.
  void OnFailure(instant now);

  /// Records a request that timed out after `waited`. Several consecutive timeouts halve the cap. A
  /// single one does not, since the request itself may be slow. A wait within the usual latency is
  /// ignored, since it does not indicate a slow target.
  void OnTimeout(std::chrono::nanoseconds waited, instant now);

  /// Treats the target as cold: it closed or refused connections and may have been restarted.
  void OnConnectionLost(instant now);

  /// Records the boot id reported in an answer. A changed id means that the target was restarted
  /// and is cold.
  void OnBootId(std::string_view boot_id, instant now);

 private:
  void StartCold(instant now);
  void Halve(instant now);
  void FinishRound(instant now);
  void Raise(instant now);
  bool LooksColdAfterIdle(std::chrono::nanoseconds latency, instant now) const;

  concurrency_settings settings_;
  uint32_t limit_;
  bool cold_ = true;
  // At or above this value the cap rises by at most one per second: the target showed overload
  // there.
  uint32_t ceiling_;
  // Time of the last change of the cap; initially that of the first answer.
  instant raised_at_{};
  instant lowered_at_{};
  instant last_answer_at_{};
  // Mean latency of the best recent round, the baseline for the next round. Zero: unknown.
  std::chrono::nanoseconds reference_latency_{0};
  std::chrono::nanoseconds round_latency_sum_{0};
  uint32_t round_answers_ = 0;
  bool round_used_limit_ = false;
  uint32_t consecutive_timeouts_ = 0;
  std::string boot_id_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONCURRENCY_CAP_H
