#ifndef BULRUSHWAY_DECISION_LOG_H
#define BULRUSHWAY_DECISION_LOG_H

// Structured lines on standard output: one for each decision that touches a request or changes what
// the process believes. Lines are collected and written together, never waiting for the reader; the
// number of lines a second is bounded, and lines that were left out are counted in a line of their
// own.

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "event_loop.h"

namespace bulrushway {

/// How a line counts against the limit.
enum class log_priority {
  /// Left out when there are too many.
  kRoutine,
  /// Has a limit of its own, so that routine lines cannot displace it.
  kNotable,
};

/// The log of one process.
class decision_log {
 public:
  using fields = std::initializer_list<std::pair<std::string_view, std::string>>;

  /// Writes to the descriptor, which is made non-blocking.
  decision_log(event_loop& loop, std::string node, int descriptor);
  ~decision_log();
  decision_log(const decision_log&) = delete;
  decision_log& operator=(const decision_log&) = delete;

  /// Adds a line `time node=N event=E key=value...`.
  void Write(std::string_view event, fields values, log_priority priority = log_priority::kRoutine);
  /// Calls `observer` with each notable line, before the limit on lines.
  void OnNotable(std::function<void(std::string_view event, fields values)> observer) {
    observer_ = std::move(observer);
  }
  /// Writes out what has been collected.
  void Flush();
  uint64_t DroppedLines() const { return dropped_lines_; }

 private:
  bool Allow(log_priority priority);
  void OnFlushInterval(instant now);

  std::string node_;
  int descriptor_;
  std::string buffer_;
  uint64_t lines_[2] = {0, 0};
  uint64_t dropped_lines_ = 0;
  uint64_t reported_dropped_lines_ = 0;
  std::function<void(std::string_view, fields)> observer_;
  timer flush_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_DECISION_LOG_H
