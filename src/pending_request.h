#ifndef BULRUSHWAY_PENDING_REQUEST_H
#define BULRUSHWAY_PENDING_REQUEST_H

// Internal to the request router: state of one request.

#include <memory>
#include <string>
#include <vector>

#include "request_router.h"

namespace bulrushway {

struct request_router::pending_request {
  uint64_t id = 0;
  std::shared_ptr<http_exchange> exchange;
  std::shared_ptr<const route_table> table;
  const route* matched = nullptr;
  // Workspace of the caller; null where requests need no key.
  const workspace* caller_workspace = nullptr;
  std::optional<quota_token> token;
  // Regions that the route and the workspace both allow.
  std::vector<std::string> home_regions;
  std::string request_id;
  std::string service;
  std::optional<uint32_t> key;
  bool keyed = false;
  std::string body;
  instant arrived;
  instant deadline;
  // An answer by then meets the latency target.
  instant on_time_until;
  // Current attempt: its number, where it runs, and the ticket that cancels it.
  uint64_t attempt = 0;
  bool outstanding = false;
  bool at_own_gate = false;
  uint64_t ticket = 0;
  std::string node;
  // Number of attempts at gates, and of those at which the target received the request.
  uint32_t tries = 0;
  uint32_t offers = 0;
  bool may_have_run = false;
  std::vector<std::string> tried;
  std::chrono::milliseconds retry_after{0};
  refusal_reason last_reason = refusal_reason::kNone;
  bool finished = false;
};

// A request that ends with a 4xx status of this process, for what it is or how it arrived.
struct request_router::rejection {
  std::string request_id;
  int status = 0;
  std::string reason;
  std::string host;
  std::string target;
  std::string detail = {};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_PENDING_REQUEST_H
