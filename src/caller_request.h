#ifndef BULRUSHWAY_CALLER_REQUEST_H
#define BULRUSHWAY_CALLER_REQUEST_H

// The interface to callers: how a request names its service, key, tenant and deadline, and the
// format of answers and refusals. Documented for callers in docs/CALLERS.md.

#include <chrono>
#include <string>
#include <vector>

#include "error.h"
#include "http_message.h"
#include "peer_messages.h"

namespace bulrushway {

/// Default and maximum of the deadlines that callers may request.
struct deadline_limits {
  std::chrono::milliseconds default_deadline{2000};
  std::chrono::milliseconds max_deadline{30000};
};

/// Parses a caller's request into the form that processes exchange. `fallback_id` is the request id
/// of a request without one. An invalid header is a user error that quotes the header.
result<dispatch_request> ParseCallerRequest(const http_request& request,
                                            const deadline_limits& limits,
                                            const std::string& fallback_id);

/// Converts the answer of a target for the caller.
http_answer CallerAnswer(const dispatch_request& request, const dispatch_answer& answer);

/// Builds the answer for a refused request. `home_regions` names the regions to send it to when the
/// request is restricted to other regions.
http_answer CallerRefusal(const std::string& request_id, refusal_reason reason, run_state state,
                          std::chrono::milliseconds retry_after, const std::string& detail,
                          const std::vector<std::string>& home_regions = {});

/// HTTP status of a refusal.
int StatusOf(refusal_reason reason, run_state state);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CALLER_REQUEST_H
