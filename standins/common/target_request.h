#ifndef BULRUSHWAY_TARGET_REQUEST_H
#define BULRUSHWAY_TARGET_REQUEST_H

// What a target's stand-in reads from the headers that its gate sends, and the decision whether a
// request may run.

#include <map>
#include <optional>
#include <string>

#include "clock.h"
#include "execution_log.h"
#include "http_message.h"

namespace bulrushway::standin {

/// A request as the target sees it.
struct target_request {
  std::string request_id;
  std::string idempotency_key;
  std::string key;
  bool idempotent = false;
  bool poison = false;
  /// Slice and epoch of the owner that handed the request over.
  std::optional<owned_slice> owner;
  /// The grant of the owner is good until then.
  std::optional<instant> grant_expires;
  std::optional<instant> deadline;
};

/// Reads the headers. Times in them are milliseconds that remain on arrival, which is `now`.
target_request ReadTargetRequest(const http_request& request, instant now);

/// Highest epoch met per slice.
class grant_checker {
 public:
  /// Why the owner's grant does not allow the request now; nothing when it does.
  std::optional<std::string> Check(const target_request& request, instant now);

 private:
  std::map<std::pair<std::string, uint64_t>, uint64_t> epochs_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_TARGET_REQUEST_H
