// A process that stops passes nothing on that it would have to cut off at its end: such a request
// may have run, and its caller could not repeat it.

#include <fcntl.h>

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "answering_server.h"
#include "open_gate.h"
#include "scripted_peer.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::RunFor;
using testing::scripted_server;

constexpr milliseconds kWork{100};

// The gate of a process that is asked to stop, in front of a target that does not answer.
struct stopping_gate {
  stopping_gate() {
    const instant now = boot_clock::now();
    target.OnHeartbeat(now, ReadyHeartbeat("lookup", server.address()));
    gate.SetPolicy(now, 130, 0, 1);
    gate.Tick(now);
  }
  // Passes a request of a peer to the gate when this is left until the last answers; returns the
  // refusal.
  std::optional<dispatch_answer> Handle(milliseconds left) {
    const instant now = boot_clock::now();
    latest_answer = now + left;
    dispatch_request request;
    request.request_id = "r";
    request.service = "lookup";
    request.time_left = milliseconds(5000);
    request.max_queue_wait = milliseconds(1000);
    request.expected_work = kWork;
    request.request.method = "POST";
    request.request.target = "/a/";
    std::optional<dispatch_answer> refusal;
    gate.Handle(now, std::move(request),
                [&refusal](instant, dispatch_answer answer) { refusal = std::move(answer); });
    RunFor(loop, milliseconds(50));
    return refusal;
  }
  target_gate_ports Ports() {
    target_gate_ports ports = OpenGatePorts();
    ports.latest_answer = [this] { return latest_answer; };
    return ports;
  }

  event_loop loop;
  scripted_server server{loop, {{"", scripted_server::step::end::kIgnore}}};
  instant latest_answer = instant::max();
  decision_log log{loop, "test", open("/dev/null", O_WRONLY | O_CLOEXEC)};
  metrics counters;
  own_target target{{"lookup", server.address()}};
  target_gate gate{
      loop,    counters, log, target, {server.address(), "lookup", "r", ScriptedHeaderNames()},
      Ports(), 1};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_gate_whose_process_stops)

BOOST_AUTO_TEST_CASE(takes_a_request_that_ends_in_time) {
  stopping_gate stopping;
  BOOST_TEST(!stopping.Handle(milliseconds(3000)).has_value());
  BOOST_TEST(stopping.server.Received().starts_with("POST /a/"));
}

BOOST_AUTO_TEST_CASE(refuses_one_that_would_be_cut_off_before_it_is_sent) {
  stopping_gate stopping;
  const auto refusal = stopping.Handle(2 * kWork);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST((refusal->state == run_state::kNotRun));
  BOOST_TEST((refusal->reason == refusal_reason::kStopping));
  BOOST_TEST(stopping.server.Received().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
