#ifndef BULRUSHWAY_GATE_JOB_H
#define BULRUSHWAY_GATE_JOB_H

// State of one request inside the gate. Internal to the gate.

#include <memory>
#include <string>
#include <vector>

#include "gate.h"

namespace bulrushway {

// State of a request from its arrival to its answer. Repeats with the same idempotency key that
// arrive in the meantime wait in `joined` for the same answer.
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

/// Serializes an answer for the idempotency memory.
std::string EncodeRememberedAnswer(const http_answer& answer);

}  // namespace bulrushway

#endif  // BULRUSHWAY_GATE_JOB_H
