// Which ranges a range controller grants while its own change of the map is pending.

#include "range_controller.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);
constexpr milliseconds kLease{5000};
const target_incarnation kIncarnation{"t1", 1000};

range_controller_settings Settings() {
  range_controller_settings settings;
  settings.node = "n1";
  return settings;
}

std::vector<range_candidate> Candidates() {
  range_candidate own{"n1", kIncarnation, true, true, true, 0, 0.01};
  range_candidate other{"n2", {"t2", 1000}, true, true, true, 0, 0.01};
  return {own, other};
}

// A controller whose target owns all keys and has just crashed. A pending change, on its way to the
// store, reassigns the keys to the other node.
class controller_that_reassigns_its_keys {
 public:
  controller_that_reassigns_its_keys() : controller_(Settings(), kStart) {
    controller_.SetTarget(kStart, target_condition::kDown, kIncarnation);
    controller_.OnMap(kStart, AssignEvenly({{"n1", kIncarnation}}, 1), 10);
    BOOST_REQUIRE(
        (controller_.NextAction(kStart, Candidates(), true) == range_action::kCommitChange));
    BOOST_REQUIRE_EQUAL(controller_.change().map.WidthOf("n1"), 0U);
  }

  range_controller& controller() { return controller_; }

  // The target recovers in the same incarnation and sends a heartbeat. Returns the number of ranges
  // that the answer grants.
  size_t RangesGrantedAt(instant now) {
    controller_.SetTarget(now, target_condition::kReady, kIncarnation);
    target_heartbeat heartbeat;
    heartbeat.incarnation = kIncarnation;
    heartbeat.sequence = ++sequence_;
    const auto grant = controller_.OnHeartbeat(now, heartbeat, kLease);
    return grant ? grant->ranges.size() : 0;
  }

 private:
  range_controller controller_;
  uint64_t sequence_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_target_that_recovers_while_its_keys_are_reassigned)

BOOST_AUTO_TEST_CASE(is_granted_none_of_them_while_the_change_is_under_way) {
  controller_that_reassigns_its_keys fixture;
  BOOST_TEST(fixture.RangesGrantedAt(kStart + milliseconds(50)) == 0U);
}

BOOST_AUTO_TEST_SUITE(and_the_outcome_of_the_change_is_unknown)

