#ifndef BULRUSHWAY_REQUEST_FLIGHT_H
#define BULRUSHWAY_REQUEST_FLIGHT_H

// Internal to the request router: one request on its way.

#include <memory>
#include <string>
#include <vector>

#include "request_router.h"

namespace bulrushway {

// A caller's request from its arrival to its answer.
struct request_router::pending_request {
  uint64_t id = 0;
  std::shared_ptr<http_exchange> exchange;
  std::shared_ptr<const route_table> table;
  const route* matched = nullptr;
  std::string request_id;
  std::string service;
  std::optional<uint32_t> key;
  bool keyed = false;
  std::string body;
  instant arrived;
  instant deadline;
  // Until when an answer is worth most.
  instant on_time_until;
  // Attempt under way: its number, where it is, and how to cancel it.
  uint64_t attempt = 0;
  bool outstanding = false;
  bool at_own_gate = false;
  uint64_t ticket = 0;
  std::string node;
  // Gates asked, and targets that were handed the request.
  uint32_t tries = 0;
  uint32_t offers = 0;
  bool may_have_run = false;
  std::vector<std::string> tried;
  std::chrono::milliseconds retry_after{0};
  refusal_reason last_reason = refusal_reason::kNone;
  bool finished = false;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_REQUEST_FLIGHT_H
