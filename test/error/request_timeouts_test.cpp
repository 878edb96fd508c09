// How long a caller may take: the head is bounded from its first byte, the body by its progress.

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "answering_server.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::answering_server;
using testing::raw_caller;
using testing::RunFor;

constexpr http_limits kLimits{.max_headers = 60 << 10,
                              .idle_timeout = milliseconds{800},
                              .request_timeout = milliseconds{400}};
const std::string kHead = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 15\r\n\r\n";
const std::vector<int> kAnswered{200};
const std::vector<int> kTimedOut{408};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_caller_that_takes_its_time)

BOOST_AUTO_TEST_CASE(is_answered_while_its_body_keeps_arriving) {
  answering_server fixture(kLimits);
  raw_caller caller(fixture.address);
  caller.Send(kHead);
  for (int i = 0; i < 15; ++i) {
    RunFor(fixture.loop, milliseconds{100});
    caller.TrySend("b");
  }
  BOOST_TEST(fixture.Statuses(caller) == kAnswered, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(is_rejected_when_its_body_stops_arriving) {
  answering_server fixture(kLimits);
  raw_caller caller(fixture.address);
  caller.Send(kHead + "abc");
  BOOST_TEST(fixture.Statuses(caller) == kTimedOut, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(is_rejected_when_its_headers_do_not_end) {
  answering_server fixture(kLimits);
  raw_caller caller(fixture.address);
  caller.Send("POST /a HTTP/1.1\r\nX: ");
  for (int i = 0; i < 10; ++i) {
    RunFor(fixture.loop, milliseconds{100});
    caller.TrySend("x");
  }
  BOOST_TEST(fixture.Statuses(caller) == kTimedOut, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(is_not_charged_for_the_wait_behind_its_previous_request) {
  answering_server fixture(kLimits);
  fixture.hold = true;
  raw_caller caller(fixture.address);
  caller.Send("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHo");
  RunFor(fixture.loop, milliseconds{1000});
  fixture.hold = false;
  fixture.held.at(0)->Reply({200, {}, {}});
  RunFor(fixture.loop, milliseconds{100});
  caller.TrySend("st: a\r\n\r\n");
  const std::vector<int> both{200, 200};
  BOOST_TEST(fixture.Statuses(caller, 2) == both, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(is_not_charged_for_time_in_which_the_process_did_not_run) {
  answering_server fixture(kLimits);
  raw_caller caller(fixture.address);
  caller.Send("GET /a HTTP/1.1\r\nHost: a\r\n");
  RunFor(fixture.loop, milliseconds{50});
  // More than one read of the connection takes.
  caller.Send("X: " + std::string(40'000, 'x') + "\r\n\r\n");
  std::this_thread::sleep_for(milliseconds{700});
  BOOST_TEST(fixture.Statuses(caller) == kAnswered, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(may_send_the_rest_after_the_process_runs_again) {
  answering_server fixture(kLimits);
  raw_caller caller(fixture.address);
  caller.Send("GET /a HTTP/1.1\r\nHost: a\r\n");
  RunFor(fixture.loop, milliseconds{50});
  std::this_thread::sleep_for(milliseconds{700});
  RunFor(fixture.loop, milliseconds{50});
  caller.TrySend("\r\n");
  BOOST_TEST(fixture.Statuses(caller) == kAnswered, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
