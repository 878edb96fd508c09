// One steward: what it grants while its own changes of the map are under way.

#include <boost/test/unit_test.hpp>

#include "range_controller.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);
constexpr milliseconds kLease{5000};
const target_incarnation kLife{"t1", 1000};

range_controller_settings Settings() {
  range_controller_settings settings;
  settings.node = "n1";
  return settings;
}

std::vector<range_candidate> Candidates() {
  range_candidate own{"n1", kLife, true, true, true, 0, 0.01};
  range_candidate other{"n2", {"t2", 1000}, true, true, true, 0, 0.01};
  return {own, other};
}

// A steward whose target owns all keys, crashed a moment ago, and whose keys a change on its way to
// the store gives to the other node.
class steward_that_gives_its_keys_away {
 public:
  steward_that_gives_its_keys_away() : steward_(Settings(), kStart) {
    steward_.SetTarget(kStart, target_condition::kDown, kLife);
    steward_.OnMap(kStart, AssignEvenly({{"n1", kLife}}, 1), 10);
    BOOST_REQUIRE((steward_.NextAction(kStart, Candidates(), true) == range_action::kCommitChange));
    BOOST_REQUIRE_EQUAL(steward_.change().map.WidthOf("n1"), 0U);
  }

  range_controller& steward() { return steward_; }

  // The target is back in the same life, and says so.
  size_t RangesGrantedAt(instant now) {
    steward_.SetTarget(now, target_condition::kReady, kLife);
    target_heartbeat heartbeat;
    heartbeat.incarnation = kLife;
    heartbeat.sequence = ++sequence_;
    const auto grant = steward_.OnHeartbeat(now, heartbeat, kLease);
    return grant ? grant->ranges.size() : 0;
  }

 private:
  range_controller steward_;
  uint64_t sequence_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_target_that_is_back_while_its_keys_are_given_away)

BOOST_AUTO_TEST_CASE(is_granted_none_of_them_while_the_change_is_under_way) {
  steward_that_gives_its_keys_away fixture;
  BOOST_TEST(fixture.RangesGrantedAt(kStart + milliseconds(50)) == 0U);
}

BOOST_AUTO_TEST_SUITE(and_nobody_knows_whether_the_change_took_effect)

BOOST_AUTO_TEST_CASE(is_granted_them_once_it_cannot_take_effect_any_more) {
  steward_that_gives_its_keys_away fixture;
  range_controller& steward = fixture.steward();
  const instant lost = kStart + seconds(1);
  steward.OnChanged(lost, Failure(error_kind::kPeer, "commit", "store", "No answer came."));
  BOOST_REQUIRE((steward.NextAction(lost, Candidates(), true) == range_action::kReadMap));
  // The store does not have the change, or does not have it yet.
  steward.OnMap(lost, steward.map(), 10);
  BOOST_TEST(fixture.RangesGrantedAt(lost) == 0U);

  BOOST_REQUIRE((steward.NextAction(lost, Candidates(), true) == range_action::kCommitChange));
  BOOST_TEST(steward.change().map.WidthOf("n1") == kLastKey + 1);
  BOOST_TEST(steward.change().map.ranges[0].fence == 2U);
  BOOST_TEST(fixture.RangesGrantedAt(lost) == 0U);
  steward.OnChanged(lost + milliseconds(10), 11);
  BOOST_TEST(fixture.RangesGrantedAt(lost + milliseconds(20)) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_map_of_owners)

BOOST_AUTO_TEST_CASE(does_not_go_back_when_an_answer_comes_after_a_later_change) {
  steward_that_gives_its_keys_away fixture;
  range_controller& steward = fixture.steward();
  const key_map later = AssignEvenly({{"n3", {"t3", 1000}}}, 7);
  steward.OnMap(kStart + milliseconds(20), later, 12);
  steward.OnChanged(kStart + milliseconds(30), 11);
  BOOST_TEST(steward.map_version() == 12U);
  BOOST_TEST(steward.map().WidthOf("n3") == kLastKey + 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
