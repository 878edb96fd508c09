// What the limit of a request's headers counts, and that the outcome does not depend on how the
// bytes are split.

#include <boost/test/unit_test.hpp>
#include <string>

#include "answering_server.h"
#include "http_parser.h"

namespace bulrushway {
namespace {

using testing::answering_server;
using testing::raw_caller;

constexpr size_t kLimit = 500;
const std::string kRequestLine = "POST /a?b=" + std::string(100, 'c') + " HTTP/1.1\r\n";

// Field lines of `bytes` bytes in total.
std::string Fields(size_t bytes) {
  std::string fields = "Host: a\r\nContent-Length: 3\r\nX-Fill: ";
  return fields + std::string(bytes - fields.size() - 2, 'x') + "\r\n";
}

enum class outcome { kAccepted, kMalformed, kHeaderTooLarge, kBodyTooLarge, kIncomplete };

// Feeds the bytes to a parser in pieces, as a connection does.
outcome Feed(const http_size_limits& limits, const std::string& bytes, size_t piece) {
  http_request_parser parser(limits);
  std::string unread;
  for (size_t at = 0; at < bytes.size() && !parser.Complete(); at += piece) {
    unread += bytes.substr(at, piece);
    const auto consumed = parser.Feed(unread);
    if (!consumed) {
      switch (consumed.error()) {
        case http_parse_problem::kMalformed:
          return outcome::kMalformed;
        case http_parse_problem::kHeaderTooLarge:
          return outcome::kHeaderTooLarge;
        case http_parse_problem::kBodyTooLarge:
          return outcome::kBodyTooLarge;
      }
    }
    unread.erase(0, *consumed);
  }
  return parser.Complete() ? outcome::kAccepted : outcome::kIncomplete;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_limit_of_the_headers)

BOOST_AUTO_TEST_CASE(counts_the_field_lines_alone_however_they_are_split) {
  for (const std::string& tail : {std::string(), std::string("GET /next HTTP/1.1\r\n")}) {
    for (const size_t piece : {1U, 2U, 7U, 64U, 130U, 499U, 4096U}) {
      for (const size_t bytes : {kLimit - 1, kLimit, kLimit + 1}) {
        const std::string text = kRequestLine + Fields(bytes) + "\r\nabc" + tail;
        const outcome expected = bytes <= kLimit ? outcome::kAccepted : outcome::kHeaderTooLarge;
        BOOST_TEST((Feed({kLimit, 100}, text, piece) == expected),
                   bytes << " bytes in pieces of " << piece);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(holds_for_headers_that_never_end) {
  for (const size_t piece : {1U, 7U, 100U, 4096U}) {
    std::string many_fields = kRequestLine;
    for (int i = 0; i < 200; ++i) many_fields += "X: 12345678\r\n";
    BOOST_TEST((Feed({kLimit, 100}, many_fields, piece) == outcome::kHeaderTooLarge));
    BOOST_TEST((Feed({kLimit, 100}, "GET /" + std::string(2 * kLimit, 'a'), piece) ==
                outcome::kHeaderTooLarge));
  }
}

BOOST_AUTO_TEST_CASE(holds_for_trailers_and_chunk_extensions) {
  const std::string head = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string long_text(2 * kLimit, 'x');
  for (const size_t piece : {100U, 4096U}) {
    BOOST_TEST((Feed({kLimit, 100}, head + "3\r\nabc\r\n0\r\nX: " + long_text, piece) ==
                outcome::kHeaderTooLarge));
    BOOST_TEST((Feed({kLimit, 100}, head + "3;" + long_text, piece) == outcome::kHeaderTooLarge));
  }
}

BOOST_AUTO_TEST_SUITE(above_64_kib)

constexpr size_t kLargeLimit = 200 << 10;

BOOST_AUTO_TEST_CASE(leaves_room_to_read_headers_up_to_it) {
  answering_server fixture({.max_headers = kLargeLimit});
  raw_caller caller(fixture.address);
  std::string head = "GET /a HTTP/1.1\r\nHost: a\r\n";
  while (head.size() < 150 << 10) head += "X-Fill: " + std::string(10'000, 'x') + "\r\n";
  caller.Send(head + "\r\n");
  BOOST_TEST(fixture.Statuses(caller) == std::vector<int>{200}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(does_not_end_the_process_for_a_field_that_the_parser_cannot_hold) {
  for (const size_t bytes : {65'533U, 65'534U, 70'000U}) {
    const std::string text =
        "GET /a HTTP/1.1\r\nX: " + std::string(bytes, 'x') + "\r\nHost: a\r\n\r\n";
    const outcome expected = bytes <= 65'533 ? outcome::kAccepted : outcome::kHeaderTooLarge;
    BOOST_TEST((Feed({kLargeLimit, 100}, text, text.size()) == expected));
    BOOST_TEST((Feed({kLargeLimit, 100}, text, 10'000) == expected));
  }
}

BOOST_AUTO_TEST_CASE(does_not_end_the_process_for_such_a_trailer_of_an_answer) {
  http_answer_parser parser({});
  const auto fed = parser.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " +
                                   std::string(70'000, 'x') + "\r\n\r\n",
                               "target");
  BOOST_TEST(!fed.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
