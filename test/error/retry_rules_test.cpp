// Which failures are retried, and that retries do not multiply the load when all targets fail.
#include "retry_rules.h"

#include <boost/test/unit_test.hpp>

#include "hedge_policy.h"

namespace bulrushway::test {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart{std::chrono::seconds(100)};

struct retry_fixture {
  retry_decision Decide(refusal_reason reason, run_state state, retry_context context = {}) {
    if (context.deadline == instant{}) context.deadline = kStart + std::chrono::seconds(5);
    return DecideRetry({reason, state, milliseconds(0)}, context, budget, kStart, rng);
  }

  std::mt19937_64 rng{1};
  retry_budget budget = retry_budget::ForExtraAttempts();
};

constexpr retry_context kIdempotent{true, false, 1, {}, {}};
constexpr retry_context kNotIdempotent{false, false, 1, {}, {}};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(retry_rules, retry_fixture)

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(no_reason_makes_a_request_with_unknown_outcome_run_again) {
  for (int i = 0; i < static_cast<int>(refusal_reason::kCount); ++i) {
    const auto reason = static_cast<refusal_reason>(i);
    BOOST_TEST(
        (Decide(reason, run_state::kUnknown, kNotIdempotent).action == retry_action::kGiveUp));
  }
}

BOOST_AUTO_TEST_CASE(a_request_that_was_not_run_goes_elsewhere) {
  const retry_decision decision =
      Decide(refusal_reason::kTargetShed, run_state::kNotRun, kNotIdempotent);
  BOOST_TEST((decision.action == retry_action::kRetryElsewhere));
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_repeated_after_a_lost_answer) {
  const retry_decision decision =
      Decide(refusal_reason::kAnswerLost, run_state::kUnknown, kIdempotent);
  BOOST_TEST((decision.action == retry_action::kRetryElsewhere));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(giving_up)

BOOST_AUTO_TEST_CASE(what_every_process_would_refuse_is_final_without_a_hint) {
  for (const auto reason : {refusal_reason::kBadRequest, refusal_reason::kHomeRegion,
                            refusal_reason::kQuarantined, refusal_reason::kOutcomeForgotten}) {
    const retry_decision decision = Decide(reason, run_state::kNotRun, kIdempotent);
    BOOST_TEST((decision.action == retry_action::kGiveUp));
    BOOST_TEST(decision.retry_after.count() == 0);
  }
}

BOOST_AUTO_TEST_CASE(an_attempt_that_cannot_end_in_time_is_not_made) {
  retry_context near_deadline = kIdempotent;
  near_deadline.deadline = kStart + milliseconds(10);
  near_deadline.typical_latency = milliseconds(11);
  const retry_decision decision =
      Decide(refusal_reason::kTargetShed, run_state::kNotRun, near_deadline);
  BOOST_TEST((decision.action == retry_action::kGiveUp));
  BOOST_TEST(decision.retry_after.count() > 0);
}

BOOST_AUTO_TEST_CASE(a_request_present_at_two_crashes_is_not_sent_to_a_third_target) {
  retry_context after_two_attempts = kIdempotent;
  after_two_attempts.attempts = 2;
  BOOST_TEST((Decide(refusal_reason::kTargetCrashed, run_state::kUnknown, kIdempotent).action !=
              retry_action::kGiveUp));
  BOOST_TEST(
      (Decide(refusal_reason::kTargetCrashed, run_state::kUnknown, after_two_attempts).action ==
       retry_action::kGiveUp));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_refusal_for_the_request_itself_does_not_blame_the_target) {
  for (const auto reason : {refusal_reason::kQuarantined, refusal_reason::kTenantShare,
                            refusal_reason::kBadRequest, refusal_reason::kDeadlineTooShort}) {
    BOOST_TEST(!CountsAgainstTarget(reason));
  }
  for (const auto reason : {refusal_reason::kTargetShed, refusal_reason::kColdStart,
                            refusal_reason::kTargetCrashed, refusal_reason::kDeadlinePassed}) {
    BOOST_TEST(CountsAgainstTarget(reason));
  }
}

BOOST_AUTO_TEST_SUITE(waiting_for_an_owner)

BOOST_AUTO_TEST_CASE(a_new_owner_is_asked_at_once_and_then_with_growing_pauses) {
  retry_context context = kNotIdempotent;
  context.sole_owner = true;
  const auto first = Decide(refusal_reason::kNotOwner, run_state::kNotRun, context);
  BOOST_TEST((first.action == retry_action::kRetryLater));
  BOOST_TEST(first.delay.count() == 0);
  context.attempts = 3;
  const auto third = Decide(refusal_reason::kMoving, run_state::kNotRun, context);
  BOOST_TEST((third.delay >= milliseconds(20)));
  BOOST_TEST((third.delay <= milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(waiting_outlasts_the_loss_of_an_owner_but_not_the_deadline) {
  retry_context context = kNotIdempotent;
  context.sole_owner = true;
  context.deadline = kStart + std::chrono::seconds(60);
  std::chrono::nanoseconds waited{0};
  for (;;) {
    const auto decision = Decide(refusal_reason::kNoOwner, run_state::kNotRun, context);
    if (decision.action == retry_action::kGiveUp) break;
    waited += decision.delay;
    ++context.attempts;
  }
  BOOST_TEST((waited >= std::chrono::seconds(2)));
  BOOST_TEST((waited <= std::chrono::seconds(5)));
  context.attempts = 5;
  context.deadline = kStart + milliseconds(70);
  BOOST_TEST((Decide(refusal_reason::kNoOwner, run_state::kNotRun, context).action ==
              retry_action::kGiveUp));
}

BOOST_AUTO_TEST_CASE(the_budget_of_the_targets_is_not_spent_on_requests_that_reached_none) {
  while (budget.Take()) {
  }
  BOOST_TEST((Decide(refusal_reason::kMoving, run_state::kNotRun, kNotIdempotent).action ==
              retry_action::kRetryLater));
  const auto shed = Decide(refusal_reason::kTargetShed, run_state::kNotRun, kNotIdempotent);
  BOOST_TEST((shed.action == retry_action::kGiveUp));
  BOOST_TEST(shed.budget_exhausted);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_all_targets_fail)

BOOST_AUTO_TEST_CASE(retries_and_hedges_together_add_less_than_a_tenth) {
  constexpr size_t kRequests = 2000;
  hedge_policy hedges;
  size_t attempts = 0;
  for (size_t i = 0; i < kRequests; ++i) {
    budget.OnRequest();
    hedges.OnRequest();
    retry_context context = kIdempotent;
    ++attempts;
    if (hedges.TakeHedge(0, budget)) ++attempts;
    while (Decide(refusal_reason::kTargetUnreachable, run_state::kNotRun, context).action !=
           retry_action::kGiveUp) {
      ++attempts;
      ++context.attempts;
    }
  }
  BOOST_TEST(attempts <= kRequests * 11 / 10);
  BOOST_TEST(attempts > kRequests);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
