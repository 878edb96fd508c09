// Callers that send further requests before the first one is answered. The answers must come in the
// order of the requests, and a request that must not run twice must not be handed over while the
// connection may still close before its turn: its caller would take it as not read, and repeat it.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "http_server.h"
#include "raw_caller.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::FreeAddress;
using testing::raw_caller;

constexpr size_t kDepth = 3;

std::string Get(const std::string& path, const std::string& headers = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

std::string Post(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
}

// A server that keeps its exchanges until the test answers them. GET requests may overlap.
struct slow_server {
  slow_server() {
    server.EnablePipelining(kDepth,
                            [](const http_request& request) { return request.method == "GET"; });
    BOOST_REQUIRE(server.Listen(address).has_value());
  }
  void Run() {
    timer stop(loop, [this](instant) { loop.Stop(); });
    stop.Once(milliseconds(50));
    loop.Run();
  }
  std::vector<std::string> Paths() const {
    std::vector<std::string> paths;
    for (const auto& exchange : exchanges) paths.push_back(exchange->request().target);
    return paths;
  }
  void Answer(size_t index, int status = 200) {
    exchanges[index]->Reply({status, {}, exchanges[index]->request().target});
    Run();
  }

  event_loop loop;
  const socket_address address = FreeAddress();
  std::vector<std::shared_ptr<http_exchange>> exchanges;
  http_server server{loop, {}, [this](std::shared_ptr<http_exchange> exchange) {
                       exchanges.push_back(std::move(exchange));
                     }};
};

using paths = std::vector<std::string>;
using statuses = std::vector<int>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(pipelined_requests, slow_server)

BOOST_AUTO_TEST_CASE(that_may_overlap_are_handled_together_and_answered_in_order) {
  raw_caller caller(address);
  caller.Send(Get("/1") + Get("/2") + Get("/3") + Get("/4"));
  Run();
  BOOST_TEST((Paths() == paths{"/1", "/2", "/3"}));
  Answer(1, 201);
  BOOST_TEST(caller.Receive().empty());
  BOOST_TEST(server.BufferedBytes() > 0);
  Answer(0);
  BOOST_TEST((caller.Statuses() == statuses{200, 201}));
  BOOST_TEST((Paths() == paths{"/1", "/2", "/3", "/4"}));
  Answer(3, 203);
  Answer(2, 202);
  BOOST_TEST((caller.Statuses() == statuses{200, 201, 202, 203}));
}

BOOST_AUTO_TEST_CASE(that_may_not_overlap_wait_until_all_before_them_are_answered) {
  raw_caller caller(address);
  caller.Send(Get("/1") + Get("/2") + Post("/3") + Get("/4"));
  Run();
  BOOST_TEST((Paths() == paths{"/1", "/2"}));
  Answer(1);
  BOOST_TEST((Paths() == paths{"/1", "/2"}));
  Answer(0);
  BOOST_TEST((Paths() == paths{"/1", "/2", "/3"}));
  Answer(2);
  BOOST_TEST((Paths() == paths{"/1", "/2", "/3", "/4"}));
}

BOOST_AUTO_TEST_CASE(are_not_read_behind_one_that_closes_the_connection) {
  raw_caller caller(address);
  caller.Send(Get("/1") + Get("/2", "Connection: close\r\n") + Get("/3"));
  Run();
  BOOST_TEST((Paths() == paths{"/1", "/2"}));
  Answer(1);
  Answer(0);
  BOOST_TEST((caller.Statuses() == statuses{200, 200}));
  BOOST_TEST((Paths() == paths{"/1", "/2"}));
  BOOST_TEST(server.Connections() == 0U);
}

BOOST_AUTO_TEST_CASE(are_all_answered_before_the_error_of_one_that_is_malformed) {
  raw_caller caller(address);
  caller.Send(Get("/1") + Get("/2") + "nonsense\r\n\r\n" + Get("/4"));
  Run();
  BOOST_TEST((Paths() == paths{"/1", "/2"}));
  Answer(1);
  Answer(0);
  BOOST_TEST((caller.Statuses() == statuses{200, 200, 400}));
  BOOST_TEST(server.Connections() == 0U);
}

BOOST_AUTO_TEST_CASE(that_were_handed_over_are_answered_after_a_stop_and_no_more_are_read) {
  raw_caller caller(address);
  caller.Send(Get("/1") + Get("/2"));
  Run();
  server.Drain(boot_clock::now(), milliseconds(1000));
  caller.Send(Get("/3"));
  Answer(0);
  BOOST_TEST((caller.Statuses() == statuses{200}));
  BOOST_TEST(caller.Receive().find("Connection: close") == std::string::npos);
  Answer(1);
  BOOST_TEST((caller.Statuses() == statuses{200, 200}));
  BOOST_TEST(caller.Receive().find("Connection: close") != std::string::npos);
  BOOST_TEST((Paths() == paths{"/1", "/2"}));
}

BOOST_AUTO_TEST_CASE(are_all_cancelled_when_the_caller_leaves) {
  size_t closed = 0;
  {
    raw_caller caller(address);
    caller.Send(Get("/1") + Get("/2"));
    Run();
    for (const auto& exchange : exchanges) exchange->OnClosed([&closed] { ++closed; });
  }
  Run();
  BOOST_TEST(closed == 2U);
  BOOST_TEST(server.Connections() == 0U);
}

BOOST_AUTO_TEST_CASE(close_the_connection_in_their_turn_when_one_gets_no_answer) {
  raw_caller caller(address);
  caller.Send(Get("/1") + Get("/2"));
  Run();
  exchanges.pop_back();
  Run();
  BOOST_TEST(server.Connections() == 1U);
  Answer(0);
  BOOST_TEST((caller.Statuses() == statuses{200}));
  BOOST_TEST(server.Connections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
