// Answers in the frames of a peer that are invalid HTTP. The process that received the request must
// not write them to its caller, and the connection to the peer goes on.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <utility>

#include "answering_server.h"
#include "meshed_node.h"

namespace bulrushway {
namespace {

// Two nodes; `near` sends requests to `far`.
struct connected_nodes {
  connected_nodes() {
    BOOST_REQUIRE(far.mesh.Listen(address).has_value());
    near.fleet.OnMember({"far", address, "dc", "r", "s", 1, {}});
    near.mesh.FollowMembers(boot_clock::now());
    BOOST_REQUIRE(testing::RunUntil(loop, [this] { return near.fleet.Find("far")->reachable; }));
  }
  // What `near` gets for a request that `far` answers so.
  dispatch_answer Exchange(const http_answer& target_answer) {
    std::optional<dispatch_answer> received;
    const size_t index = far.requests.size();
    const auto ticket =
        near.mesh.Send(boot_clock::now(), "far", {}, false,
                       [&](instant, dispatch_answer answer) { received = std::move(answer); });
    BOOST_REQUIRE(ticket != 0U);
    BOOST_REQUIRE(testing::RunUntil(loop, [&] { return far.requests.size() > index; }));
    far.Answer(index, target_answer);
    BOOST_REQUIRE(testing::RunUntil(loop, [&] { return received.has_value(); }));
    return *received;
  }
  void CheckLost(const http_answer& target_answer) {
    const dispatch_answer received = Exchange(target_answer);
    BOOST_TEST(Name(received.reason) == Name(refusal_reason::kAnswerLost));
    BOOST_TEST(Name(received.state) == Name(run_state::kUnknown));
    BOOST_TEST(received.sent_to_target);
    BOOST_TEST(received.answer.headers.empty());
    BOOST_TEST(received.answer.body.empty());
  }
  void CheckPassedOn(const http_answer& target_answer) {
    const dispatch_answer received = Exchange(target_answer);
    BOOST_TEST(Name(received.reason) == Name(refusal_reason::kNone));
    BOOST_TEST(received.answer.status == target_answer.status);
    BOOST_TEST((received.answer.headers == target_answer.headers));
    BOOST_TEST(received.answer.body == target_answer.body);
  }

  const socket_address address = testing::FreeAddress();
  event_loop loop;
  testing::meshed_node near{loop, "near"};
  testing::meshed_node far{loop, "far"};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(an_answer_in_a_frame, connected_nodes)

// An interim status would leave the caller waiting for another answer.
BOOST_AUTO_TEST_CASE(whose_status_is_that_of_no_final_answer_is_lost_as_possibly_run) {
  for (const int status : {0, 1, 99, 100, 101, 199, 600, 999, 1000, -200, 2'000'000'000}) {
    BOOST_TEST_CONTEXT("status " << status) { CheckLost({status, {{"Seal", "s"}}, "body"}); }
  }
}

BOOST_AUTO_TEST_CASE(whose_status_is_that_of_a_final_answer_is_passed_on) {
  for (const int status : {200, 204, 404, 503, 599}) {
    BOOST_TEST_CONTEXT("status " << status) { CheckPassedOn({status, {{"Seal", "s"}}, "body"}); }
  }
}

// Written to the caller, the line ends would begin another line, or another answer.
BOOST_AUTO_TEST_CASE(with_a_field_that_cannot_be_written_is_lost_as_possibly_run) {
  const header_list broken = {
      {"", "v"},          {"X Blank", "v"},    {"X-Blank ", "v"},
      {"X\tTab", "v"},    {"X\x01Start", "v"}, {"X\x7f", "v"},
      {"X\x80High", "v"}, {"X:Colon", "v"},    {"X\r\nSeal", "s"},
      {"X", "a\r\nY: b"}, {"X", "a\nb"},       {"X", "a\rb"},
      {"X", "a\x01"},     {"X", "\x7f"},       {"X", std::string(1, '\0')},
  };
  for (const auto& field : broken) {
    BOOST_TEST_CONTEXT(field.first << ": " << field.second) {
      CheckLost({200, {{"Seal", "s"}, field}, "body"});
    }
  }
}

BOOST_AUTO_TEST_CASE(with_fields_that_can_be_written_is_passed_on) {
  CheckPassedOn({200, {{"X-!#$%&'*+-.^_`|~09azAZ", "v"}, {"Seal", ""}, {"X", "a \t\x80 b"}}, ""});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
