#ifndef BULRUSHWAY_TEST_MESHED_NODE_H
#define BULRUSHWAY_TEST_MESHED_NODE_H

// A node that is only a mesh, on an event loop that it shares with its peers.

#include <fcntl.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "peer_mesh.h"

namespace bulrushway::testing {

/// A request of a peer.
struct arrived_request {
  session_id from;
  uint64_t id;
};

/// The mesh of one node. Requests that arrive are recorded until the test answers them.
struct meshed_node {
  meshed_node(event_loop& loop, const std::string& node, const memory_budget* budget = nullptr)
      : name(node),
        log(loop, name, open("/dev/null", O_WRONLY | O_CLOEXEC)),
        fleet(name, "dc", "r"),
        mesh(loop, log, counters, fleet, Events(), nullptr, budget),
        tick(loop, [this](instant now) { mesh.Tick(now); }) {
    tick.Every(std::chrono::milliseconds(20));
  }

  peer_mesh_events Events() {
    peer_mesh_events events;
    events.request = [this](instant, session_id from, const dispatch_request& request) {
      requests.push_back({from, request.id});
    };
    events.cancelled = [this](instant, session_id, uint64_t) { ++cancelled; };
    events.session_ended = [](instant, session_id) {};
    events.report = [](instant, const node_report&) {};
    events.own_report = [this](instant) {
      node_report report;
      report.node = name;
      return report;
    };
    return events;
  }
  void Answer(size_t index, size_t body_bytes = 0) {
    Answer(index, http_answer{200, {}, std::string(body_bytes, 'a')});
  }
  void Answer(size_t index, http_answer target_answer) {
    dispatch_answer answer;
    answer.id = requests.at(index).id;
    answer.sent_to_target = true;
    answer.answer = std::move(target_answer);
    mesh.Answer(boot_clock::now(), requests.at(index).from, answer);
  }

  std::string name;
  decision_log log;
  metrics counters;
  fleet_view fleet;
  std::vector<arrived_request> requests;
  int cancelled = 0;
  peer_mesh mesh;
  timer tick;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_MESHED_NODE_H
