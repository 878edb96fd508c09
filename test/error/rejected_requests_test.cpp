// Requests that the server rejects before they are complete. Callers do not repeat them, so that
// each must leave a trace of what was received and under which limits.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "http_server.h"
#include "raw_caller.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::FreeAddress;
using testing::raw_caller;

constexpr http_limits kSmallLimits{.max_body = 1000,
                                   .max_headers = 500,
                                   .idle_timeout = milliseconds{300},
                                   .request_timeout = milliseconds{300}};

// Sends bytes to a server with small limits and returns what it reports of their rejection.
std::optional<rejected_request> Reject(const std::string& bytes) {
  event_loop loop;
  const socket_address address = FreeAddress();
  http_server server(loop, kSmallLimits, [&loop](const auto&) { loop.Stop(); });
  BOOST_REQUIRE(server.Listen(address).has_value());
  std::optional<rejected_request> reported;
  server.OnRejected([&](instant, const rejected_request& rejected) {
    reported = rejected;
    loop.Stop();
    return http_answer{rejected.status, {}, {}};
  });
  raw_caller caller(address);
  caller.Send(bytes);
  timer stop(loop, [&loop](instant) { loop.Stop(); });
  stop.Once(std::chrono::seconds(5));
  loop.Run();
  return reported;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_rejected_request)

BOOST_AUTO_TEST_CASE(that_is_malformed_is_reported) {
  const auto rejected = Reject("GET\r\n\r\n");
  BOOST_REQUIRE(rejected.has_value());
  BOOST_TEST(rejected->status == 400);
  BOOST_TEST(Name(rejected->reason) == "malformed");
  BOOST_TEST(rejected->received == 7U);
}

BOOST_AUTO_TEST_CASE(with_too_many_headers_is_reported_with_the_limit) {
  const auto rejected =
      Reject("GET /a HTTP/1.1\r\nX-Long: " + std::string(600, 'x') + "\r\nHost: a\r\n\r\n");
  BOOST_REQUIRE(rejected.has_value());
  BOOST_TEST(rejected->status == 431);
  BOOST_TEST(Name(rejected->reason) == "headers too large");
  BOOST_TEST(rejected->max_headers == 500U);
}

BOOST_AUTO_TEST_CASE(with_a_long_body_is_reported_with_its_headers) {
  const auto rejected =
      Reject("POST /a HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\nContent-Length: 1001\r\n\r\n");
  BOOST_REQUIRE(rejected.has_value());
  BOOST_TEST(rejected->status == 413);
  BOOST_TEST(Name(rejected->reason) == "body too large");
  BOOST_TEST(rejected->max_body == 1000U);
  BOOST_TEST(rejected->target == "/a");
  BOOST_TEST(FindHeader(rejected->headers, "X-Id") == "7");
}

BOOST_AUTO_TEST_CASE(that_never_ends_is_reported_with_the_time_it_took) {
  const auto rejected = Reject("GET /a HTTP/1.1\r\n");
  BOOST_REQUIRE(rejected.has_value());
  BOOST_TEST(rejected->status == 408);
  BOOST_TEST(Name(rejected->reason) == "head timeout");
  BOOST_TEST(rejected->elapsed.count() > std::chrono::nanoseconds(milliseconds{300}).count());
}

BOOST_AUTO_TEST_CASE(whose_body_never_ends_is_told_apart_from_one_whose_head_does_not) {
  const auto rejected = Reject("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabc");
  BOOST_REQUIRE(rejected.has_value());
  BOOST_TEST(rejected->status == 408);
  BOOST_TEST(Name(rejected->reason) == "body timeout");
  BOOST_TEST(rejected->target == "/a");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
