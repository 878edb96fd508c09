#ifndef BULRUSHWAY_CALLER_REQUEST_H
#define BULRUSHWAY_CALLER_REQUEST_H

// The interface towards callers: how a request names its service, key, tenant and deadline, and
// what an answer or a refusal looks like. docs/CALLERS.md is the page for those who call.

#include <chrono>
#include <string>
#include <vector>

#include "error.h"
#include "http_message.h"
#include "peer_messages.h"

namespace bulrushway {

/// Limits on deadlines that callers may ask for.
struct deadline_limits {
  std::chrono::milliseconds default_deadline{2000};
  std::chrono::milliseconds max_deadline{30000};
};

/// Reads a caller's request into the form that travels between processes. Without a request id, one
/// is made from `fallback_id`. A bad header is a user error that quotes it.
result<dispatch_request> ParseCallerRequest(const http_request& request,
                                            const deadline_limits& limits,
                                            const std::string& fallback_id);

/// The answer of a target as the caller gets it.
http_answer CallerAnswer(const dispatch_request& request, const dispatch_answer& answer);

/// A refusal as the caller gets it. `home_regions` tells where to go when the request is bound to
/// other regions.
http_answer CallerRefusal(const std::string& request_id, refusal_reason reason, run_state state,
                          std::chrono::milliseconds retry_after, const std::string& detail,
                          const std::vector<std::string>& home_regions = {});

/// HTTP status of a refusal.
int StatusOf(refusal_reason reason, run_state state);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CALLER_REQUEST_H