BOOST_AUTO_TEST_CASE(is_granted_them_once_it_cannot_take_effect_any_more) {
  controller_that_reassigns_its_keys fixture;
  range_controller& controller = fixture.controller();
  const instant answer_lost_at = kStart + seconds(1);
  controller.OnChanged(answer_lost_at,
                       Failure(error_kind::kPeer, "commit", "store", "No answer came."));
  BOOST_REQUIRE(
      (controller.NextAction(answer_lost_at, Candidates(), true) == range_action::kReadMap));
  // The map in the store does not contain the change: it failed, or has not been applied yet.
  controller.OnMap(answer_lost_at, controller.map(), 10);
  BOOST_TEST(fixture.RangesGrantedAt(answer_lost_at) == 0U);

  BOOST_REQUIRE(
      (controller.NextAction(answer_lost_at, Candidates(), true) == range_action::kCommitChange));
  BOOST_TEST(controller.change().map.WidthOf("n1") == kLastKey + 1);
  BOOST_TEST(controller.change().map.ranges[0].fence == 2U);
  BOOST_TEST(fixture.RangesGrantedAt(answer_lost_at) == 0U);
  controller.OnChanged(answer_lost_at + milliseconds(10), 11);
  BOOST_TEST(fixture.RangesGrantedAt(answer_lost_at + milliseconds(20)) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// Its keys go to others only when no incarnation that may still run can hold them.
BOOST_AUTO_TEST_SUITE(a_target_that_is_down_and_was_granted_keys_by_calls)

class controller_of_calls {
 public:
  controller_of_calls() : controller(SettingsOfCalls(), kStart) {
    controller.SetTarget(kGranting, target_condition::kReady, kIncarnation);
    controller.OnMap(kGranting, AssignEvenly({{"n1", kIncarnation}}, 1), 10);
    target_heartbeat heartbeat;
    heartbeat.incarnation = kIncarnation;
    controller.OnHeartbeat(kGranting, heartbeat, kLease);
    const auto due = controller.NextCalls(kGranting, kLease);
    BOOST_REQUIRE_EQUAL(due.size(), 1U);
    call = due[0];
  }

  bool MovesKeysAt(instant now, instant ended_before) {
    controller.SetTarget(now, target_condition::kDown, kIncarnation, ended_before);
    return controller.NextAction(now, Candidates(), true) == range_action::kCommitChange;
  }
  void Report(instant now, grant_call_result result) {
    controller.OnCallOutcome(now, call, {.result = result, .session = 1});
  }

  // Late enough that no grant of an earlier process can still take effect.
  static constexpr instant kGranting = kStart + seconds(10);
  range_controller controller;
  grant_call call;

 private:
  static range_controller_settings SettingsOfCalls() {
    range_controller_settings settings = Settings();
    settings.delivery = grant_delivery_kind::kCall;
    settings.grants.max_hold = seconds(4);
    return settings;
  }
};

BOOST_AUTO_TEST_CASE(before_it_refused_a_connection_holds_none_of_them) {
  controller_of_calls fixture;
  const instant answered = fixture.kGranting + milliseconds(5);
  fixture.Report(answered, grant_call_result::kDone);
  BOOST_TEST(fixture.MovesKeysAt(answered + seconds(1), answered + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(after_it_refused_a_connection_may_hold_them_until_the_grant_ends) {
  controller_of_calls fixture;
  const instant refused = fixture.kGranting + milliseconds(1);
  const instant answered = fixture.kGranting + milliseconds(5);
  fixture.Report(answered, grant_call_result::kDone);
  BOOST_TEST(!fixture.MovesKeysAt(answered + seconds(1), refused));
  BOOST_TEST(!fixture.MovesKeysAt(answered + milliseconds(4079), refused));
  BOOST_TEST(fixture.MovesKeysAt(answered + milliseconds(4080), refused));
}

BOOST_AUTO_TEST_CASE(while_a_grant_is_under_way_may_hold_them_until_its_latest_end) {
  controller_of_calls fixture;
  const instant refused = fixture.kGranting + milliseconds(1);
  BOOST_TEST(!fixture.MovesKeysAt(refused + seconds(1), refused));
  const instant given_up = fixture.kGranting + fixture.call.timeout;
  fixture.Report(given_up, grant_call_result::kUnknown);
  BOOST_TEST(!fixture.MovesKeysAt(given_up + milliseconds(4079), refused));

  BOOST_TEST_CONTEXT("unless a connection was refused after it had failed") {
    BOOST_TEST(fixture.MovesKeysAt(given_up + seconds(1), given_up));
  }
}

BOOST_AUTO_TEST_CASE(may_hold_them_when_it_is_another_incarnation_that_leaves) {
  controller_of_calls fixture;
  const instant answered = fixture.kGranting + milliseconds(5);
  fixture.Report(answered, grant_call_result::kDone);
  const target_incarnation next{kIncarnation.id, kIncarnation.started_ms + 1000};
  const instant identified = answered + seconds(2);
  fixture.controller.SetTarget(identified, target_condition::kLeaving, next);
  BOOST_TEST(
      (fixture.controller.NextAction(identified, Candidates(), true) == range_action::kNone));
  BOOST_TEST((fixture.controller.NextAction(answered + milliseconds(4080), Candidates(), true) ==
              range_action::kCommitChange));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(leases_that_could_not_be_read)

BOOST_AUTO_TEST_CASE(are_read_again_after_a_pause_and_not_at_each_tick) {
  range_controller controller(Settings(), kStart);
  controller.OnMap(kStart, AssignEvenly({{"n2", {"t2", 1000}}}, 1), 10);
  std::vector<range_candidate> candidates = Candidates();
  candidates[1].alive = false;
  BOOST_TEST((controller.NextAction(kStart, candidates, true) == range_action::kReadLeases));
  controller.OnReadFailed(kStart);
  const instant next_tick = kStart + milliseconds(25);
  BOOST_TEST((controller.NextAction(next_tick, candidates, true) == range_action::kNone));
  const instant later = kStart + milliseconds(100);
  BOOST_TEST((controller.NextAction(later, candidates, true) == range_action::kReadLeases));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(keys_that_were_granted)

// The keys went to another target while this one held them under the earlier fence.
BOOST_AUTO_TEST_CASE(are_held_until_the_grant_ends_although_their_fence_was_raised_since) {
  heartbeat_grants grants({}, kStart);
  const instant granted = kStart + seconds(60);
  grants.OnGranted(granted, {{{{0, 99}, 7, {}}}, seconds(4)});
  BOOST_TEST((grants.LatestEnd({50, 60}) >= granted + seconds(4)));
  BOOST_TEST((grants.LatestEnd({100, 200}) < granted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_map_of_owners)

BOOST_AUTO_TEST_CASE(does_not_go_back_when_an_answer_comes_after_a_later_change) {
  controller_that_reassigns_its_keys fixture;
  range_controller& controller = fixture.controller();
  const key_map newer_map = AssignEvenly({{"n3", {"t3", 1000}}}, 7);
  controller.OnMap(kStart + milliseconds(20), newer_map, 12);
  controller.OnChanged(kStart + milliseconds(30), 11);
  BOOST_TEST(controller.map_version() == 12U);
  BOOST_TEST(controller.map().WidthOf("n3") == kLastKey + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_keys_of_many_owners_that_were_lost_together)

BOOST_AUTO_TEST_CASE(are_reassigned_in_transactions_that_the_store_takes) {
  // The fleet that the users' sites name has 480 owners of a service.
  constexpr int kOwners = 480;
  constexpr size_t kMaxEntries = 100;
  constexpr size_t kEntriesOfMapAndOwnLease = 4;
  std::vector<range_owner> lost;
  std::vector<observed_lease> leases;
  for (int i = 0; i < kOwners; ++i) {
    const std::string node = "lost-" + std::to_string(i);
    lost.push_back({node, {"t-" + node, 1000}});
    if (i % 4 != 0) leases.push_back({{node, "127.0.0.1", 1, store_time{1000}, 0}, 5});
  }
  range_controller controller(Settings(), kStart);
  controller.SetTarget(kStart, target_condition::kReady, kIncarnation);
  uint64_t version = 10;
  controller.OnMap(kStart, AssignEvenly(lost, 1), version);
  instant now = kStart;
  int changes = 0;
  while (controller.map().WidthOf("n1") + controller.map().WidthOf("n2") <= kLastKey) {
    BOOST_REQUIRE(++changes <= kOwners);
    now += milliseconds(500);
    range_action action = controller.NextAction(now, Candidates(), true);
    if (action == range_action::kReadLeases) {
      controller.OnLeases(now, leases, store_time{60'000});
      action = controller.NextAction(now, Candidates(), true);
    }
    BOOST_REQUIRE((action == range_action::kCommitChange));
    const ownership_change& change = controller.change();
    BOOST_TEST(2 * change.ended_leases.size() + change.absent_leases.size() +
                   kEntriesOfMapAndOwnLease <=
               kMaxEntries);
    for (const auto& [node, lease_version] : change.ended_leases) {
      BOOST_TEST(change.map.WidthOf(node) == 0U);
      std::erase_if(leases,
                    [&node](const observed_lease& lease) { return lease.record.node == node; });
    }
    controller.OnChanged(now, ++version);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
