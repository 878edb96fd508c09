// Callers' requests that are malformed, too large, split into pieces, or smuggle in another
// request.

#include <boost/test/unit_test.hpp>
#include <string>

#include "http_parser.h"

namespace bulrushway {
namespace {

constexpr http_size_limits kLimits{.header_bytes = 512, .body_bytes = 64};

// Feeds the bytes to the parser in pieces, as a connection would. `rest` receives the bytes after
// the request.
tl::expected<http_request, http_parse_problem> Parse(std::string bytes, size_t piece_bytes,
                                                     std::string* rest = nullptr) {
  http_request_parser parser(kLimits);
  std::string pending;
  while (!parser.Complete()) {
    if (bytes.empty()) return tl::unexpected(http_parse_problem::kMalformed);
    pending += bytes.substr(0, piece_bytes);
    bytes.erase(0, piece_bytes);
    const auto consumed = parser.Feed(pending);
    if (!consumed) return tl::unexpected(consumed.error());
    pending.erase(0, *consumed);
  }
  if (rest != nullptr) *rest = pending + bytes;
  return parser.Take();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_request_of_a_caller)

BOOST_AUTO_TEST_CASE(is_read_whole_in_whatever_pieces_it_comes) {
  const std::string text =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
  for (const size_t piece : {1U, 7U, 1000U}) {
    const auto request = Parse(text, piece);
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->body == "hello world");
    BOOST_TEST(request->target == "/a/b?c=d");
  }
}

BOOST_AUTO_TEST_CASE(without_a_body_is_read_whole_though_its_last_chunk_comes_in_pieces) {
  const std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  for (size_t piece = 1; piece <= text.size(); ++piece) {
    const auto request = Parse(text, piece);
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->body.empty());
  }
}

BOOST_AUTO_TEST_CASE(ends_where_its_length_says_and_leaves_the_next_one_alone) {
  std::string rest;
  const auto request = Parse(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /x HTTP/1.1\r\n", 1000, &rest);
  BOOST_REQUIRE(request.has_value());
  BOOST_TEST(request->body == "abc");
  BOOST_TEST(rest == "GET /x HTTP/1.1\r\n");
}

BOOST_AUTO_TEST_SUITE(is_rejected)

BOOST_AUTO_TEST_CASE(when_it_states_its_length_in_two_ways) {
  for (const std::string& headers :
       {std::string("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
        std::string("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
        std::string("Content-Length: 4\r\nContent-Length: 5\r\n")}) {
    const auto request = Parse(
        "POST / HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n", 1000);
    BOOST_TEST(!request.has_value(), headers);
  }
}

// Its body would end elsewhere than for a server that knows the coding.
BOOST_AUTO_TEST_CASE(when_its_transfer_coding_is_not_chunked) {
  for (const std::string headers :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n",
        "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n"}) {
    for (const size_t piece : {1U, 1000U}) {
      const auto request = Parse("POST / HTTP/1.1\r\nHost: h\r\n" + headers +
                                     "\r\n18\r\nGET /hidden HTTP/1.1\r\n\r\n\r\n0\r\n\r\n",
                                 piece);
      BOOST_TEST(!request.has_value(), headers);
      if (!request) BOOST_TEST((request.error() == http_parse_problem::kMalformed));
    }
  }
}

BOOST_AUTO_TEST_CASE(when_its_header_or_its_body_is_too_large) {
  const auto header = Parse("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", 1000);
  BOOST_REQUIRE(!header.has_value());
  BOOST_TEST((header.error() == http_parse_problem::kHeaderTooLarge));
  const auto body =
      Parse("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x'), 1000);
  BOOST_REQUIRE(!body.has_value());
  BOOST_TEST((body.error() == http_parse_problem::kBodyTooLarge));
}

BOOST_AUTO_TEST_CASE(when_it_is_no_http) {
  const auto request = Parse("hello there\r\n\r\n", 1000);
  BOOST_REQUIRE(!request.has_value());
  BOOST_TEST((request.error() == http_parse_problem::kMalformed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_forwarded_without_the_headers_of_its_connection) {
  http_request request;
  request.method = "POST";
  request.target = "/x";
  request.headers = {
      {"Host", "h"},       {"Connection", "close, X-Hop"},   {"X-Hop", "1"},
      {"Keep-Alive", "5"}, {"Transfer-Encoding", "chunked"}, {"Content-Length", "99"},
      {"X-Kept", "yes"}};
  request.body = "abc";
  const std::string head = SerializeRequestHead(request, {{"X-Added", "1"}});
  BOOST_TEST(
      head ==
      "POST /x HTTP/1.1\r\nHost: h\r\nX-Kept: yes\r\nX-Added: 1\r\nContent-Length: 3\r\n\r\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
