#ifndef BULRUSHWAY_DECISION_LOG_H
#define BULRUSHWAY_DECISION_LOG_H

// Structured log lines on standard output: one for each decision about a request and each change
// of the process's state. Lines are buffered and written in batches without blocking on the reader.
// The rate of lines is limited; the number of dropped lines is logged in a line of its own.

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "event_loop.h"

namespace bulrushway {

/// Which rate limit applies to a line.
enum class log_priority {
  /// Dropped when there are too many lines.
  kRoutine,
  /// Has a separate limit, so that routine lines cannot displace notable ones.
  kNotable,
};

/// The decision log of one process.
class decision_log {
 public:
  using fields = std::initializer_list<std::pair<std::string_view, std::string>>;

  /// Writes to the file descriptor, which is set to non-blocking mode.
  decision_log(event_loop& loop, std::string node, int descriptor);
  ~decision_log();
  decision_log(const decision_log&) = delete;
  decision_log& operator=(const decision_log&) = delete;

  /// Adds a line `time node=N event=E key=value...`.
  void Write(std::string_view event, fields values, log_priority priority = log_priority::kRoutine);
  /// Sets a function that is called with each notable line, including those that are dropped.
  void OnNotable(std::function<void(std::string_view event, fields values)> observer) {
    observer_ = std::move(observer);
  }
  /// Writes the buffered lines, as far as possible without blocking.
  void Flush();
  /// Total lines dropped since the start.
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
