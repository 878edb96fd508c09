// Which forms of a request RFC 9112 requires the server to accept, and which it rejects.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "answering_server.h"

namespace bulrushway {
namespace {

using testing::answering_server;
using testing::raw_caller;

struct form {
  std::string name;
  std::string bytes;
  std::vector<int> statuses;
};

const std::string kHost = "Host: a\r\n";
const std::string kChunked = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kGet = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kPost = "POST /a HTTP/1.1\r\nHost: a\r\n";

// Sends each form in one piece and byte by byte, unless told otherwise.
void Check(const std::vector<form>& forms, const std::vector<bool>& ways = {false, true}) {
  for (const form& sent : forms) {
    for (const bool bytewise : ways) {
      BOOST_TEST_CONTEXT(sent.name << (bytewise ? ", byte by byte" : "")) {
        answering_server fixture({.max_body = 100,
                                  .max_headers = 500,
                                  .request_timeout = std::chrono::milliseconds{500}});
        raw_caller caller(fixture.address);
        if (bytewise) {
          for (const char byte : sent.bytes) {
            caller.TrySend({&byte, 1});
            testing::RunFor(fixture.loop, std::chrono::milliseconds{0});
          }
        } else {
          caller.Send(sent.bytes);
        }
        fixture.Statuses(caller, sent.statuses.size());
        testing::RunFor(fixture.loop, std::chrono::milliseconds{20});
        BOOST_TEST(caller.Statuses() == sent.statuses, boost::test_tools::per_element());
      }
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_form_of_request)

BOOST_AUTO_TEST_CASE(is_accepted_with_any_framing_of_the_body) {
  Check({{"no body", kGet, {200}},
         {"length", kPost + "Content-Length: 3\r\n\r\nabc", {200}},
         {"length of a GET", "GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", {200}},
         {"the same length twice",
          kPost + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
          {200}},
         {"chunks", kChunked + "3\r\nabc\r\n0\r\n\r\n", {200}},
         {"chunk extension", kChunked + "3;a=b;c=\"d e\"\r\nabc\r\n0;x\r\n\r\n", {200}},
         {"trailer", kChunked + "3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n", {200}},
         {"chunk size in capitals and with zeros",
          kChunked + "00A\r\n0123456789\r\n000\r\n\r\n",
          {200}},
         {"pipelined", kGet + kChunked + "0\r\n\r\n" + kGet, {200, 200, 200}}});
}

BOOST_AUTO_TEST_CASE(is_accepted_in_any_case_and_spacing_of_its_fields) {
  Check({{"lower case", "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nb", {200}},
         {"upper case", "POST /a HTTP/1.1\r\nHOST: a\r\nCONTENT-LENGTH: 1\r\n\r\nb", {200}},
         {"coding in mixed case",
          kPost + "transfer-encoding: Chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n",
          {200}},
         {"no space after the colon", "GET /a HTTP/1.1\r\nHost:a\r\nX:\r\n\r\n", {200}},
         {"spaces and tabs around a value", "GET /a HTTP/1.1\r\nHost: \t a \t\r\n\r\n", {200}},
         {"folded field", "GET /a HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", {200}},
         {"unknown method", "BREW /a HTTP/1.1\r\nHost: a\r\n\r\n", {200}},
         {"HTTP/1.0", "GET /a HTTP/1.0\r\nHost: a\r\n\r\n", {200}},
         {"bytes above ASCII in a value",
          "GET /a HTTP/1.1\r\nHost: a\r\nX: \xc3\xa4\r\n\r\n",
          {200}}});
}

BOOST_AUTO_TEST_CASE(is_accepted_after_empty_lines) {
  Check({{"before the first request", "\r\n" + kGet, {200}},
         {"between requests", kGet + "\r\n" + kGet + "\r\n\r\n" + kGet, {200, 200, 200}},
         {"a line that never ends", "\r" + kGet, {400}}});
}

BOOST_AUTO_TEST_CASE(gets_its_final_status_when_it_expects_to_continue) {
  const std::string expect = "Expect: 100-continue\r\n";
  Check({{"body within the limit", kPost + expect + "Content-Length: 1\r\n\r\nb", {200}}}, {false});
  Check({{"body above the limit", kPost + expect + "Content-Length: 101\r\n\r\n", {413}},
         {"body still to come", kPost + expect + "Content-Length: 1\r\n\r\n", {100}},
         {"in another case", kPost + "expect: 100-Continue\r\nContent-Length: 1\r\n\r\n", {100}}});
}

BOOST_AUTO_TEST_CASE(of_http_1_0_gets_no_interim_answer) {
  answering_server fixture({});
  raw_caller caller(fixture.address);
  caller.Send("POST /a HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
  testing::RunFor(fixture.loop, std::chrono::milliseconds{50});
  caller.TrySend("b");
  const std::vector<int> answered{200};
  BOOST_TEST(fixture.Statuses(caller) == answered, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(with_the_whole_url_is_routed_by_it) {
  answering_server fixture({});
  raw_caller caller(fixture.address);
  caller.Send("GET http://b.example:80/x?y=z HTTP/1.1\r\nHost: a\r\n\r\n");
  caller.Send("GET HTTP://b.example HTTP/1.1\r\nHost: a\r\n\r\n");
  caller.Send("GET http://b.example?y=z HTTP/1.1\r\n\r\n");
  caller.Send("GET /?u=http://c/ HTTP/1.1\r\nHost: a\r\n\r\n");
  fixture.Statuses(caller, 4);
  BOOST_REQUIRE(fixture.requests.size() == 4);
  BOOST_TEST(fixture.requests[0].target == "/x?y=z");
  BOOST_TEST(FindHeader(fixture.requests[0].headers, "Host") == "b.example:80");
  BOOST_TEST(fixture.requests[1].target == "/");
  BOOST_TEST(FindHeader(fixture.requests[1].headers, "Host") == "b.example");
  BOOST_TEST(fixture.requests[2].target == "/?y=z");
  BOOST_TEST(FindHeader(fixture.requests[2].headers, "Host") == "b.example");
  BOOST_TEST(fixture.requests[3].target == "/?u=http://c/");
  BOOST_TEST(FindHeader(fixture.requests[3].headers, "Host") == "a");
}

BOOST_AUTO_TEST_CASE(is_rejected_when_its_end_is_ambiguous) {
  Check({{"length and chunks",
          kPost + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          {400}},
         {"chunks and length",
          kPost + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
          {400}},
         {"two lengths", kPost + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", {400}},
         {"no length", kPost + "Content-Length: x\r\n\r\n", {400}},
         {"negative length", kPost + "Content-Length: -1\r\n\r\n", {400}},
         {"no chunk size", kChunked + "x\r\nabc\r\n0\r\n\r\n", {400}},
         {"chunk longer than its size", kChunked + "2\r\nabc\r\n0\r\n\r\n", {400}},
         {"coding other than chunked",
          kPost + "Transfer-Encoding: gzip\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
          {400}},
         {"coding other than chunked, and a length",
          kPost + "Transfer-Encoding: gzip\r\nContent-Length: 1\r\n\r\nb",
          {400}},
         {"chunked before another coding",
          kPost + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
          {400}}});
}

BOOST_AUTO_TEST_CASE(is_rejected_when_it_is_not_http) {
  Check({{"line feeds alone", "GET /a HTTP/1.1\nHost: a\n\n", {400}},
         {"space before the colon", "GET /a HTTP/1.1\r\nHost : a\r\n\r\n", {400}},
         {"a space within the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", {400}},
         {"version 2", "GET /a HTTP/2.0\r\nHost: a\r\n\r\n", {400}},
         {"a line without a colon", "GET /a HTTP/1.1\r\nHost a\r\n\r\n", {400}}});
}

BOOST_AUTO_TEST_CASE(above_the_limits_gets_their_status) {
  Check(
      {{"body", kPost + "Content-Length: 101\r\n\r\n" + std::string(101, 'b'), {413}},
       {"chunks", kChunked + "65\r\n" + std::string(101, 'b') + "\r\n0\r\n\r\n", {413}},
       {"body at the limit", kPost + "Content-Length: 100\r\n\r\n" + std::string(100, 'b'), {200}},
       {"chunks at the limit",
        kChunked + "32\r\n" + std::string(50, 'b') + "\r\n32\r\n" + std::string(50, 'b') +
            "\r\n0\r\n\r\n",
        {200}},
       {"headers",
        "GET /a HTTP/1.1\r\nHost: a\r\nX: " + std::string(600, 'x') + "\r\n\r\n",
        {431}}});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
