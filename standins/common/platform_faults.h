#ifndef BULRUSHWAY_PLATFORM_FAULTS_H
#define BULRUSHWAY_PLATFORM_FAULTS_H

// The faults that can be injected into the platform's stand-in.

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

#include "error.h"

namespace bulrushway::standin {

/// How the platform is out of service.
enum class platform_outage {
  kNone,
  /// Each request is answered with status 503.
  kUnavailable,
  /// Each connection is closed without an answer, and nothing takes effect.
  kDrop,
  /// The port is closed, so that connections are refused.
  kRefuse,
};

/// Faults in force.
struct platform_faults {
  platform_outage outage = platform_outage::kNone;
  /// Added to each answer.
  std::chrono::milliseconds answer_delay{0};
  /// Share of the writes, 0 to 1, that take effect and are not answered.
  double lose_answers = 0;
  /// So many of the next writes take effect and are not answered.
  uint64_t lose_next = 0;
  /// Limits per second; requests beyond are answered with status 429. 0 means no limit.
  uint64_t max_writes_per_second = 0;
  uint64_t max_reads_per_second = 0;
};

/// Changes the faults that the JSON object names: "outage" ("none", "unavailable", "drop",
/// "refuse"), "slow_ms", "lose_answers", "lose_next", "max_writes_per_second",
/// "max_reads_per_second".
result<platform_faults> ChangeFaults(platform_faults faults, const std::string& json_text);

/// Whether the answer of one write is lost; counts down `lose_next`.
bool ShouldLoseAnswer(platform_faults& faults, std::mt19937_64& random);

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_PLATFORM_FAULTS_H
