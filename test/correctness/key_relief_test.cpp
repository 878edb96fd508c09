// When an owner gives keys away: under a load that lasts, not under one that passes, and never back
// to a target that has given them up because it is slow.
#include <boost/test/unit_test.hpp>

#include "range_controller.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{25};
constexpr double kTickSeconds = 0.025;
// Share of the target that one request per second keeps busy.
constexpr double kCost = 0.01;
// Odd, so that all keys have their turn.
constexpr uint32_t kStride = 7919;

struct two_owners {
  two_owners() : steward(Settings(), now) {
    steward.SetTarget(now, target_condition::kReady, life);
    steward.OnLeaseAcquired(now);
    now += milliseconds{1};
  }

  static range_controller_settings Settings() {
    range_controller_settings settings;
    settings.node = "a";
    return settings;
  }

  // Keys below `first_of_b` belong to a, the others to b.
  void Divide(uint32_t first) {
    first_of_b = first;
    key_map map = AssignEvenly({{"a", life}}, 1);
    Reassign(map, {first_of_b, kLastKey}, {"b", {"tb", 1}}, {});
    steward.OnMap(now, map, 1);
    target_heartbeat beat;
    beat.incarnation = life;
    beat.sequence = 1;
    steward.OnHeartbeat(now, beat, milliseconds{5000});
  }

  // Lets time pass under these loads; true as soon as keys are being given away.
  bool GivesWithin(milliseconds time, double demand_a, double demand_b) {
    for (const instant end = now + time; now < end; now += kTick) {
      // As many requests as this demand means, spread over the keys of a.
      for (due += demand_a / kCost * kTickSeconds; due >= 1; due -= 1) {
        steward.OnRequest(now, next_key);
        next_key = (next_key + kStride) % first_of_b;
      }
      const std::vector<range_candidate> candidates = {
          {"a", life, true, true, true, demand_a, kCost},
          {"b", {"tb", 1}, true, true, true, demand_b, kCost}};
      steward.NextAction(now, candidates, true);
      if (steward.HasPendingReleases()) return true;
    }
    return false;
  }

  instant now{std::chrono::hours{1}};
  uint32_t first_of_b = 0;
  uint32_t next_key = 0;
  double due = 0;
  target_incarnation life{"ta", 1};
  range_controller steward;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(an_owner, two_owners)

BOOST_AUTO_TEST_CASE(with_a_slow_moment_keeps_its_keys) {
  Divide(kLastKey / 2);
  // A noisy machine: three times the work for 400 ms, now and then.
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(!GivesWithin(milliseconds{400}, 1.5, 0.3));
    BOOST_TEST(!GivesWithin(milliseconds{400}, 0.5, 0.3));
  }
}

BOOST_AUTO_TEST_CASE(with_a_hot_key_gives_keys_away_within_two_seconds) {
  Divide(kLastKey / 2);
  BOOST_TEST(GivesWithin(milliseconds{2000}, 1.5, 0.3));
}

BOOST_AUTO_TEST_CASE(that_cannot_keep_up_gives_keys_away_though_all_are_busy) {
  Divide(kLastKey / 2);
  BOOST_TEST(!GivesWithin(milliseconds{2000}, 0.95, 0.75));
  BOOST_TEST(GivesWithin(milliseconds{2000}, 1.4, 0.9));
}

BOOST_AUTO_TEST_CASE(gives_none_by_number_to_a_slow_target_that_has_its_share_of_the_load) {
  Divide(kLastKey / 5 * 4);
  BOOST_TEST(!GivesWithin(milliseconds{5000}, 0.6, 0.6));
}

BOOST_AUTO_TEST_CASE(gives_a_newcomer_its_share) {
  Divide(kLastKey / 5 * 4);
  BOOST_TEST(GivesWithin(milliseconds{5000}, 0.6, 0.0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
