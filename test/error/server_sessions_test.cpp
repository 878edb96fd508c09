// Sessions of a server: whether a request reaches the same process as an earlier one. A server may
// be restarted at its address at any time, and only an open connection shows that it was not.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "http_client.h"
#include "scripted_peer.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::scripted_server;
using end = scripted_server::step::end;

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const std::string kLastAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

// A client of a server that answers by a script.
class tracking_client {
 public:
  explicit tracking_client(std::vector<scripted_server::step> script)
      : server(loop, std::move(script)) {}

  struct attempt {
    // 0 if no connection was established.
    uint64_t session = 0;
    std::optional<http_failure> failure;
  };

  // Sends requests at the same time and waits for all outcomes. With `required`, they may be sent
  // in that session only.
  std::vector<attempt> Send(size_t requests, std::optional<uint64_t> required = {}) {
    std::vector<attempt> attempts(requests);
    size_t left = requests;
    for (attempt& each : attempts) {
      http_request request;
      request.method = "POST";
      request.target = "/";
      client.Send(
          server.address(), request, seconds(2),
          [this, &each, &left](tl::expected<http_answer, http_failure> answer) {
            if (!answer) each.failure = answer.error();
            if (--left == 0) loop.Stop();
          },
          [&each, required](uint64_t session) {
            each.session = session;
            return !required || *required == session;
          });
    }
    loop.Run();
    return attempts;
  }
  uint64_t SessionOfOne() { return Send(1).front().session; }
  void RunFor(milliseconds span) {
    timer stop(loop, [this](instant) { loop.Stop(); });
    stop.Once(span);
    loop.Run();
  }

  event_loop loop;
  scripted_server server;
  http_client client{loop, {.max_connections = 2, .require_length = true, .track_sessions = true}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(the_session_of_a_server)

BOOST_AUTO_TEST_CASE(goes_on_over_a_kept_connection) {
  tracking_client fixture({{kAnswer}, {kAnswer}});
  BOOST_TEST(fixture.SessionOfOne() == 1U);
  BOOST_TEST(fixture.SessionOfOne() == 1U);
}

BOOST_AUTO_TEST_CASE(goes_on_while_one_of_two_connections_is_open) {
  tracking_client fixture({{kAnswer}, {kLastAnswer}, {kAnswer}, {kAnswer}});
  fixture.Send(2);
  const auto attempts = fixture.Send(2);
  BOOST_TEST(fixture.server.Connections() == 3U);
  BOOST_TEST(attempts[0].session == 1U);
  BOOST_TEST(attempts[1].session == 1U);
}

BOOST_AUTO_TEST_SUITE(ends_with_its_only_connection)

BOOST_AUTO_TEST_CASE(closed_after_an_answer) {
  tracking_client fixture({{kLastAnswer, end::kClose}, {kAnswer}});
  BOOST_TEST(fixture.SessionOfOne() == 1U);
  BOOST_TEST(fixture.SessionOfOne() == 2U);
}

BOOST_AUTO_TEST_CASE(closed_while_it_was_idle) {
  tracking_client fixture({{kAnswer}, {kAnswer}});
  BOOST_TEST(fixture.SessionOfOne() == 1U);
  BOOST_TEST_CONTEXT("even if the event loop has not noticed yet") { fixture.server.EndNow(); }
  BOOST_TEST(fixture.SessionOfOne() == 2U);
}

BOOST_AUTO_TEST_CASE(closed_by_this_client) {
  tracking_client fixture({{kAnswer}, {kAnswer}});
  BOOST_TEST(fixture.SessionOfOne() == 1U);
  fixture.client.CloseIdle(fixture.server.address());
  BOOST_TEST(fixture.SessionOfOne() == 2U);
}

BOOST_AUTO_TEST_CASE(reset_in_the_middle_of_a_request) {
  tracking_client fixture({{"HTTP/1.1 200", end::kReset}, {kAnswer}});
  BOOST_TEST(fixture.SessionOfOne() == 1U);
  BOOST_TEST(fixture.SessionOfOne() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_a_request_requires)

BOOST_AUTO_TEST_CASE(keeps_it_from_being_sent_in_another_one) {
  tracking_client fixture({{kLastAnswer, end::kClose}, {kAnswer}});
  fixture.Send(1);
  const std::string received = fixture.server.Received();
  const auto attempt = fixture.Send(1, 1).front();
  BOOST_TEST(attempt.session == 2U);
  BOOST_REQUIRE(attempt.failure.has_value());
  BOOST_TEST(attempt.failure->withheld);
  BOOST_TEST(!attempt.failure->may_have_run);
  fixture.RunFor(milliseconds(50));
  BOOST_TEST(fixture.server.Received() == received);

  BOOST_TEST_CONTEXT("and leaves the new connection to the next request") {
    BOOST_TEST(!fixture.Send(1, 2).front().failure.has_value());
    BOOST_TEST(fixture.server.Connections() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(does_not_take_stray_bytes_for_its_answer) {
  tracking_client fixture({{kLastAnswer, end::kClose}, {kAnswer}});
  fixture.Send(1);
  BOOST_REQUIRE(fixture.Send(1, 1).front().failure.has_value());
  fixture.server.WriteNow(kAnswer);
  const auto attempt = fixture.Send(1, 1).front();
  BOOST_REQUIRE(attempt.failure.has_value());
  BOOST_TEST(!attempt.failure->may_have_run);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
