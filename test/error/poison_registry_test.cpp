// Requests that crash targets are identified, quarantined, shared with peers, and released.
#include "poison_registry.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway::test {
namespace {

using std::chrono::minutes;

constexpr instant kStart{std::chrono::seconds(100)};
constexpr request_fingerprint kPoison = 1;
constexpr request_fingerprint kBystander = 2;

struct two_processes {
  poison_registry here{poison_settings{}};
  poison_registry there{poison_settings{}};

  void Gossip(poison_registry& from, poison_registry& to, instant now = kStart) {
    for (const poison_entry& entry : from.Export("sur", now)) to.Merge(entry, now);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(poison_registry_finds, two_processes)

BOOST_AUTO_TEST_SUITE(the_cause_of_crashes)

BOOST_AUTO_TEST_CASE(the_request_that_was_there_each_time) {
  here.OnCrash(1, {{kPoison, {}}, {kBystander, {}}}, kStart);
  here.OnAnswered(kBystander, kStart);
  here.OnCrash(2, {{kPoison, {}}, {3, {}}}, kStart);
  BOOST_TEST(!here.Quarantined(kPoison, kStart));
  const auto found = here.OnCrash(3, {{kPoison, {}}, {kBystander, {}}}, kStart);
  BOOST_REQUIRE(found.size() == 1U);
  BOOST_TEST(found.front() == kPoison);
  BOOST_TEST(here.Quarantined(kPoison, kStart));
  BOOST_TEST(!here.Quarantined(kBystander, kStart));
}

BOOST_AUTO_TEST_CASE(sooner_if_it_was_alone) {
  here.OnCrash(1, {{kPoison, {}}}, kStart);
  here.OnCrash(2, {{kPoison, {}}}, kStart);
  BOOST_TEST(here.Quarantined(kPoison, kStart));
}

BOOST_AUTO_TEST_CASE(one_crash_told_twice_counts_once) {
  for (int i = 0; i < 5; ++i) here.OnCrash(1, {{kPoison, {}}}, kStart);
  BOOST_TEST(!here.Quarantined(kPoison, kStart));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(among_peers)

BOOST_AUTO_TEST_CASE(crashes_at_different_targets_add_up) {
  here.OnCrash(1, {{kPoison, {}}}, kStart);
  there.OnCrash(2, {{kPoison, {}}}, kStart);
  Gossip(there, here);
  BOOST_TEST(here.Quarantined(kPoison, kStart));
}

BOOST_AUTO_TEST_CASE(hearsay_does_not_prolong_the_quarantine) {
  here.OnCrash(1, {{kPoison, {}}}, kStart);
  here.OnCrash(2, {{kPoison, {}}}, kStart);
  for (int i = 1; i < 10; ++i) {
    Gossip(here, there, kStart + minutes(i));
    Gossip(there, here, kStart + minutes(i));
  }
  BOOST_TEST(here.Quarantined(kPoison, kStart + minutes(9)));
  BOOST_TEST(!here.Quarantined(kPoison, kStart + minutes(10)));
  BOOST_TEST(!there.Quarantined(kPoison, kStart + minutes(10)));
}

BOOST_AUTO_TEST_CASE(a_release_reaches_peers_and_is_not_undone_by_old_news) {
  here.OnCrash(1, {{kPoison, {}}}, kStart);
  here.OnCrash(2, {{kPoison, {}}}, kStart);
  Gossip(here, there);
  BOOST_TEST(here.Release(kPoison, kStart));
  Gossip(there, here);
  BOOST_TEST(!here.Quarantined(kPoison, kStart));
  Gossip(here, there);
  BOOST_TEST(!there.Quarantined(kPoison, kStart));
  BOOST_TEST(!here.Release(99, kStart));
}

BOOST_AUTO_TEST_CASE(a_request_with_home_regions_is_told_nowhere_else) {
  here.OnCrash(1, {{kPoison, {"sur", "centro"}}, {kBystander, {}}}, kStart);
  BOOST_TEST(here.Export("sur", kStart).size() == 2U);
  const auto outside = here.Export("norte", kStart);
  BOOST_REQUIRE(outside.size() == 1U);
  BOOST_TEST(outside.front().fingerprint == kBystander);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(memory_is_bounded) {
  for (uint64_t i = 0; i < 5000; ++i) {
    here.OnCrash(i, {{100 + i, {}}, {100'000 + i, {}}}, kStart);
  }
  BOOST_TEST(here.size() <= 4096U);
}

BOOST_AUTO_TEST_CASE(fingerprints_differ_in_each_part) {
  const auto base = MakeRequestFingerprint("s", "r", "k", "b");
  BOOST_TEST(base != MakeRequestFingerprint("s", "r", "k", "c"));
  BOOST_TEST(base != MakeRequestFingerprint("s", "rk", "", "b"));
  BOOST_TEST(base != MakeRequestFingerprint("t", "r", "k", "b"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
