// Which target a request is sent to, and which node relays it when the direct path is cut.

#include "target_choice.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);

// A fleet of four nodes: two regions with two data centres each, one node in each.
struct fleet_of_four {
  fleet_view fleet{"a1", "a1-dc", "a"};
  std::mt19937_64 rng{5};
  uint64_t sequence = 0;

  fleet_of_four() {
    for (const char* name : {"a1", "a2", "b1", "b2"}) {
      const std::string node = name;
      fleet.OnMember({node, {"10.0.0.1", 1}, node + "-dc", node.substr(0, 1), "s", 1});
      fleet.OnReachable(kStart, node, true);
      Report(node, 0);
      fleet.OnRoundTrip(node, node[0] == 'a' ? milliseconds(1) : milliseconds(40));
    }
  }

  void Report(const std::string& node, uint32_t running, bool accepting = true) {
    node_report report;
    report.node = node;
    report.process = 1;
    report.sequence = ++sequence;
    report.target = {{"t-" + node, 1}, "s", accepting,        false, false, false, 12,
                     running,          0,   milliseconds(100)};
    fleet.OnReport(kStart, report);
  }
  std::string Choose(const choice_request& request) {
    const node_state* chosen = ChooseTarget(kStart, fleet.OfService("s"), request, rng);
    return chosen == nullptr ? "none" : chosen->member.node;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(the_target_of_a_plain_request)

BOOST_AUTO_TEST_CASE(is_a_near_one_while_it_has_room) {
  fleet_of_four fixture;
  for (int i = 0; i < 20; ++i) BOOST_TEST(fixture.Choose({})[0] == 'a');
}

BOOST_AUTO_TEST_CASE(is_a_far_one_when_the_near_ones_are_busy) {
  fleet_of_four fixture;
  fixture.Report("a1", 30);
  fixture.Report("a2", 30);
  BOOST_TEST(fixture.Choose({})[0] == 'b');

  BOOST_TEST_CONTEXT("but not when its bytes cost more than the wait") {
    BOOST_TEST(fixture.Choose({{}, {}, 90'000})[0] == 'a');
  }
}

BOOST_AUTO_TEST_CASE(is_within_the_home_regions_and_not_one_that_was_asked) {
  fleet_of_four fixture;
  BOOST_TEST(fixture.Choose({{"b"}, {}})[0] == 'b');
  BOOST_TEST(fixture.Choose({{"b"}, {"b1"}}) == "b2");
  BOOST_TEST(fixture.Choose({{"b"}, {"b1", "b2"}}) == "none");
}

BOOST_AUTO_TEST_CASE(is_not_one_that_leaves_or_cannot_be_reached_or_was_full_just_now) {
  fleet_of_four fixture;
  fixture.Report("a1", 0, false);
  fixture.fleet.OnReachable(kStart, "a2", false);
  dispatch_answer queue_full;
  queue_full.reason = refusal_reason::kQueueFull;
  fixture.fleet.OnAnswer(kStart, "b1", queue_full);
  BOOST_TEST(fixture.Choose({}) == "b2");
}

// Eight targets of equal speed run short calls and long bookings; one of them happens to have run
// only calls. Its short usual work must not draw the bookings of all processes to it.
BOOST_AUTO_TEST_CASE(is_not_the_one_that_ran_shorter_work_than_the_request) {
  fleet_view fleet{"entry", "a-dc", "a"};
  std::mt19937_64 rng{3};
  std::map<std::string, int> chosen;
  for (int i = 0; i < 8; ++i) {
    const std::string node = "t" + std::to_string(i);
    fleet.OnMember({node, {"10.0.0.1", 1}, "a-dc", "a", "s", 1});
    fleet.OnReachable(kStart, node, true);
    node_report report;
    report.node = node;
    report.process = 1;
    report.sequence = 1;
    report.target = {{"t-" + node, 1}, "s", true, false, false, false, 12, 6};
    report.target.usual_work = milliseconds(i == 0 ? 44 : 200);
    fleet.OnReport(kStart, report);
  }
  for (int i = 0; i < 800; ++i) {
    choice_request booking;
    booking.work = milliseconds(230);
    ++chosen[ChooseTarget(kStart, fleet.OfService("s"), booking, rng)->member.node];
  }
  BOOST_TEST(chosen["t0"] < 200);

  BOOST_TEST_CONTEXT("but the faster one of two") {
    node_report slow;
    slow.node = "t1";
    slow.process = 1;
    slow.sequence = 2;
    slow.target = {{"t-t1", 1}, "s", true, false, false, false, 12, 6};
    slow.target.slowness_percent = 160;
    fleet.OnReport(kStart, slow);
    for (int i = 0; i < 100; ++i) {
      choice_request booking;
      booking.work = milliseconds(230);
      BOOST_TEST(ChooseTarget(kStart, fleet.OfService("s"), booking, rng)->member.node != "t1");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_relay)

BOOST_AUTO_TEST_CASE(stands_in_another_data_centre_than_both_ends) {
  fleet_of_four fixture;
  fixture.fleet.OnReachable(kStart, "b1", false);
  const node_state& owner = *fixture.fleet.Find("b1");
  const node_state* relay = ChooseRelay(kStart + seconds(2), fixture.fleet, owner, {}, fixture.rng);
  BOOST_REQUIRE(relay != nullptr);
  BOOST_TEST(relay->member.node == "a2");

  BOOST_TEST_CONTEXT("and is another one when the first was tried already") {
    relay = ChooseRelay(kStart + seconds(2), fixture.fleet, owner, {{}, {"a2"}}, fixture.rng);
    BOOST_TEST(relay->member.node == "b2");
  }
}

// A request that is bound to its home regions was sent through a relay in another region.
BOOST_AUTO_TEST_CASE(stands_in_a_home_region_of_the_request) {
  fleet_of_four fixture;
  fixture.fleet.OnReachable(kStart, "b1", false);
  const node_state& owner = *fixture.fleet.Find("b1");
  const auto relay_with_homes = [&](const std::vector<std::string>& homes) {
    const node_state* relay =
        ChooseRelay(kStart + seconds(2), fixture.fleet, owner, {homes, {}}, fixture.rng);
    return relay == nullptr ? "none" : relay->member.node;
  };
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(relay_with_homes({"b"}) == "b2");
    BOOST_TEST(relay_with_homes({"a", "b"}) == "a2");
    BOOST_TEST(relay_with_homes({"c"}) == "none");
    BOOST_TEST(relay_with_homes({}) == "a2");
  }
}

BOOST_AUTO_TEST_CASE(is_not_used_while_the_owner_may_be_gone_for_everybody) {
  fleet_of_four fixture;
  fixture.fleet.OnReachable(kStart, "b1", false);
  const node_state& owner = *fixture.fleet.Find("b1");
  BOOST_TEST(ChooseRelay(kStart + milliseconds(100), fixture.fleet, owner, {}, fixture.rng) ==
             nullptr);
}

BOOST_AUTO_TEST_CASE(is_not_needed_for_a_node_that_can_be_reached) {
  fleet_of_four fixture;
  BOOST_TEST(ChooseRelay(kStart + seconds(2), fixture.fleet, *fixture.fleet.Find("b1"), {},
                         fixture.rng) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
