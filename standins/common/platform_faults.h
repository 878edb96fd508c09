#ifndef BULRUSHWAY_PLATFORM_FAULTS_H
#define BULRUSHWAY_PLATFORM_FAULTS_H

// Faults that can be injected into the platform stand-in.

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

#include "error.h"

namespace bulrushway::standin {

/// Kind of outage of the platform.
enum class platform_outage {
  kNone,
  /// Requests are answered with status 503.
  kUnavailable,
  /// Connections are closed without an answer, and requests take no effect.
  kDrop,
  /// The port is closed, so connections are refused.
  kRefuse,
};

/// Active faults.
struct platform_faults {
  platform_outage outage = platform_outage::kNone;
  /// Delay added to each answer.
  std::chrono::milliseconds answer_delay{0};
  /// Share of the writes, 0 to 1, that take effect but are not answered.
  double lose_answers = 0;
  /// Number of upcoming writes that take effect but are not answered.
  uint64_t lose_next = 0;
  /// Rate limits; requests over the limit are answered with status 429. 0 means no limit.
  uint64_t max_writes_per_second = 0;
  uint64_t max_reads_per_second = 0;
};

/// Returns `faults` changed by the fields of a JSON object: "outage" ("none", "unavailable",
/// "drop", "refuse"), "slow_ms", "lose_answers", "lose_next", "max_writes_per_second",
/// "max_reads_per_second".
result<platform_faults> ChangeFaults(platform_faults faults, const std::string& json_text);

/// Decides whether the answer to one write is lost; decrements `lose_next`.
bool ShouldLoseAnswer(platform_faults& faults, std::mt19937_64& random);

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_PLATFORM_FAULTS_H
