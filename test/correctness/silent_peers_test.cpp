// Connections between processes fall silent for good. The requests that are under way are answered
// all the same, or their senders learn in time what became of them.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>

#include "meshed_node.h"
#include "severable_path.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Two nodes, of which `near` reaches `far` over a path that can fall silent.
struct severable_nodes {
  severable_nodes() {
    BOOST_REQUIRE(far.mesh.Listen(kFar).has_value());
    BOOST_REQUIRE(path.Listening());
    near.fleet.OnMember({"far", kNear, "dc", "r", "s", 1, {}});
    near.mesh.FollowMembers(boot_clock::now());
    BOOST_REQUIRE(Until([this] { return near.fleet.Find("far")->reachable; }));
  }
  bool Until(const std::function<bool()>& done, milliseconds limit = milliseconds(3000)) {
    const instant end = boot_clock::now() + limit;
    timer poll(loop, [this](instant) { loop.Stop(); });
    while (!done()) {
      if (boot_clock::now() >= end) return false;
      poll.Once(milliseconds(5));
      loop.Run();
    }
    return true;
  }
  void Send() {
    const auto ticket =
        near.mesh.Send(boot_clock::now(), "far", {}, false,
                       [this](instant, dispatch_answer received) { answer = std::move(received); });
    BOOST_REQUIRE(ticket != 0U);
  }

  void RunUntilReplaced() {
    BOOST_REQUIRE(Until([this] { return !near.fleet.Find("far")->reachable; }));
    BOOST_REQUIRE(Until([this] { return near.fleet.Find("far")->reachable; }));
  }

  static inline const socket_address kNear{"127.0.7.91", 7481};
  static inline const socket_address kFar{"127.0.7.92", 7481};
  event_loop loop;
  testing::meshed_node near{loop, "near"};
  testing::meshed_node far{loop, "far"};
  testing::severable_path path{loop, kNear, kFar};
  std::optional<dispatch_answer> answer;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(when_the_connections_to_a_peer_fall_silent, severable_nodes)

BOOST_AUTO_TEST_CASE(a_request_that_runs_is_answered_over_a_new_one) {
  Send();
  BOOST_REQUIRE(Until([this] { return far.requests.size() == 1; }));
  path.Silence();
  // It takes longer than the connection takes to be found silent.
  timer work(loop, [this](instant) { far.Answer(0); });
  work.Once(milliseconds(1500));
  BOOST_REQUIRE(Until([this] { return answer.has_value(); }));
  BOOST_TEST((answer->reason == refusal_reason::kNone));
  BOOST_TEST(far.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_answer_that_was_lost_is_sent_again) {
  Send();
  BOOST_REQUIRE(Until([this] { return far.requests.size() == 1; }));
  path.Silence();
  far.Answer(0);
  BOOST_REQUIRE(Until([this] { return answer.has_value(); }, milliseconds(1500)));
  BOOST_TEST((answer->reason == refusal_reason::kNone));
}

BOOST_AUTO_TEST_CASE(a_request_that_did_not_arrive_is_soon_known_not_to_have_run) {
  path.Silence();
  Send();
  BOOST_REQUIRE(Until([this] { return answer.has_value(); }, milliseconds(900)));
  BOOST_TEST((answer->state == run_state::kNotRun));
  BOOST_TEST(far.requests.empty());
  BOOST_TEST(Until([this] { return near.fleet.Find("far")->reachable; }));
}

BOOST_AUTO_TEST_CASE(a_request_that_arrived_without_a_receipt_is_not_called_not_run) {
  path.Silence(true);
  Send();
  BOOST_REQUIRE(Until([this] { return far.requests.size() == 1; }));
  RunUntilReplaced();
  far.Answer(0);
  BOOST_REQUIRE(Until([this] { return answer.has_value(); }));
  BOOST_TEST((answer->reason == refusal_reason::kNone));
  BOOST_TEST(far.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_to_a_peer_that_cannot_be_asked_may_have_run) {
  Send();
  BOOST_REQUIRE(Until([this] { return far.requests.size() == 1; }));
  path.Silence();
  path.Close();
  BOOST_REQUIRE(Until([this] { return answer.has_value(); }));
  BOOST_TEST((answer->state == run_state::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_has_left_is_cancelled_there) {
  const auto ticket =
      near.mesh.Send(boot_clock::now(), "far", {}, false, [](instant, const dispatch_answer&) {});
  BOOST_REQUIRE(Until([this] { return far.requests.size() == 1; }));
  path.Silence();
  near.mesh.Cancel(ticket);
  Send();
  BOOST_TEST(Until([this] { return far.cancelled == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
