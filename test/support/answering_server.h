#ifndef BULRUSHWAY_TEST_ANSWERING_SERVER_H
#define BULRUSHWAY_TEST_ANSWERING_SERVER_H

// A server on loopback that answers each request with 200, for tests of what reaches its handler.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "http_server.h"
#include "raw_caller.h"

namespace bulrushway::testing {

/// Runs the loop until the condition holds; false if it does not within five seconds.
inline bool RunUntil(event_loop& loop, const std::function<bool()>& condition) {
  bool timed_out = false;
  timer poll(loop, [&](instant) {
    if (condition()) loop.Stop();
  });
  timer timeout(loop, [&](instant) {
    timed_out = true;
    loop.Stop();
  });
  poll.Every(std::chrono::milliseconds{2});
  timeout.Once(std::chrono::seconds{5});
  loop.Run();
  return !timed_out;
}

inline void RunFor(event_loop& loop, std::chrono::milliseconds time) {
  timer stop(loop, [&loop](instant) { loop.Stop(); });
  stop.Once(time);
  loop.Run();
}

struct answering_server {
  event_loop loop;
  socket_address address = FreeAddress();
  std::vector<http_request> requests;
  /// While set, requests are kept without an answer.
  bool hold = false;
  std::vector<std::shared_ptr<http_exchange>> held;
  http_server server;

  explicit answering_server(const http_limits& limits)
      : server(loop, limits, [this](std::shared_ptr<http_exchange> exchange) {
          requests.push_back(exchange->request());
          if (hold) {
            held.push_back(std::move(exchange));
          } else {
            exchange->Reply({200, {}, {}});
          }
        }) {
    BOOST_REQUIRE(server.Listen(address).has_value());
  }

  /// Waits for that many answers, interim ones included; then returns the status of all.
  std::vector<int> Statuses(raw_caller& caller, size_t answers = 1) {
    RunUntil(loop, [&] { return caller.Statuses().size() >= answers; });
    return caller.Statuses();
  }
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_ANSWERING_SERVER_H
