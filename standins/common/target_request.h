#ifndef BULRUSHWAY_TARGET_REQUEST_H
#define BULRUSHWAY_TARGET_REQUEST_H

// Parses the headers that a gate sends to its target, and checks whether the owner's grant allows a
// request to run.

#include <map>
#include <optional>
#include <string>

#include "clock.h"
#include "execution_log.h"
#include "http_message.h"

namespace bulrushway::standin {

/// A request as the target stand-in receives it.
struct target_request {
  std::string request_id;
  std::string idempotency_key;
  std::string key;
  bool idempotent = false;
  bool poison = false;
  /// Slice and epoch under which the owner sent the request to the target.
  std::optional<owned_slice> owner;
  /// Time at which the owner's grant expires.
  std::optional<instant> grant_expires;
  std::optional<instant> deadline;
};

/// Parses the headers. They give times as milliseconds that remain on arrival, which is at `now`.
target_request ReadTargetRequest(const http_request& request, instant now);

/// Checks requests against the highest epoch seen for their slice, which is a fencing token.
class grant_checker {
 public:
  /// Returns the reason why the owner's grant does not allow the request at `now`, or nothing if it
  /// does.
  std::optional<std::string> Check(const target_request& request, instant now);

 private:
  std::map<std::pair<std::string, uint64_t>, uint64_t> epochs_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_TARGET_REQUEST_H
