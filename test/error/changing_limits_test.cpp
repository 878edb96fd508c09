// Limits that change while a request is being read: the request is judged by the largest ones that
// were in force meanwhile.

#include <boost/test/unit_test.hpp>
#include <string>

#include "answering_server.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using testing::answering_server;
using testing::raw_caller;
using testing::RunFor;

constexpr http_limits kSmall{.max_body = 1000, .max_headers = 500};
constexpr http_limits kLarge{.max_body = 5000, .max_headers = 4000};
// Long enough for the server to read what was sent.
constexpr milliseconds kReadTime{30};

// Sends the two parts of a request, with other limits in between, and returns the statuses.
std::vector<int> Send(const http_limits& before, const http_limits& after, const std::string& first,
                      const std::string& rest) {
  answering_server fixture(before);
  raw_caller caller(fixture.address);
  caller.Send(first);
  RunFor(fixture.loop, kReadTime);
  fixture.server.SetLimits(after);
  caller.Send(rest);
  return fixture.Statuses(caller);
}

const std::string kBody(3000, 'b');
const std::string kHead = "POST /a HTTP/1.1\r\nHost: a\r\n";
const std::vector<int> kAnswered{200};
const std::vector<int> kBodyTooLarge{413};
const std::vector<int> kHeadersTooLarge{431};

}  // namespace

BOOST_AUTO_TEST_SUITE(limits_that_change_while_a_request_is_read)

BOOST_AUTO_TEST_CASE(let_a_body_pass_that_the_newer_ones_allow) {
  BOOST_TEST(Send(kSmall, kLarge, kHead, "Content-Length: 3000\r\n\r\n" + kBody) == kAnswered,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(let_chunks_pass_that_the_newer_ones_allow) {
  const std::string first =
      kHead + "Transfer-Encoding: chunked\r\n\r\n320\r\n" + std::string(800, 'a') + "\r\n";
  BOOST_TEST(Send(kSmall, kLarge, first, "bb8\r\n" + kBody + "\r\n0\r\n\r\n") == kAnswered,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(let_headers_pass_that_the_newer_ones_allow) {
  BOOST_TEST(Send(kSmall, kLarge, kHead + "X: " + std::string(300, 'x'),
                  std::string(2000, 'x') + "\r\nContent-Length: 0\r\n\r\n") == kAnswered,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(let_a_request_pass_that_the_older_ones_allow) {
  BOOST_TEST(Send(kLarge, kSmall, kHead, "Content-Length: 3000\r\n\r\n" + kBody) == kAnswered,
             boost::test_tools::per_element());
  BOOST_TEST(Send(kLarge, kSmall, kHead + "X: " + std::string(300, 'x'),
                  std::string(2000, 'x') + "\r\nContent-Length: 0\r\n\r\n") == kAnswered,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(reject_what_neither_allows) {
  BOOST_TEST(Send(kSmall, kLarge, kHead, "Content-Length: 5001\r\n\r\n") == kBodyTooLarge,
             boost::test_tools::per_element());
  BOOST_TEST(Send(kSmall, kLarge, kHead, "X: " + std::string(4000, 'x')) == kHeadersTooLarge,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(hold_for_the_next_request_of_the_connection) {
  answering_server fixture(kLarge);
  raw_caller caller(fixture.address);
  caller.Send(kHead + "Content-Length: 3000\r\n\r\n" + kBody);
  BOOST_TEST(fixture.Statuses(caller) == kAnswered, boost::test_tools::per_element());
  fixture.server.SetLimits(kSmall);
  caller.Send(kHead + "Content-Length: 3000\r\n\r\n");
  const std::vector<int> both{200, 413};
  BOOST_TEST(fixture.Statuses(caller, 2) == both, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
