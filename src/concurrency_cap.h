#ifndef BULRUSHWAY_CONCURRENCY_CAP_H
#define BULRUSHWAY_CONCURRENCY_CAP_H

// How many requests the gate lets into its target at the same time. A fresh target bears little, so
// the cap starts small, rises with answers that come back as fast as before, and falls at once when
// the target shows signs of being cold again. It never exceeds the slots of the target.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "clock.h"

namespace bulrushway {

/// Limits of one target.
struct concurrency_settings {
  /// Requests that a warm target executes at the same time.
  uint32_t slots = 12;
  /// Requests that a target bears at once directly after its start.
  uint32_t cold_start_limit = 2;
};

/// Adaptive cap on the requests in flight at one target.
class concurrency_cap {
 public:
  explicit concurrency_cap(concurrency_settings settings)
      : settings_(settings), limit_(settings.cold_start_limit), ceiling_(settings.slots) {}

  /// Requests that may be in flight now.
  uint32_t limit() const { return limit_; }

  /// Whether one more request may be handed over while `in_flight` are under way.
  bool Admits(uint32_t in_flight) const { return in_flight < limit_; }

  /// True until the cap has reached the slots once since the last cold start.
  bool cold() const { return cold_; }

  /// A whole answer came back. `in_flight` counts it.
  void OnAnswer(std::chrono::nanoseconds latency, uint32_t in_flight, instant now);

  /// The target refused work because it has too much of it.
  void OnShed(instant now);

  /// The target failed.
  void OnFailure(instant now);

  /// No answer came in the time that the request had. Several in a row lower the cap; a single one
  /// may be a request that takes long by itself, and a short wait says nothing of the target.
  void OnTimeout(std::chrono::nanoseconds waited, instant now);

  /// The target closed or refused its connections: it may have been restarted.
  void OnConnectionLost(instant now);

  /// The target named its boot in an answer; another one than before is a cold start.
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
  // Above this the cap rises only by one step a second: the target shed work there.
  uint32_t ceiling_;
  // Last step up, or the first answer.
  instant raised_at_{};
  instant lowered_at_{};
  instant last_answer_at_{};
  // Latency of the best recent round, the yardstick for the next one.
  std::chrono::nanoseconds reference_latency_{0};
  std::chrono::nanoseconds round_latency_sum_{0};
  uint32_t round_answers_ = 0;
  bool round_used_limit_ = false;
  uint32_t consecutive_timeouts_ = 0;
  std::string boot_id_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONCURRENCY_CAP_H
