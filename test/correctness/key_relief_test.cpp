// When an owner releases keys: under a sustained load, not during a short spike, and never back to
// a target that released them because it is slow.
#include <boost/test/unit_test.hpp>

#include "range_controller.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{25};
constexpr double kTickSeconds = 0.025;
// Share of the target's slots that one request per second keeps busy.
constexpr double kCost = 0.01;
// Coprime to the number of keys of a, so that the requests cover all of them.
constexpr uint32_t kKeyStride = 7919;

struct two_owners {
  two_owners() : controller(Settings(), now) {
    controller.SetTarget(now, target_condition::kReady, incarnation);
    controller.OnLeaseAcquired(now);
    now += milliseconds{1};
  }

  static range_controller_settings Settings() {
    range_controller_settings settings;
    settings.node = "a";
    return settings;
  }

  // Assigns the keys below `first_key` to a and the others to b.
  void AssignKeys(uint32_t first_key) {
    first_key_of_b = first_key;
    key_map map = AssignEvenly({{"a", incarnation}}, 1);
    Reassign(map, {first_key_of_b, kLastKey}, {"b", {"tb", 1}}, {});
    controller.OnMap(now, map, 1);
    target_heartbeat heartbeat;
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = 1;
    controller.OnHeartbeat(now, heartbeat, milliseconds{5000});
  }

  // Runs the controller under these demands; returns true as soon as it starts to release keys.
  bool ReleasesWithin(milliseconds duration, double demand_a, double demand_b) {
    for (const instant end = now + duration; now < end; now += kTick) {
      // The requests that cause this demand, spread over the keys of a.
      for (requests_due += demand_a / kCost * kTickSeconds; requests_due >= 1; requests_due -= 1) {
        controller.OnRequest(now, next_key);
        next_key = (next_key + kKeyStride) % first_key_of_b;
      }
      const std::vector<range_candidate> candidates = {
          {"a", incarnation, true, true, true, demand_a, kCost},
          {"b", {"tb", 1}, true, true, true, demand_b, kCost}};
      controller.NextAction(now, candidates, true);
      if (controller.HasPendingReleases()) return true;
    }
    return false;
  }

  instant now{std::chrono::hours{1}};
  uint32_t first_key_of_b = 0;
  uint32_t next_key = 0;
  double requests_due = 0;
  target_incarnation incarnation{"ta", 1};
  range_controller controller;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(an_owner, two_owners)

BOOST_AUTO_TEST_CASE(with_a_slow_moment_keeps_its_keys) {
  AssignKeys(kLastKey / 2);
  // A noisy machine: the demand triples for 400 ms at a time.
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(!ReleasesWithin(milliseconds{400}, 1.5, 0.3));
    BOOST_TEST(!ReleasesWithin(milliseconds{400}, 0.5, 0.3));
  }
}

BOOST_AUTO_TEST_CASE(with_a_hot_key_releases_keys_within_two_seconds) {
  AssignKeys(kLastKey / 2);
  BOOST_TEST(ReleasesWithin(milliseconds{2000}, 1.5, 0.3));
}

BOOST_AUTO_TEST_CASE(that_cannot_keep_up_releases_keys_though_all_are_busy) {
  AssignKeys(kLastKey / 2);
  BOOST_TEST(!ReleasesWithin(milliseconds{2000}, 0.95, 0.75));
  BOOST_TEST(ReleasesWithin(milliseconds{2000}, 1.4, 0.9));
}

BOOST_AUTO_TEST_CASE(moves_no_keys_to_a_slow_target_that_has_few_but_its_share_of_the_load) {
  AssignKeys(kLastKey / 5 * 4);
  BOOST_TEST(!ReleasesWithin(milliseconds{5000}, 0.6, 0.6));
}

BOOST_AUTO_TEST_CASE(gives_a_newcomer_its_share) {
  AssignKeys(kLastKey / 5 * 4);
  BOOST_TEST(ReleasesWithin(milliseconds{5000}, 0.6, 0.0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
