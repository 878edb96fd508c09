#ifndef BULRUSHWAY_TEST_OPEN_GATE_H
#define BULRUSHWAY_TEST_OPEN_GATE_H

// The callbacks of a gate in front of a lookup target that no rule keeps from serving.

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "target_gate.h"

namespace bulrushway {

inline target_gate_ports OpenGatePorts() {
  using std::chrono::milliseconds;
  return {[] { return false; },
          [](instant, uint32_t) { return true; },
          [](instant, uint32_t) {},
          [](instant, uint32_t) {},
          [](instant, uint32_t) {
            return std::pair{refusal_reason::kNone, milliseconds{0}};
          },
          [](uint32_t) { return std::string{}; },
          [](instant) { return false; },
          [](instant) { return true; },
          [](instant) {},
          [] { return size_t{0}; },
          [](const std::string&) { return std::optional<reported_load>{}; }};
}

/// Names of the headers that scripted targets use.
inline header_names ScriptedHeaderNames() {
  header_names names;
  names.request_id = "X-Request-Id";
  names.time_left = "Time-Left";
  names.caller = "Caller";
  names.target_instance = "Target";
  names.answering_instance = "Instance";
  names.signature = "Seal";
  names.not_run = "Not-Run";
  return names;
}

/// The first heartbeat of a ready target with 12 slots.
inline target_heartbeat ReadyHeartbeat(const std::string& service, const socket_address& address) {
  target_heartbeat heartbeat;
  heartbeat.incarnation = {"t1", 1000};
  heartbeat.service = service;
  heartbeat.address = address;
  heartbeat.slots = 12;
  heartbeat.sequence = 1;
  return heartbeat;
}

}  // namespace bulrushway

#endif  // BULRUSHWAY_TEST_OPEN_GATE_H
