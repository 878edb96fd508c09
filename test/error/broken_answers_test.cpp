// Answers that are invalid HTTP: a status outside the protocol, or a field name with a byte that no
// name may hold. However their bytes arrive, they are failures and never answers.

#include "broken_answers.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http_parser.h"

namespace bulrushway {
namespace {

using testing::kBrokenFieldLines;
using testing::kBrokenStatuses;

const std::string kSound = "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody";

std::string Replaced(std::string text, const std::string& what, const std::string& by) {
  return text.replace(text.find(what), what.size(), by);
}

/// Parses bytes that arrive in pieces of this size. Empty if they are not a complete answer.
std::optional<http_answer> Parse(const std::string& bytes, size_t piece) {
  http_answer_parser parser(http_size_limits{});
  std::string buffered;
  for (size_t begin = 0; begin < bytes.size() && !parser.Complete(); begin += piece) {
    buffered += bytes.substr(begin, piece);
    const auto consumed = parser.Feed(buffered, "target");
    if (!consumed) return std::nullopt;
    buffered.erase(0, *consumed);
  }
  if (!parser.Complete() && !parser.FeedEnd("target")) return std::nullopt;
  return parser.Take();
}

void CheckNoAnswer(const std::string& bytes) {
  for (size_t piece = 1; piece <= bytes.size(); ++piece) {
    BOOST_TEST_CONTEXT("in pieces of " << piece << ": " << bytes) {
      const auto answer = Parse(bytes, piece);
      BOOST_TEST(!answer.has_value(), "status " << (answer ? answer->status : 0));
    }
  }
}

/// Answers with the field line as the first, the second and the last line of the head, and in the
/// head of an interim answer.
std::vector<std::string> WithFieldLine(const std::string& line) {
  const std::string lines = line + "\r\n";
  return {
      Replaced(kSound, "Seal", lines + "Seal"),
      Replaced(kSound, "Content-Length", lines + "Content-Length"),
      Replaced(kSound, "\r\n\r\n", "\r\n" + lines + "\r\n"),
      "HTTP/1.1 103 Early Hints\r\n" + lines + "\r\n" + kSound,
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(an_answer_with_a_status)

BOOST_AUTO_TEST_CASE(outside_the_protocol_is_no_answer) {
  for (const std::string& status : kBrokenStatuses) {
    CheckNoAnswer(Replaced(kSound, "200", status));
    CheckNoAnswer("HTTP/1.1 " + status + " \r\nSeal: s\r\n\r\nends with its connection");
    CheckNoAnswer("HTTP/1.1 " + status +
                  " \r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  }
}

BOOST_AUTO_TEST_CASE(outside_the_protocol_hides_no_sound_answer_behind_it) {
  for (const std::string& status : kBrokenStatuses) {
    CheckNoAnswer("HTTP/1.1 " + status + " \r\n\r\n" + kSound);
    CheckNoAnswer("HTTP/1.1 " + status + " \r\nContent-Length: 0\r\n\r\n" + kSound);
  }
}

BOOST_AUTO_TEST_CASE(that_is_no_number_of_three_digits_is_no_answer) {
  for (const std::string status : {"20", "2000", "2x0", "-20", "+20", "0xC8", " 200", "", "2 0"}) {
    CheckNoAnswer(Replaced(kSound, "200", status));
  }
}

BOOST_AUTO_TEST_CASE(at_the_bounds_of_the_protocol_is_an_answer) {
  for (const int status : {200, 299, 304, 418, 599}) {
    const auto answer = Parse(Replaced(kSound, "200", std::to_string(status)), kSound.size());
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status == status);
  }
}

BOOST_AUTO_TEST_CASE(of_an_interim_answer_is_skipped) {
  for (const std::string status : {"100", "103", "199"}) {
    const std::string bytes = "HTTP/1.1 " + status + " \r\n\r\n" + kSound;
    const auto answer = Parse(bytes, bytes.size());
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(answer->body == "body");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_with_a_field_name)

BOOST_AUTO_TEST_CASE(that_is_none_is_no_answer) {
  for (const std::string& line : kBrokenFieldLines) {
    for (const std::string& bytes : WithFieldLine(line)) CheckNoAnswer(bytes);
  }
}

BOOST_AUTO_TEST_CASE(that_is_none_in_its_trailers_is_no_answer) {
  for (const std::string& line : kBrokenFieldLines) {
    CheckNoAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line +
                  "\r\n\r\n");
  }
}

BOOST_AUTO_TEST_CASE(that_follows_a_blank_at_the_start_of_the_head_is_no_answer) {
  CheckNoAnswer(Replaced(kSound, "Seal", " Seal"));
  CheckNoAnswer(Replaced(kSound, "Seal", "\tSeal"));
}

BOOST_AUTO_TEST_CASE(of_all_bytes_that_a_name_may_hold_is_passed_on) {
  const std::string name = "X-!#$%&'*+-.^_`|~09azAZ";
  const std::string bytes = Replaced(kSound, "Seal", name);
  const auto answer = Parse(bytes, bytes.size());
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(FindHeader(answer->headers, name) == "s");
}

// RFC 9112, section 5.2: a gateway may replace the fold by a blank.
BOOST_AUTO_TEST_CASE(in_a_folded_line_belongs_to_the_value_before_it) {
  const std::string bytes =
      Replaced(kSound, "Content-Length", "\t Content-Length: 2\r\nContent-Length");
  const auto answer = Parse(bytes, bytes.size());
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(FindHeader(answer->headers, "Seal") == "s Content-Length: 2");
  BOOST_TEST(answer->body == "body");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
