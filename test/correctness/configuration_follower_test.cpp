// The follower learns of new configuration versions, fetches their documents and adopts them. It
// never goes back to an older version.
#include "configuration_follower.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "follower_driver.h"

namespace bulrushway {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(following_the_configuration, follower_driver)

BOOST_AUTO_TEST_SUITE(start)

BOOST_AUTO_TEST_CASE(a_fresh_process_says_why_it_has_none) {
  AdvanceTime(milliseconds(20));
  BOOST_TEST(polls.size() == 1U);
  BOOST_TEST(follower.WhyNotConfigured().find("Neither the platform nor a peer") !=
             std::string::npos);
  Record(follower.OnPolled(now, now, std::nullopt));
  BOOST_TEST(follower.WhyNotConfigured().find("bulrushctl apply") != std::string::npos);
  AnswerPoll(HeadOfVersion(3));
  BOOST_TEST(follower.WhyNotConfigured().find(HashDocument(RulesOfVersion(3))) !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(with_the_platform_down_it_starts_from_peers) {
  follower.OnPollFailed(now);
  ReceiveHead(HeadOfVersion(5), "far-2");
  AdvanceTime(milliseconds(40));
  BOOST_REQUIRE(!fetches.empty());
  BOOST_TEST(fetches.front().peer == "far-2");
  DeliverDocuments(5);
  AdvanceTime(kMinStartupGathering);
  BOOST_TEST(follower.Version() == 5U);
  BOOST_TEST(!follower.Staleness(now).has_value());
}

BOOST_AUTO_TEST_CASE(it_waits_for_several_sources_before_its_first_version) {
  ReceiveHead(HeadOfVersion(5), "lagging");
  DeliverDocuments(5);
  AnswerPoll(HeadOfVersion(6));
  DeliverDocuments(6);
  AdvanceTime(seconds(1));
  BOOST_TEST(adopted == std::vector<uint64_t>{6}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(it_waits_a_while_for_a_version_that_it_sees_in_use) {
  follower.OnVersionSeen(now, 9);
  AnswerPoll(HeadOfVersion(8));
  DeliverDocuments(8);
  AdvanceTime(seconds(2));
  BOOST_TEST(adopted.empty());
  AdvanceTime(kMaxStartupGathering);
  BOOST_TEST(follower.Version() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(changes)

BOOST_AUTO_TEST_CASE(only_the_changed_document_is_fetched_and_the_head_is_passed_on) {
  StartWith(1);
  fetches.clear();
  ReceiveHead(HeadOfVersion(2), "n3");
  AdvanceTime(milliseconds(20));
  BOOST_REQUIRE(fetches.size() == 1U);
  BOOST_TEST(fetches[0].hash == HashDocument(RulesOfVersion(2)));
  DeliverDocument(RulesOfVersion(2));
  BOOST_TEST(adopted.back() == 2U);
  BOOST_TEST(published.back() == 2U);
  BOOST_TEST(follower.InForce()->rules.tenants.at(0).share == 2U);
}

BOOST_AUTO_TEST_CASE(a_burst_ends_with_the_newest_in_force) {
  StartWith(1);
  for (uint64_t version = 2; version <= 40; ++version) ReceiveHead(HeadOfVersion(version), "n3");
  AdvanceTime(milliseconds(20));
  DeliverDocument(RulesOfVersion(40));
  BOOST_TEST(adopted.back() == 40U);
  BOOST_TEST(adopted.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_peer_without_the_document_leads_to_another_and_at_last_to_the_platform) {
  StartWith(1);
  fetches.clear();
  ReceiveHead(HeadOfVersion(2), "n3");
  std::set<std::string> sources;
  for (int i = 0; i < 60; ++i) {
    AdvanceTime(milliseconds(20));
    if (!fetches.empty()) sources.insert(fetches.back().peer);
    follower.OnFetchFailed(now, HashDocument(RulesOfVersion(2)));
  }
  BOOST_TEST(sources.size() > 4U);
  BOOST_TEST(sources.contains(""));
  BOOST_TEST(!sources.contains("n1"));
}

BOOST_AUTO_TEST_CASE(a_head_from_gossip_is_not_a_reason_for_all_to_ask_the_platform) {
  StartWith(1);
  fetches.clear();
  ReceiveHead(HeadOfVersion(2), "gossip");
  AdvanceTime(kPeerOnlyFetchTime - milliseconds(20));
  BOOST_TEST(!fetches.empty());
  for (const fetch_document& fetch : fetches) BOOST_TEST(!fetch.peer.empty());
}

BOOST_AUTO_TEST_CASE(a_silent_peer_costs_one_fetch_timeout) {
  StartWith(1);
  fetches.clear();
  ReceiveHead(HeadOfVersion(2), "n3");
  AdvanceTime(kFetchTimeout + milliseconds(40));
  BOOST_TEST(fetches.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(never_back)

BOOST_AUTO_TEST_CASE(older_heads_from_peers_and_the_platform_change_nothing) {
  StartWith(7);
  ReceiveHead(HeadOfVersion(6), "lagging");
  AnswerPoll(HeadOfVersion(5));
  DeliverDocuments(6);
  DeliverDocuments(5);
  AdvanceTime(seconds(10));
  BOOST_TEST(adopted == std::vector<uint64_t>{7}, boost::test_tools::per_element());
  BOOST_TEST(events.empty());
}

BOOST_AUTO_TEST_CASE(versions_only_rise_over_random_deliveries) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    follower_driver driver("n1", seed);
    std::mt19937_64 random(seed);
    for (int step = 0; step < 200; ++step) {
      const uint64_t version = 1 + random() % 12;
      switch (random() % 5) {
        case 0:
          driver.ReceiveHead(HeadOfVersion(version), "n" + std::to_string(1 + random() % 8));
          break;
        case 1:
          driver.AnswerPoll(HeadOfVersion(version));
          break;
        case 2:
          driver.DeliverDocuments(version);
          break;
        case 3:
          driver.follower.OnVersionSeen(driver.now, version);
          break;
        default:
          driver.AdvanceTime(milliseconds(random() % 300));
      }
      const uint64_t in_force = driver.adopted.empty() ? 0 : driver.adopted.back();
      BOOST_REQUIRE(driver.follower.Version() == in_force);
    }
    const auto not_rising = std::adjacent_find(driver.adopted.begin(), driver.adopted.end(),
                                               [](uint64_t a, uint64_t b) { return a >= b; });
    BOOST_REQUIRE((not_rising == driver.adopted.end()));
    driver.AnswerPoll(HeadOfVersion(13));
    driver.DeliverDocuments(13);
    driver.AdvanceTime(kMaxStartupGathering);
    BOOST_REQUIRE(driver.follower.Version() == 13U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(polling)

BOOST_AUTO_TEST_CASE(a_data_centre_has_three_pollers_and_replaces_one_that_dies) {
  std::vector<std::string> pollers;
  for (const std::string& name : members.local) {
    if (follower_driver(name).follower.IsPoller(members)) pollers.push_back(name);
  }
  BOOST_REQUIRE(pollers.size() == kPollersPerDataCentre);
  std::erase(members.local, pollers.front());
  size_t remaining_pollers = 0;
  for (const std::string& name : members.local) {
    remaining_pollers += follower_driver(name).follower.IsPoller(members) ? 1 : 0;
  }
  BOOST_TEST(remaining_pollers == kPollersPerDataCentre);
}

BOOST_AUTO_TEST_CASE(pollers_read_twice_a_second_and_others_twice_a_minute) {
  for (const std::string& name : members.local) {
    follower_driver driver(name);
    driver.StartWith(1);
    driver.polls.clear();
    for (int i = 0; i < 120 * 50; ++i) {
      const size_t polls_before = driver.polls.size();
      driver.AdvanceTime(milliseconds(20));
      if (driver.polls.size() > polls_before) driver.AnswerPoll(HeadOfVersion(1));
    }
    if (driver.follower.IsPoller(members)) {
      BOOST_TEST(driver.polls.size() >= 210U);
      BOOST_TEST(driver.polls.size() <= 270U);
    } else {
      BOOST_TEST(driver.polls.size() >= 3U);
      BOOST_TEST(driver.polls.size() <= 6U);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_poke_polls_at_once) {
  StartWith(1);
  polls.clear();
  follower.Poke();
  AdvanceTime(milliseconds(20));
  BOOST_TEST(polls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_newer_version_in_use_leads_to_a_poll_unless_its_head_comes) {
  std::string non_poller;
  for (const std::string& name : members.local) {
    if (!follower_driver(name).follower.IsPoller(members)) non_poller = name;
  }
  for (const bool head_comes : {false, true}) {
    follower_driver driver(non_poller);
    driver.StartWith(1);
    driver.polls.clear();
    driver.follower.OnVersionSeen(driver.now, 2);
    if (head_comes) driver.ReceiveHead(HeadOfVersion(2), "n3");
    driver.AdvanceTime(kNewerVersionPollDelay + kNewerVersionPollJitter + milliseconds(40));
    BOOST_TEST(driver.polls.size() == (head_comes ? 0U : 1U));
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
