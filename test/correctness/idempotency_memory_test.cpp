// At-most-once execution: a repeat joins the running attempt or gets its answer, and a memory with
// gaps does not presume that a repeat is new.
#include "idempotency_memory.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint32_t kSlice = 7;
constexpr instant kStart{std::chrono::hours(1)};
constexpr wall_time kWallStart{std::chrono::hours(500'000)};

struct owned_slice {
  owned_slice() : memory(Settings()) {
    memory.AcquireSliceWithoutMemory(kSlice, kWallStart - minutes(11));
  }

  static idempotency_settings Settings() {
    idempotency_settings settings;
    settings.max_answer_bytes = 100;
    settings.max_requests = 8;
    return settings;
  }
  static identified_request Request(const char* key, caller_attempt attempt,
                                    std::optional<wall_time> first_sent = std::nullopt) {
    return {MakeRequestIdentity("cronometraje", "a", "bib 12", key), kSlice, 1, attempt,
            first_sent};
  }
  repeat_verdict Begin(const identified_request& request, milliseconds after = {}) {
    return memory.Begin(request, kStart + after, kWallStart + after).verdict;
  }
  repeat_verdict Begin(const char* key, caller_attempt attempt = caller_attempt::kUnspecified,
                       milliseconds after = {}) {
    return Begin(Request(key, attempt), after);
  }
  void RecordAnswer(const char* key, std::string answer) {
    memory.RecordAnswer(kSlice, Request(key, caller_attempt::kUnspecified).identity,
                        std::move(answer));
  }

  idempotency_memory memory;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(idempotency_memory_knows)

BOOST_FIXTURE_TEST_SUITE(while_the_slice_is_owned, owned_slice)

BOOST_AUTO_TEST_CASE(a_concurrent_repeat_joins_the_first) {
  BOOST_TEST((Begin("k") == repeat_verdict::kNew));
  BOOST_TEST((Begin("k", caller_attempt::kRepeat) == repeat_verdict::kJoin));
}

BOOST_AUTO_TEST_CASE(a_later_repeat_gets_the_same_answer) {
  Begin("k");
  RecordAnswer("k", "paid");
  const repeat_decision repeat =
      memory.Begin(Request("k", caller_attempt::kRepeat), kStart, kWallStart);
  BOOST_TEST((repeat.verdict == repeat_verdict::kAnswered));
  BOOST_REQUIRE(repeat.answer != nullptr);
  BOOST_TEST(*repeat.answer == "paid");
}

BOOST_AUTO_TEST_CASE(a_lost_answer_stays_unknown) {
  Begin("k");
  memory.RecordOutcomeUnknown(kSlice, Request("k", caller_attempt::kUnspecified).identity);
  BOOST_TEST((Begin("k") == repeat_verdict::kOutcomeUnknown));
  // It does not run again even when the caller declares a first attempt.
  BOOST_TEST((Begin("k", caller_attempt::kFirst) == repeat_verdict::kOutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(a_request_that_was_not_run_may_run) {
  Begin("k");
  memory.RecordNotRun(kSlice, Request("k", caller_attempt::kUnspecified).identity);
  BOOST_TEST((Begin("k") == repeat_verdict::kNew));
}

BOOST_AUTO_TEST_CASE(another_request_under_the_same_key_is_a_mistake) {
  Begin("k");
  identified_request other = Request("k", caller_attempt::kUnspecified);
  other.fingerprint = 2;
  BOOST_TEST((Begin(other) == repeat_verdict::kMismatch));
}

BOOST_AUTO_TEST_CASE(tenants_and_keys_do_not_share_idempotency_keys) {
  const auto base = MakeRequestIdentity("s", "a", "k", "1");
  BOOST_TEST(!(base == MakeRequestIdentity("s", "b", "k", "1")));
  BOOST_TEST(!(base == MakeRequestIdentity("s", "a", "j", "1")));
  BOOST_TEST(!(base == MakeRequestIdentity("s", "ak", "", "1")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(after_forgetting, owned_slice)

BOOST_AUTO_TEST_CASE(a_repeat_past_the_window_is_not_presumed_new) {
  const wall_time sent = kWallStart - seconds(1);
  Begin(Request("k", caller_attempt::kFirst, sent));
  RecordAnswer("k", "paid");
  const milliseconds later = minutes(10) + milliseconds(1);
  BOOST_TEST(
      (Begin(Request("k", caller_attempt::kRepeat, sent), later) == repeat_verdict::kForgotten));
  BOOST_TEST((Begin(Request("k", caller_attempt::kUnspecified, sent), later) ==
              repeat_verdict::kForgotten));
  BOOST_TEST((Begin("k", caller_attempt::kRepeat, later) == repeat_verdict::kForgotten));
  BOOST_TEST(memory.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_sent_after_the_forgotten_ones_is_new) {
  Begin(Request("k", caller_attempt::kFirst, kWallStart));
  RecordAnswer("k", "paid");
  const milliseconds later = minutes(11);
  const auto fresh = Request("j", caller_attempt::kUnspecified, kWallStart + later);
  BOOST_TEST((Begin(fresh, later) == repeat_verdict::kNew));
}

BOOST_AUTO_TEST_CASE(a_running_request_is_not_forgotten) {
  Begin("k");
  BOOST_TEST((Begin("k", caller_attempt::kRepeat, minutes(25)) == repeat_verdict::kJoin));
}

BOOST_AUTO_TEST_CASE(a_stamp_in_the_future_is_refused) {
  const auto ahead = Request("k", caller_attempt::kFirst, kWallStart + minutes(1));
  BOOST_TEST((Begin(ahead) == repeat_verdict::kFirstSentInFuture));
}

BOOST_AUTO_TEST_CASE(answers_are_dropped_before_identities) {
  Begin("k");
  RecordAnswer("k", std::string(60, 'x'));
  Begin("j");
  RecordAnswer("j", std::string(60, 'y'));
  BOOST_TEST(memory.answer_bytes() == 60U);
  BOOST_TEST((Begin("k") == repeat_verdict::kOutcomeUnknown));
  BOOST_TEST((Begin("j") == repeat_verdict::kAnswered));
}

BOOST_AUTO_TEST_CASE(a_full_memory_refuses_instead_of_forgetting) {
  for (const char* key : {"1", "2", "3", "4", "5", "6", "7", "8"}) Begin(key);
  BOOST_TEST((Begin("9") == repeat_verdict::kFull));
  BOOST_TEST((Begin("1") == repeat_verdict::kJoin));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(after_a_change_of_owner, owned_slice)

BOOST_AUTO_TEST_CASE(a_repeat_from_the_time_of_another_owner_is_not_presumed_new) {
  memory.AcquireSliceWithoutMemory(kSlice, kWallStart);
  const wall_time sent_before = kWallStart - seconds(3);
  BOOST_TEST((Begin("k", caller_attempt::kRepeat) == repeat_verdict::kForgotten));
  BOOST_TEST(
      (Begin(Request("k", caller_attempt::kRepeat, sent_before)) == repeat_verdict::kForgotten));
  BOOST_TEST((Begin("j", caller_attempt::kFirst) == repeat_verdict::kNew));
}

BOOST_AUTO_TEST_CASE(a_request_that_may_be_a_repeat_is_not_presumed_new_for_the_window) {
  memory.AcquireSliceWithoutMemory(kSlice, kWallStart);
  BOOST_TEST((Begin("k") == repeat_verdict::kForgotten));
  BOOST_TEST((Begin("k", caller_attempt::kUnspecified, minutes(9)) == repeat_verdict::kForgotten));
  BOOST_TEST((Begin("k", caller_attempt::kUnspecified, minutes(11)) == repeat_verdict::kNew));
}

BOOST_AUTO_TEST_CASE(the_first_owner_ever_presumes_every_request_new) {
  memory.AcquireFreshSlice(kSlice);
  BOOST_TEST((Begin("k") == repeat_verdict::kNew));
  BOOST_TEST((Begin(Request("j", caller_attempt::kRepeat, kWallStart)) == repeat_verdict::kNew));
}

BOOST_AUTO_TEST_CASE(a_slice_gained_again_forgets_nothing) {
  Begin("running");
  Begin("done");
  RecordAnswer("done", "paid");
  memory.AcquireSliceWithoutMemory(kSlice, kWallStart);
  BOOST_TEST((Begin("running") == repeat_verdict::kJoin));
  BOOST_TEST((Begin("done") == repeat_verdict::kAnswered));
}

BOOST_AUTO_TEST_CASE(a_planned_move_carries_the_memory_along) {
  Begin("done");
  RecordAnswer("done", "paid");
  Begin("running");
  const slice_memory_export moved = memory.ExportSlice(kSlice, kStart + seconds(1));
  memory.ForgetSlice(kSlice);
  BOOST_TEST(memory.size() == 0U);
  BOOST_TEST(memory.answer_bytes() == 0U);

  idempotency_memory next_owner(Settings());
  // The boot clocks of two machines are unrelated.
  const instant now = kStart + std::chrono::hours(40);
  next_owner.ImportSlice(kSlice, moved, now);
  const auto verdict = [&](const char* key) {
    return next_owner.Begin(Request(key, caller_attempt::kRepeat), now, kWallStart).verdict;
  };
  BOOST_TEST((verdict("done") == repeat_verdict::kAnswered));
  BOOST_TEST((verdict("running") == repeat_verdict::kOutcomeUnknown));
  const auto sent_later = Request("new", caller_attempt::kRepeat, kWallStart + seconds(1));
  BOOST_TEST((next_owner.Begin(sent_later, now, kWallStart).verdict == repeat_verdict::kNew));
  // The window still starts at the first attempt, before the move.
  next_owner.Begin(Request("x", caller_attempt::kFirst), now + minutes(10),
                   kWallStart + minutes(10));
  BOOST_TEST((verdict("done") == repeat_verdict::kForgotten));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
