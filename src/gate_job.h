#ifndef BULRUSHWAY_GATE_JOB_H
#define BULRUSHWAY_GATE_JOB_H

// Internal to the gate: one request on its way through it.

#include <memory>
#include <string>
#include <vector>

#include "gate.h"

namespace bulrushway {

// A request from its arrival to its answer. Repeats under the same idempotency key that arrive
// meanwhile wait in `joined`.
struct gate::job {
  ticket id = 0;
  dispatch_request request;
  reply done;
  instant arrived_at;
  instant deadline;
  instant sent_at;
  uint64_t epoch = 0;
  bool keyed = false;
  bool queued = false;
  bool tracked_in_memory = false;
  bool abandoned = false;
  request_identity identity;
  request_fingerprint fingerprint = 0;
  http_client::request_id http_request_id = 0;
  std::vector<std::shared_ptr<job>> joined;
};

/// An answer as the memory of requests that must not run twice keeps it.
std::string EncodeRememberedAnswer(const http_answer& answer);

}  // namespace bulrushway

#endif  // BULRUSHWAY_GATE_JOB_H
