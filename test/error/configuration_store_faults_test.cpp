// Concurrent operators, lost answers and platform outages during an apply: the outcome reported to
// the operator must be correct each time.
#include <boost/test/unit_test.hpp>

#include "configuration_store.h"
#include "fake_platform.h"

namespace bulrushway {
namespace {

using store = configuration_store<fake_platform, fake_platform>;

struct store_fixture {
  fake_platform platform;
  store config_store{platform, platform,
                     [this](std::chrono::milliseconds delay, std::function<void()> callback) {
                       platform.Wait(delay, std::move(callback));
                     }};

  configuration_change MakeChange(uint64_t base, const std::string& author,
                                  const std::string& rules) {
    return {base,
            "places",
            rules,
            author,
            "reason of " + author,
            author + "-" + rules,
            std::chrono::sys_seconds(std::chrono::seconds(1'800'000'000))};
  }

  void StartApply(const configuration_change& change, apply_outcome& outcome) {
    config_store.Apply(change, [&outcome](const apply_outcome& reported) { outcome = reported; });
  }

  apply_outcome Apply(const configuration_change& change) {
    apply_outcome outcome;
    StartApply(change, outcome);
    platform.Run();
    return outcome;
  }

  uint64_t ReadCurrentVersion() {
    uint64_t version = 0;
    config_store.ReadHead([&](const result<stored_head>& head) { version = head->version(); });
    platform.Run();
    return version;
  }
};

constexpr auto kLostAfter = platform_fault::kLostAfterEffect;
constexpr auto kLostBefore = platform_fault::kLostBeforeEffect;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(committing_a_configuration, store_fixture)

BOOST_AUTO_TEST_SUITE(without_faults)

BOOST_AUTO_TEST_CASE(a_version_and_its_documents_are_read_back) {
  BOOST_TEST((Apply(MakeChange(0, "ana", "one")).state == apply_state::kAccepted));
  BOOST_TEST((Apply(MakeChange(1, "ana", "two")).state == apply_state::kAccepted));
  BOOST_TEST(platform.puts == 3);  // The inventory is unchanged and is not stored again.
  stored_configuration current;
  stored_configuration first;
  config_store.ReadCurrent([&](const result<stored_configuration>& read) { current = *read; });
  config_store.ReadVersion(1, [&](const result<stored_configuration>& read) { first = *read; });
  platform.Run();
  BOOST_TEST(current.head_row.version() == 2U);
  BOOST_TEST(current.rules == "two");
  BOOST_TEST(first.rules == "one");
}

BOOST_AUTO_TEST_CASE(history_is_read_newest_first_across_parts) {
  for (uint64_t base = 0; base < 23; ++base) Apply(MakeChange(base, "ana", std::to_string(base)));
  std::vector<configuration_head> heads;
  config_store.ReadHistory(23, 15, [&](const auto& read) { heads = *read; });
  platform.Run();
  BOOST_REQUIRE(heads.size() == 15U);
  BOOST_TEST(heads.front().version == 23U);
  BOOST_TEST(heads.back().version == 9U);
}

BOOST_AUTO_TEST_CASE(a_version_that_never_was_is_a_user_error) {
  Apply(MakeChange(0, "ana", "one"));
  error_kind kind = error_kind::kInternal;
  config_store.ReadVersion(7, [&](const auto& read) { kind = read.error().kind; });
  platform.Run();
  BOOST_TEST((kind == error_kind::kUser));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(racing_operators)

BOOST_AUTO_TEST_CASE(in_each_round_one_is_accepted_and_the_other_told_who_was_first) {
  for (uint64_t base = 0; base < 20; ++base) {
    apply_outcome ana;
    apply_outcome ben;
    StartApply(MakeChange(base, "ana", "a" + std::to_string(base)), ana);
    StartApply(MakeChange(base, "ben", "b" + std::to_string(base)), ben);
    platform.Run();
    BOOST_REQUIRE((ana.state == apply_state::kAccepted) != (ben.state == apply_state::kAccepted));
    const bool ana_won = ana.state == apply_state::kAccepted;
    const apply_outcome& loser = ana_won ? ben : ana;
    BOOST_TEST((loser.state == apply_state::kConflict));
    BOOST_REQUIRE(loser.newer_heads.size() == 1U);
    BOOST_TEST(loser.newer_heads[0].author == (ana_won ? "ana" : "ben"));
    BOOST_TEST(loser.message.find("reason of " + loser.newer_heads[0].author) != std::string::npos);
    BOOST_TEST(ReadCurrentVersion() == base + 1);
  }
}

BOOST_AUTO_TEST_CASE(an_edit_of_an_old_version_is_refused_with_all_that_changed_since) {
  Apply(MakeChange(0, "ana", "one"));
  Apply(MakeChange(1, "ben", "two"));
  Apply(MakeChange(2, "eva", "three"));
  const apply_outcome outcome = Apply(MakeChange(1, "ana", "mine"));
  BOOST_TEST((outcome.state == apply_state::kConflict));
  BOOST_TEST(outcome.newer_heads.size() == 2U);
  BOOST_TEST(outcome.message.find("by ben (reason of ben), rules changed") != std::string::npos);
  BOOST_TEST(outcome.message.find("by ana") == std::string::npos);
  BOOST_TEST(ReadCurrentVersion() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(lost_answers)

BOOST_AUTO_TEST_CASE(a_commit_that_took_effect_is_found_by_reading_back) {
  platform.commit_faults = {kLostAfter};
  BOOST_TEST((Apply(MakeChange(0, "ana", "one")).state == apply_state::kAccepted));
  BOOST_TEST(platform.commits == 1);
  BOOST_TEST(ReadCurrentVersion() == 1U);
}

BOOST_AUTO_TEST_CASE(a_commit_that_took_no_effect_is_repeated) {
  platform.commit_faults = {kLostBefore, kLostBefore};
  BOOST_TEST((Apply(MakeChange(0, "ana", "one")).state == apply_state::kAccepted));
  BOOST_TEST(platform.commits == 3);
}

BOOST_AUTO_TEST_CASE(the_others_commit_in_between_is_a_conflict) {
  platform.commit_faults = {kLostBefore};
  apply_outcome ana;
  StartApply(MakeChange(0, "ana", "one"), ana);
  while (platform.commits == 0) platform.Step();
  apply_outcome ben;
  StartApply(MakeChange(0, "ben", "two"), ben);
  platform.Run();
  BOOST_TEST((ana.state == apply_state::kConflict) != (ben.state == apply_state::kConflict));
  BOOST_TEST((ana.state == apply_state::kAccepted) != (ben.state == apply_state::kAccepted));
}

BOOST_AUTO_TEST_CASE(a_reading_back_that_is_lost_too_is_repeated) {
  platform.commit_faults = {kLostAfter};
  platform.read_faults = {platform_fault::kNone, kLostBefore, kLostBefore};
  BOOST_TEST((Apply(MakeChange(0, "ana", "one")).state == apply_state::kAccepted));
  BOOST_TEST(platform.commits == 1);
}

BOOST_AUTO_TEST_CASE(a_late_effect_of_the_first_commit_is_not_mistaken_for_a_conflict) {
  // The retry finds the row that its own first attempt wrote after the read-back.
  platform.commit_faults = {kLostBefore};
  apply_outcome outcome;
  const configuration_change change = MakeChange(0, "ana", "one");
  StartApply(change, outcome);
  while (platform.commits == 0) platform.Step();
  platform.Step();  // Delivers the lost answer.
  platform.Step();  // The retry delay; the read-back is sent and finds nothing.
  fake_platform& platform_ref = platform;
  platform_ref.Commit(MakeTransaction(MakeHead(change), 0), [](const result<void>&) {});
  platform.Run();
  BOOST_TEST((outcome.state == apply_state::kAccepted));
  BOOST_TEST(ReadCurrentVersion() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(outages)

BOOST_AUTO_TEST_CASE(before_the_commit_the_change_is_certainly_not_in_force) {
  platform.down = true;
  const apply_outcome outcome = Apply(MakeChange(0, "ana", "one"));
  BOOST_TEST((outcome.state == apply_state::kNotApplied));
  BOOST_TEST(platform.commits == 0);
  platform.down = false;
  BOOST_TEST(ReadCurrentVersion() == 0U);
}

BOOST_AUTO_TEST_CASE(while_documents_are_stored_no_head_names_them) {
  apply_outcome outcome;
  StartApply(MakeChange(0, "ana", "one"), outcome);
  while (platform.puts == 0) platform.Step();
  platform.down = true;
  platform.Run();
  BOOST_TEST((outcome.state == apply_state::kNotApplied));
  BOOST_TEST(platform.rows.empty());
}

BOOST_AUTO_TEST_CASE(in_the_middle_of_the_commit_the_outcome_is_unknown_and_says_how_to_find_it) {
  platform.commit_faults = {kLostAfter};
  apply_outcome outcome;
  StartApply(MakeChange(0, "ana", "one"), outcome);
  while (platform.commits == 0) platform.Step();
  platform.down = true;
  platform.Run();
  BOOST_TEST((outcome.state == apply_state::kUnknown));
  BOOST_TEST(outcome.message.find("'ana-one'") != std::string::npos);
  platform.down = false;
  BOOST_TEST(ReadCurrentVersion() == 1U);
}

BOOST_AUTO_TEST_CASE(waits_between_attempts_grow_and_end) {
  platform.down = true;
  Apply(MakeChange(0, "ana", "one"));
  BOOST_TEST(platform.waited.count() == 3100);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(damage)

BOOST_AUTO_TEST_CASE(a_damaged_document_is_not_handed_out) {
  Apply(MakeChange(0, "ana", "one"));
  platform.objects[DocumentName(HashDocument("one"))] = "onf";
  std::string message;
  config_store.ReadCurrent([&](const auto& read) { message = read.error().message; });
  platform.Run();
  BOOST_TEST(message.find("is corrupted: its hash is") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_head_of_a_newer_program_is_not_overwritten) {
  Apply(MakeChange(0, "ana", "one"));
  platform.rows[std::string(kHeadKey)].value = R"({"format":2,"version":1})";
  const apply_outcome outcome = Apply(MakeChange(1, "ana", "two"));
  BOOST_TEST((outcome.state == apply_state::kNotApplied));
  BOOST_TEST(outcome.message.find("newer program") != std::string::npos);
  BOOST_TEST(platform.commits == 1);
}

BOOST_AUTO_TEST_CASE(a_note_that_is_too_long_is_refused) {
  configuration_change change = MakeChange(0, "ana", "one");
  change.note = std::string(kMaxNoteBytes + 1, 'x');
  BOOST_TEST((Apply(change).state == apply_state::kNotApplied));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
