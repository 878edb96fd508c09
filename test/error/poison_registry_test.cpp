// Requests that crash targets are identified, quarantined, shared with peers, and released.
#include "poison_registry.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway::test {
namespace {

using std::chrono::minutes;

constexpr instant kStart{std::chrono::seconds(100)};
constexpr request_fingerprint kPoison = 1;
constexpr request_fingerprint kHarmless = 2;

struct two_processes {
  poison_registry local{poison_settings{}};
  poison_registry remote{poison_settings{}};

  void Gossip(poison_registry& from, poison_registry& to, instant now = kStart) {
    for (const poison_entry& entry : from.Export("sur", now)) to.Merge(entry, now);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(poison_registry_finds, two_processes)

BOOST_AUTO_TEST_SUITE(the_cause_of_crashes)

BOOST_AUTO_TEST_CASE(the_request_that_was_there_each_time) {
  local.OnCrash(1, {{kPoison, {}}, {kHarmless, {}}}, kStart);
  local.OnAnswered(kHarmless, kStart);
  local.OnCrash(2, {{kPoison, {}}, {3, {}}}, kStart);
  BOOST_TEST(!local.Quarantined(kPoison, kStart));
  const auto quarantined = local.OnCrash(3, {{kPoison, {}}, {kHarmless, {}}}, kStart);
  BOOST_REQUIRE(quarantined.size() == 1U);
  BOOST_TEST(quarantined.front() == kPoison);
  BOOST_TEST(local.Quarantined(kPoison, kStart));
  BOOST_TEST(!local.Quarantined(kHarmless, kStart));
}

BOOST_AUTO_TEST_CASE(sooner_if_it_was_alone) {
  local.OnCrash(1, {{kPoison, {}}}, kStart);
  local.OnCrash(2, {{kPoison, {}}}, kStart);
  BOOST_TEST(local.Quarantined(kPoison, kStart));
}

BOOST_AUTO_TEST_CASE(one_crash_told_twice_counts_once) {
  for (int i = 0; i < 5; ++i) local.OnCrash(1, {{kPoison, {}}}, kStart);
  BOOST_TEST(!local.Quarantined(kPoison, kStart));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(among_peers)

BOOST_AUTO_TEST_CASE(crashes_at_different_targets_add_up) {
  local.OnCrash(1, {{kPoison, {}}}, kStart);
  remote.OnCrash(2, {{kPoison, {}}}, kStart);
  Gossip(remote, local);
  BOOST_TEST(local.Quarantined(kPoison, kStart));
}

BOOST_AUTO_TEST_CASE(hearsay_does_not_prolong_the_quarantine) {
  local.OnCrash(1, {{kPoison, {}}}, kStart);
  local.OnCrash(2, {{kPoison, {}}}, kStart);
  for (int i = 1; i < 10; ++i) {
    Gossip(local, remote, kStart + minutes(i));
    Gossip(remote, local, kStart + minutes(i));
  }
  BOOST_TEST(local.Quarantined(kPoison, kStart + minutes(9)));
  BOOST_TEST(!local.Quarantined(kPoison, kStart + minutes(10)));
  BOOST_TEST(!remote.Quarantined(kPoison, kStart + minutes(10)));
}

BOOST_AUTO_TEST_CASE(a_release_reaches_peers_and_is_not_undone_by_old_news) {
  local.OnCrash(1, {{kPoison, {}}}, kStart);
  local.OnCrash(2, {{kPoison, {}}}, kStart);
  Gossip(local, remote);
  BOOST_TEST(local.Release(kPoison, kStart));
  Gossip(remote, local);
  BOOST_TEST(!local.Quarantined(kPoison, kStart));
  Gossip(local, remote);
  BOOST_TEST(!remote.Quarantined(kPoison, kStart));
  BOOST_TEST(!local.Release(99, kStart));
}

BOOST_AUTO_TEST_CASE(a_request_with_home_regions_is_told_nowhere_else) {
  local.OnCrash(1, {{kPoison, {"sur", "centro"}}, {kHarmless, {}}}, kStart);
  BOOST_TEST(local.Export("sur", kStart).size() == 2U);
  const auto exported = local.Export("norte", kStart);
  BOOST_REQUIRE(exported.size() == 1U);
  BOOST_TEST(exported.front().fingerprint == kHarmless);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(memory_is_bounded) {
  for (uint64_t i = 0; i < 5000; ++i) {
    local.OnCrash(i, {{100 + i, {}}, {100'000 + i, {}}}, kStart);
  }
  BOOST_TEST(local.size() <= 4096U);
}

BOOST_AUTO_TEST_CASE(fingerprints_differ_in_each_part) {
  const auto base = MakeRequestFingerprint("s", "r", "k", "b");
  BOOST_TEST(base != MakeRequestFingerprint("s", "r", "k", "c"));
  BOOST_TEST(base != MakeRequestFingerprint("s", "rk", "", "b"));
  BOOST_TEST(base != MakeRequestFingerprint("t", "r", "k", "b"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
