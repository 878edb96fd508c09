#ifndef BULRUSHWAY_BODY_ADMISSION_H
#define BULRUSHWAY_BODY_ADMISSION_H

// Decides which connections of callers may go on sending a request, so that what all of them sent
// stays within the memory of the process. Answers callers that nobody controls: many large bodies
// at once, bodies that stop just short of their end, and many small ones that never end.
//
// The bytes of a connection that has to wait stay in the socket. A part of the memory is kept for
// small requests, so that ordinary callers are read while large bodies fill the rest. While others
// wait, the unfinished request that has held the most memory for the longest time without progress
// has to give way.

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "clock.h"

namespace bulrushway {

/// The unfinished requests of callers, and those in flight.
class body_admission {
 public:
  /// Identifies a connection.
  using holder = void*;

  /// Memory for requests and answers of the process, in bytes; zero means that it is not limited.
  void SetLimit(size_t limit) { limit_ = limit; }
  /// Asks for `bytes` in total for the unfinished request of a connection, while the rest of the
  /// process holds `others`. False: the connection has to wait, and to ask again.
  bool Reserve(instant now, holder connection, size_t bytes, size_t others);
  /// Whether the connection has as much already.
  bool Holds(holder connection, size_t bytes) const;
  /// More of the unfinished request has arrived.
  void OnProgress(instant now, holder connection);
  /// The request is complete and in flight with a body of `bytes`.
  void OnComplete(holder connection, size_t bytes);
  /// A request in flight with a body of `bytes` was answered.
  void OnAnswered(holder connection, size_t bytes);
  /// The connection is closed, or its unfinished request was rejected.
  void Remove(holder connection);

  /// Connections whose unfinished requests have to be rejected now, for others that wait.
  std::vector<holder> GiveWay(instant now, size_t others) const;
  /// Connections that have waited for longer than `limit`: those without memory, and one of those
  /// that hold some, whose end lets others go on.
  std::vector<holder> Overdue(instant now, std::chrono::nanoseconds limit) const;
  /// Connections that wait, longest first.
  std::vector<holder> Waiting() const;
  size_t HeldBytes() const { return unfinished_bytes_ + in_flight_bytes_; }

 private:
  struct request {
    size_t unfinished = 0;
    size_t in_flight = 0;
    instant progress{};
    // Set while the connection waits.
    bool waits = false;
    instant waits_since{};
    size_t wanted = 0;
  };

  bool Fits(const request& of, size_t bytes, size_t others) const;
  void SetUnfinished(request& of, size_t bytes);

  size_t limit_ = 0;
  size_t unfinished_bytes_ = 0;
  size_t in_flight_bytes_ = 0;
  std::map<holder, request> requests_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_BODY_ADMISSION_H
