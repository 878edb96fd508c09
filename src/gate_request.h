#ifndef BULRUSHWAY_GATE_REQUEST_H
#define BULRUSHWAY_GATE_REQUEST_H

// Internal to the gate of a target: state of one request.

#include "target_gate.h"

namespace bulrushway {

struct target_gate::pending_request {
  ticket id = 0;
  dispatch_request request;
  reply done;
  permit ask_for_body;
  instant arrived;
  instant deadline;
  instant sent_at;
  // Requests at the target when it was sent, including itself.
  uint32_t running_at_start = 0;
  target_incarnation incarnation;
  http_client::request_id http = 0;
  bool abandoned = false;
  size_t body_bytes = 0;
  request_fingerprint fingerprint = 0;
  // Bytes of the request were written to a connection of the target.
  bool reached_target = false;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_GATE_REQUEST_H
