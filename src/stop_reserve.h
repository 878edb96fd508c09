#ifndef BULRUSHWAY_STOP_RESERVE_H
#define BULRUSHWAY_STOP_RESERVE_H

// Whether a process that is about to stop should still pass a request on. One that is cut off at
// the end may have run, so that its caller must not repeat it; one that is refused can be.

#include <algorithm>
#include <chrono>

#include "clock.h"

namespace bulrushway {

/// Whether a request that usually takes `expected_work` ends before `latest_answer`, at which the
/// process ends its last requests. Zero work: unknown.
inline bool EndsBeforeStop(instant now, instant latest_answer,
                           std::chrono::milliseconds expected_work) {
  // Processing times of one route vary several times over.
  constexpr int kLongestWork = 4;
  constexpr std::chrono::milliseconds kUnknownWork{150};
  if (latest_answer == instant::max()) return true;
  const auto work = expected_work.count() > 0 ? expected_work : kUnknownWork;
  return latest_answer - now >= kLongestWork * work;
}

}  // namespace bulrushway

#endif  // BULRUSHWAY_STOP_RESERVE_H
