// The follower refuses versions that are damaged, conflicting or of a newer format, reports each
// once, and keeps the version in force.
#include <boost/test/unit_test.hpp>

#include "configuration_follower.h"
#include "follower_driver.h"

namespace bulrushway {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_FIXTURE_TEST_SUITE(refusing_versions, follower_driver)

BOOST_AUTO_TEST_CASE(a_damaged_document_is_fetched_again) {
  StartWith(1);
  ReceiveHead(HeadOfVersion(2), "n3");
  AdvanceTime(milliseconds(20));
  fetches.clear();
  Record(
      follower.OnDocument(now, HashDocument(RulesOfVersion(2)), "[tenant t]\nshare = 3\n", "n3"));
  BOOST_TEST(follower.Version() == 1U);
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].message.find("from peer 'n3' is corrupted") != std::string::npos);
  AdvanceTime(kFetchRetryDelay + milliseconds(40));
  BOOST_TEST(fetches.size() == 1U);
  DeliverDocument(RulesOfVersion(2));
  BOOST_TEST(follower.Version() == 2U);
}

BOOST_AUTO_TEST_CASE(a_version_of_a_newer_program_is_refused_once) {
  StartWith(1);
  configuration_head head = HeadOfVersion(2);
  head.format = kHeadFormat + 1;
  for (int i = 0; i < 5; ++i) {
    AnswerPoll(head);
    AdvanceTime(seconds(1));
  }
  BOOST_TEST(follower.Version() == 1U);
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].message.find("newer program") != std::string::npos);
  BOOST_TEST(events[0].message.find("Version 1 stays in force") != std::string::npos);
  AnswerPoll(HeadOfVersion(3));
  DeliverDocuments(3);
  BOOST_TEST(follower.Version() == 3U);
}

BOOST_AUTO_TEST_CASE(documents_that_this_program_cannot_read_are_refused) {
  StartWith(1);
  const std::string rules = "[a_section_of_the_future]\n";
  configuration_head head = HeadOfVersion(2);
  head.rules_hash = HashDocument(rules);
  AnswerPoll(head);
  DeliverDocument(rules);
  BOOST_TEST(follower.Version() == 1U);
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].message.find("a_section_of_the_future") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(another_head_of_the_version_in_force_is_refused) {
  StartWith(4);
  configuration_head conflicting_head = HeadOfVersion(4);
  conflicting_head.operation = "replaced";
  AnswerPoll(conflicting_head);
  AdvanceTime(seconds(1));
  AnswerPoll(conflicting_head);
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].message.find("was the table replaced") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_head_are_refused) {
  StartWith(1);
  for (const char* bytes : {"", "[]", "{", R"({"format":1,"version":2})", R"({"version":-1})",
                            R"({"format":1,"version":0})"}) {
    Record(follower.OnHeadReceived(now, bytes, "n3"));
  }
  BOOST_TEST(follower.Version() == 1U);
  BOOST_TEST(events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_version_that_was_never_committed_does_not_keep_out_the_real_one) {
  StartWith(1);
  ReceiveHead(HeadOfVersion(99), "n3");
  AdvanceTime(kCandidateTimeout);
  AnswerPoll(HeadOfVersion(2));
  DeliverDocuments(2);
  BOOST_TEST(follower.Version() == 2U);
  configuration_head uncommitted_head = HeadOfVersion(3);
  uncommitted_head.rules_hash = HashDocument("nowhere");
  ReceiveHead(uncommitted_head, "n3");
  AnswerPoll(HeadOfVersion(3));
  DeliverDocuments(3);
  BOOST_TEST(follower.Version() == 3U);
}

BOOST_AUTO_TEST_SUITE(freshness)

BOOST_AUTO_TEST_CASE(a_process_that_cannot_confirm_keeps_its_rules_and_says_so) {
  StartWith(1);
  AnswerPoll(HeadOfVersion(1));
  AdvanceTime(kStaleAfter + seconds(1));
  BOOST_TEST(follower.Version() == 1U);
  BOOST_TEST(!follower.TooStale(now));
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST((events[0].event == follower_event::kStale));
  follower.OnConfirmed(now, 1, seconds(2));
  AdvanceTime(milliseconds(20));
  BOOST_REQUIRE(events.size() == 2U);
  BOOST_TEST((events[1].event == follower_event::kFreshAgain));
}

BOOST_AUTO_TEST_CASE(an_answer_older_than_the_version_in_force_confirms_nothing) {
  StartWith(5);
  const auto staleness_before = follower.Staleness(now);
  AdvanceTime(seconds(5));
  AnswerPoll(HeadOfVersion(4));
  BOOST_TEST((*follower.Staleness(now) >= *staleness_before + seconds(5)));
}

BOOST_AUTO_TEST_CASE(it_counts_from_the_sending_of_the_poll) {
  StartWith(1);
  const instant sent = now;
  AdvanceTime(seconds(2));
  Record(follower.OnPolled(now, sent, Encode(HeadOfVersion(1))));
  BOOST_TEST(follower.Staleness(now)->count() == 2000);
}

BOOST_AUTO_TEST_CASE(rules_may_forbid_new_work_when_they_are_too_stale) {
  StartWith(1);
  const std::string rules = "[freshness]\nmax_staleness = 5 min\n";
  configuration_head head = HeadOfVersion(2);
  head.rules_hash = HashDocument(rules);
  AnswerPoll(head);
  DeliverDocument(rules);
  AdvanceTime(std::chrono::minutes(5));
  BOOST_TEST(!follower.TooStale(now));
  AdvanceTime(seconds(1));
  BOOST_TEST(follower.TooStale(now));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
