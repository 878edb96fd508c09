// What a process relies on, and what it takes as possibly held, when it grants keys by calls that
// are answered, refused, lost or carried out late.

#include "call_grants.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStarted = instant{} + std::chrono::hours(1);
// Late enough that no grant of an earlier process can still take effect.
constexpr instant kStart = kStarted + seconds(10);
constexpr milliseconds kLease{5500};
constexpr milliseconds kHold{4000};
const target_incarnation kTarget{"t1", 1000};
const granted_range kRange{{100, 199}, 7, "handover"};

grant_limits Limits() { return {.max_hold = kHold}; }

grant_call_outcome Outcome(grant_call_result result) { return {.result = result}; }

// A target that has identified itself and is permitted one range.
class granting_process {
 public:
  granting_process() { grants.OnHeartbeat(); }

  std::vector<grant_call> Due(instant now, milliseconds lease_left = kLease) {
    return grants.DueGrants(now, kTarget, permitted, lease_left);
  }
  // Sends the one grant that is due.
  grant_call Send(instant now) {
    const auto due = Due(now);
    BOOST_REQUIRE_EQUAL(due.size(), 1U);
    return due[0];
  }
  bool Relies(instant now) const { return grants.Find(now, 150) != nullptr; }

  call_grants grants{Limits(), kStarted};
  std::vector<granted_range> permitted{kRange};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(keys_granted_by_calls)

BOOST_AUTO_TEST_CASE(are_relied_on_from_the_answer_to_the_end_of_the_hold_since_the_sending) {
  granting_process process;
  const grant_call call = process.Send(kStart);
  BOOST_TEST((call.range == kRange));
  BOOST_TEST((call.hold == kHold));
  BOOST_TEST(!process.Relies(kStart + milliseconds(1)));
  process.grants.OnOutcome(kStart + milliseconds(300), call, Outcome(grant_call_result::kDone));
  BOOST_TEST(process.Relies(kStart + milliseconds(300)));
  BOOST_TEST(process.Relies(kStart + kHold - milliseconds(50)));
  BOOST_TEST(!process.Relies(kStart + kHold));
}

BOOST_AUTO_TEST_CASE(may_be_held_until_the_hold_since_the_answer_by_a_slow_clock) {
  granting_process process;
  const grant_call call = process.Send(kStart);
  const instant answered = kStart + milliseconds(300);
  process.grants.OnOutcome(answered, call, Outcome(grant_call_result::kDone));
  BOOST_TEST((process.grants.LatestEnd(kRange.keys) == answered + milliseconds(4080)));
  BOOST_TEST((process.grants.LatestLateEnd(kRange.keys) <= kStart));
}

BOOST_AUTO_TEST_CASE(never_outlast_the_lease_however_late_the_call_arrives) {
  granting_process process;
  const auto due = process.Due(kStart, milliseconds(2000));
  BOOST_REQUIRE_EQUAL(due.size(), 1U);
  BOOST_TEST((process.grants.LatestEnd(kRange.keys) <= kStart + milliseconds(2000)));
  granting_process other;
  BOOST_TEST(other.Due(kStart, milliseconds(400)).empty());
}

BOOST_AUTO_TEST_CASE(are_renewed_when_half_of_the_hold_is_over) {
  granting_process process;
  process.grants.OnOutcome(kStart, process.Send(kStart), Outcome(grant_call_result::kDone));
  BOOST_TEST(process.Due(kStart + milliseconds(1900)).empty());
  const grant_call renewal = process.Send(kStart + milliseconds(2100));
  BOOST_TEST((renewal.range == kRange));

  BOOST_TEST_CONTEXT("a target with 1, 10 and 50 ranges gets 1, 10 and 50 calls in two seconds") {
    for (const uint32_t ranges : {1U, 10U, 50U}) {
      granting_process many;
      many.permitted.clear();
      for (uint32_t i = 0; i < ranges; ++i) many.permitted.push_back({{i * 10, i * 10 + 9}, i, {}});
      size_t calls = 0;
      for (instant now = kStart; now < kStart + seconds(20); now += milliseconds(25)) {
        for (const grant_call& call : many.Due(now)) {
          ++calls;
          many.grants.OnOutcome(now, call, Outcome(grant_call_result::kDone));
        }
      }
      BOOST_TEST(calls <= 11 * ranges);
    }
  }
}

BOOST_AUTO_TEST_CASE(are_not_renewed_more_often_while_the_lease_runs_out) {
  granting_process process;
  size_t calls = 0;
  for (milliseconds passed{0}; passed < seconds(5); passed += milliseconds(25)) {
    for (const grant_call& call : process.Due(kStart + passed, kLease - passed)) {
      ++calls;
      process.grants.OnOutcome(kStart + passed, call, Outcome(grant_call_result::kDone));
    }
  }
  BOOST_TEST(calls <= 10U);
}

BOOST_AUTO_TEST_SUITE(after_a_call_without_an_answer)

BOOST_AUTO_TEST_CASE(are_granted_again_and_may_be_held_late_although_released) {
  granting_process process;
  const grant_call lost = process.Send(kStart);
  const instant given_up = kStart + lost.timeout;
  process.grants.OnOutcome(given_up, lost, Outcome(grant_call_result::kUnknown));
  BOOST_TEST(!process.Relies(given_up));
  const grant_call again = process.Send(given_up + milliseconds(50));
  process.grants.OnOutcome(given_up + milliseconds(60), again, Outcome(grant_call_result::kDone));
  BOOST_TEST(process.Relies(given_up + milliseconds(60)));

  BOOST_TEST_CONTEXT("until its hold since the latest possible arrival is over") {
    BOOST_TEST((process.grants.LatestLateEnd({150, 150}) == given_up + milliseconds(4080)));
    BOOST_TEST((process.grants.LatestLateEnd({200, 300}) <= kStart));
  }
}

BOOST_AUTO_TEST_CASE(are_not_held_late_when_the_call_certainly_did_nothing) {
  granting_process process;
  const grant_call refused = process.Send(kStart);
  process.grants.OnOutcome(kStart, refused, Outcome(grant_call_result::kNotDone));
  BOOST_TEST((process.grants.LatestEnd(kRange.keys) <= kStart));
}

BOOST_AUTO_TEST_CASE(may_be_held_late_by_grants_of_the_previous_process) {
  granting_process process;
  BOOST_TEST((process.grants.LatestLateEnd(kRange.keys) == kStarted + milliseconds(4080)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_target_whose_connection_broke)

BOOST_AUTO_TEST_CASE(are_not_granted_until_it_identifies_itself) {
  granting_process process;
  const grant_call call = process.Send(kStart);
  process.grants.OnOutcome(kStart, call,
                           {.result = grant_call_result::kUnknown, .connection_lost = true});
  BOOST_TEST(process.Due(kStart + seconds(1)).empty());
  process.grants.OnHeartbeat();
  BOOST_TEST(process.Due(kStart + seconds(1)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(are_forgotten_when_another_incarnation_reports) {
  granting_process process;
  const grant_call call = process.Send(kStart);
  process.grants.OnIncarnationEnded();
  process.grants.OnOutcome(kStart, call, Outcome(grant_call_result::kDone));
  BOOST_TEST(!process.Relies(kStart));
  BOOST_TEST(process.Due(kStart).empty());
}

BOOST_AUTO_TEST_SUITE_END()

// A fence that one incarnation has seen must not reach another one, and a heartbeat that was sent
// before a restart does not tell them apart.
BOOST_AUTO_TEST_SUITE(in_another_session_of_the_target)

grant_call_outcome DoneIn(uint64_t session) {
  return {.result = grant_call_result::kDone, .session = session};
}

BOOST_AUTO_TEST_CASE(are_not_granted_under_the_same_fence) {
  granting_process process;
  const grant_call first = process.Send(kStart);
  BOOST_TEST(first.session == 0U);
  process.grants.OnOutcome(kStart, first, DoneIn(1));
  const instant renewed = kStart + milliseconds(2100);
  const grant_call renewal = process.Send(renewed);
  BOOST_TEST(renewal.session == 1U);
  BOOST_TEST(!process.grants.MayBelongToOther(kRange.fence));
  process.grants.OnOutcome(renewed, renewal,
                           {.result = grant_call_result::kNotDone, .session = 2, .withheld = true});
  BOOST_TEST(process.grants.MayBelongToOther(kRange.fence));
  process.grants.OnHeartbeat();
  BOOST_TEST(process.Due(renewed + milliseconds(500)).empty());

  BOOST_TEST_CONTEXT("but under a new one, and stay relied on meanwhile") {
    process.permitted[0].fence = 8;
    const grant_call again = process.Send(renewed + milliseconds(500));
    BOOST_TEST(again.session == 0U);
    BOOST_TEST(process.Relies(renewed + milliseconds(500)));
    process.grants.OnOutcome(renewed + milliseconds(510), again, DoneIn(2));
    BOOST_TEST(!process.grants.MayBelongToOther(8));
  }
}

BOOST_AUTO_TEST_CASE(are_not_granted_although_the_last_call_was_not_answered) {
  granting_process process;
  const grant_call lost = process.Send(kStart);
  process.grants.OnOutcome(kStart, lost, {.result = grant_call_result::kUnknown, .session = 1});
  BOOST_TEST(process.Send(kStart + milliseconds(100)).session == 1U);
}

BOOST_AUTO_TEST_CASE(are_granted_when_no_call_under_their_fence_was_sent) {
  granting_process process;
  const grant_call refused = process.Send(kStart);
  process.grants.OnOutcome(kStart, refused, Outcome(grant_call_result::kNotDone));
  BOOST_TEST(process.Send(kStart + milliseconds(100)).session == 0U);
}

BOOST_AUTO_TEST_CASE(wait_for_the_first_call_under_their_fence_before_a_part_is_granted) {
  granting_process process;
  const grant_call whole = process.Send(kStart);
  process.permitted = {{{100, 139}, 7, "handover"}};
  BOOST_TEST(process.Due(kStart + milliseconds(100)).empty());
  process.grants.OnOutcome(kStart + milliseconds(200), whole, DoneIn(3));
  const auto due = process.Due(kStart + milliseconds(200));
  BOOST_REQUIRE_EQUAL(due.size(), 1U);
  BOOST_TEST(due[0].session == 3U);
}

BOOST_AUTO_TEST_CASE(that_an_earlier_process_granted_are_not_granted_under_the_same_fence) {
  granting_process process;
  process.grants.OnFencesInherited(kRange.fence + 1);
  BOOST_TEST(process.Due(kStart).empty());
  BOOST_TEST(process.grants.MayBelongToOther(kRange.fence));
  process.permitted[0].fence = kRange.fence + 1;
  BOOST_TEST(process.Due(kStart).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(of_which_a_part_is_released_stay_granted_for_the_rest) {
  granting_process process;
  process.grants.OnOutcome(kStart, process.Send(kStart), Outcome(grant_call_result::kDone));
  process.permitted = {{{100, 139}, 7, "handover"}, {{160, 199}, 7, "handover"}};
  BOOST_TEST(process.Due(kStart + milliseconds(10)).empty());
  BOOST_TEST(process.grants.Find(kStart + milliseconds(10), 120) != nullptr);
  BOOST_TEST(!process.Relies(kStart + milliseconds(10)));
}

BOOST_AUTO_TEST_CASE(that_a_target_refuses_for_a_higher_fence_are_not_relied_on) {
  granting_process process;
  const grant_call call = process.Send(kStart);
  process.grants.OnOutcome(kStart, call, Outcome(grant_call_result::kHigherFence));
  BOOST_TEST(process.grants.HigherFenceSeen(7));
  BOOST_TEST(!process.Relies(kStart));
  BOOST_TEST(process.Due(kStart + milliseconds(100)).empty());
}

BOOST_AUTO_TEST_CASE(that_a_target_says_it_does_not_hold_are_granted_again_at_once) {
  granting_process process;
  process.grants.OnOutcome(kStart, process.Send(kStart), Outcome(grant_call_result::kDone));
  process.grants.OnNotHeld(kStart + milliseconds(500), 150);
  BOOST_TEST(!process.Relies(kStart + milliseconds(510)));
  const grant_call again = process.Send(kStart + milliseconds(510));
  process.grants.OnOutcome(kStart + milliseconds(520), again, Outcome(grant_call_result::kDone));
  BOOST_TEST(process.Relies(kStart + milliseconds(520)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
