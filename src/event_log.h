#ifndef BULRUSHWAY_EVENT_LOG_H
#define BULRUSHWAY_EVENT_LOG_H

// Writes each numbered event as one line: number, name, then key=value fields. The latest events
// are also kept in memory, where operators can query them.

#include <deque>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "error.h"
#include "event_catalogue.h"

namespace bulrushway {

/// Names and values of an event's fields.
using event_fields = std::vector<std::pair<std::string, std::string>>;

/// An event that was logged.
struct logged_event {
  /// UTC, ISO 8601 with milliseconds.
  std::string time;
  event_id id;
  event_fields fields;
};

/// The event log of one process.
class event_log {
 public:
  /// Opens the log of the node: appends to `file`, or writes to standard error when that is empty.
  /// Events below `level` are not written.
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

/// Formats as "BW-0302 lease-lapsed term=7".
std::string ToString(const logged_event& event);

}  // namespace bulrushway

#endif  // BULRUSHWAY_EVENT_LOG_H
