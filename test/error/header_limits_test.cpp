// What the limit of a request's headers counts, and that the outcome does not depend on how the
// bytes are split.

#include <boost/test/unit_test.hpp>
#include <string>

#include "http_parser.h"

namespace bulrushway {
namespace {

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

BOOST_AUTO_TEST_SUITE(above_64_kib)

constexpr size_t kLargeLimit = 200 << 10;

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
