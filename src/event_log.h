#ifndef BULRUSHWAY_EVENT_LOG_H
#define BULRUSHWAY_EVENT_LOG_H

// Writes numbered events as one line each: number, name, then key=value fields. The last events are
// also kept in memory for operators who ask a process what happened.

#include <deque>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "error.h"
#include "event_catalogue.h"

namespace bulrushway {

/// Fields of an event, as name and value.
using event_fields = std::vector<std::pair<std::string, std::string>>;

/// One event that happened.
struct logged_event {
  /// UTC, ISO 8601 with milliseconds.
  std::string time;
  event_id id;
  event_fields fields;
};

/// The log of one process.
class event_log {
 public:
  /// Opens the log for the node: standard error, or a file that is appended to. `level` is the
  /// least level that is written.
  event_log(const std::string& node, const std::string& file, event_level level);
  ~event_log();

  /// Writes an event.
  void Write(event_id id, event_fields fields = {});
  /// Writes an event caused by an error, with its step, peer and message.
  void Write(event_id id, const error& cause);
  /// The latest events, oldest first.
  const std::deque<logged_event>& Recent() const { return recent_; }

 private:
  std::string node_;
  event_level level_;
  std::deque<logged_event> recent_;
};

/// "BW-0302 lease-lapsed term=7".
std::string ToString(const logged_event& event);

}  // namespace bulrushway

#endif  // BULRUSHWAY_EVENT_LOG_H
