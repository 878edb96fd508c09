// When an owner gives keys away: under a load that lasts, not under one that passes, and never back
// to a target that has given them up because it is slow.
#include <boost/test/unit_test.hpp>

#include "range_steward.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{25};

struct two_owners {
  two_owners() : steward(Settings(), now) {
    steward.SetTarget(now, target_condition::kReady, life);
    steward.OnLeaseAcquired(now);
    now += milliseconds{1};
  }

  static steward_settings Settings() {
    steward_settings settings;
    settings.node = "a";
    return settings;
  }

  // Keys below `first_of_b` belong to a, the others to b.
  void Divide(uint32_t first_of_b) {
    key_map map = DealEvenly({{"a", life}}, 1);
    Reassign(map, {first_of_b, kLastKey}, {"b", {"tb", 1}}, {});
    steward.OnMap(now, map, 1);
    target_heartbeat beat;
    beat.life = life;
    beat.sequence = 1;
    steward.OnHeartbeat(now, beat, milliseconds{5000});
  }

  // Lets time pass under these loads; true as soon as keys are being given away.
  bool GivesWithin(milliseconds time, double demand_a, double demand_b) {
    for (const instant end = now + time; now < end; now += kTick) {
      for (uint32_t key = 0; key < kLastKey; key += 512) steward.OnRequest(now, key);
      const std::vector<range_candidate> candidates = {
          {"a", life, true, true, true, demand_a, 0.01},
          {"b", {"tb", 1}, true, true, true, demand_b, 0.01}};
      steward.Next(now, candidates, true);
      if (steward.Releasing()) return true;
    }
    return false;
  }

  instant now{std::chrono::hours{1}};
  target_life life{"ta", 1};
  range_steward steward;
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
