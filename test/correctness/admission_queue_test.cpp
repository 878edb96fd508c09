// The admission queue of a target: deadline order, fairness between tenants, refusals and load
// shedding.
#include "admission_queue.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway::test {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart{std::chrono::seconds(100)};

// A queue with one slot, 10 ms for each request and a wait of at most 100 ms.
struct one_slot_queue {
  one_slot_queue() : queue({milliseconds(100), milliseconds(10)}) { queue.SetConcurrency(1); }

  push_result Push(queued_id id, milliseconds time_left, const char* tenant = "a",
                   double weight = 1, uint8_t priority = 0) {
    return queue.Push({id, tenant, weight, priority, kStart + time_left}, kStart);
  }
  queued_id PopId(instant now = kStart) { return queue.Pop(now).id.value_or(0); }

  admission_queue queue;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(admission_queue_decides)

BOOST_FIXTURE_TEST_SUITE(whose_turn_it_is, one_slot_queue)

BOOST_AUTO_TEST_CASE(the_earliest_deadline_goes_first) {
  Push(1, milliseconds(900));
  Push(2, milliseconds(300));
  Push(3, milliseconds(600));
  BOOST_TEST(PopId() == 2U);
  BOOST_TEST(PopId() == 3U);
  BOOST_TEST(PopId() == 1U);
  BOOST_TEST(PopId() == 0U);
}

BOOST_AUTO_TEST_CASE(tenants_take_turns_by_weight) {
  for (queued_id id = 1; id <= 4; ++id) Push(id, milliseconds(1000), "light", 1);
  for (queued_id id = 11; id <= 14; ++id) Push(id, milliseconds(1000), "heavy", 3);
  size_t heavy_count = 0;
  for (int i = 0; i < 4; ++i) heavy_count += PopId() > 10 ? 1 : 0;
  BOOST_TEST(heavy_count == 3U);
}

BOOST_AUTO_TEST_CASE(a_tenant_that_was_idle_has_saved_up_no_turns) {
  for (queued_id id = 1; id <= 6; ++id) Push(id, milliseconds(1000), "busy");
  for (int i = 0; i < 4; ++i) PopId();
  for (queued_id id = 11; id <= 16; ++id) Push(id, milliseconds(1000), "late");
  size_t late_count = 0;
  for (int i = 0; i < 4; ++i) late_count += PopId() > 10 ? 1 : 0;
  BOOST_TEST(late_count == 2U);
}

BOOST_AUTO_TEST_CASE(a_withdrawn_request_is_skipped) {
  Push(1, milliseconds(300));
  Push(2, milliseconds(400));
  BOOST_TEST(queue.Cancel(1));
  BOOST_TEST(!queue.Cancel(1));
  BOOST_TEST(PopId() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(who_is_refused, one_slot_queue)

BOOST_AUTO_TEST_CASE(a_request_that_cannot_be_answered_in_time) {
  for (queued_id id = 1; id <= 5; ++id) Push(id, milliseconds(500));
  const push_result too_late = Push(6, milliseconds(5));
  BOOST_REQUIRE(too_late.refused.has_value());
  BOOST_TEST((too_late.refused->reason == refusal_reason::kDeadlineTooShort));
  // Its deadline is earlier than those of the five queued requests, so it runs next and 30 ms
  // suffice.
  BOOST_TEST(!Push(7, milliseconds(30)).refused.has_value());
  BOOST_TEST(!Push(8, milliseconds(501)).refused.has_value());
  BOOST_TEST(Push(9, milliseconds(60)).expected_wait.count() > 0);
}

BOOST_AUTO_TEST_CASE(a_request_that_would_wait_longer_than_the_limit) {
  for (queued_id id = 1; id <= 11; ++id) BOOST_TEST(!Push(id, milliseconds(900)).refused);
  const push_result full = Push(12, milliseconds(900));
  BOOST_REQUIRE(full.refused.has_value());
  BOOST_TEST((full.refused->reason == refusal_reason::kQueueFull));
  BOOST_TEST((full.refused->retry_after == milliseconds(110)));
}

BOOST_AUTO_TEST_CASE(a_tenant_beyond_its_share_while_another_one_still_has_room) {
  Push(100, milliseconds(900), "small");
  push_result outcome;
  queued_id id = 1;
  while (!outcome.refused) outcome = Push(id++, milliseconds(900), "large");
  BOOST_TEST((outcome.refused->reason == refusal_reason::kTenantShare));
  BOOST_TEST(!Push(101, milliseconds(900), "small").refused.has_value());
}

BOOST_AUTO_TEST_CASE(the_lowest_priority_makes_room_for_a_higher_one) {
  for (queued_id id = 1; id <= 10; ++id) Push(id, milliseconds(900), "a", 1, 2);
  Push(11, milliseconds(900), "a", 1, 1);
  const push_result outcome = Push(12, milliseconds(900), "a", 1, 3);
  BOOST_REQUIRE(outcome.refused.has_value());
  BOOST_TEST(outcome.refused->id == 11U);
  BOOST_TEST(!queue.Cancel(11));
  BOOST_TEST(queue.Cancel(12));
}

BOOST_AUTO_TEST_CASE(a_request_whose_time_ran_out_in_the_queue) {
  Push(1, milliseconds(50));
  Push(2, milliseconds(500));
  const pop_result next = queue.Pop(kStart + milliseconds(49));
  BOOST_TEST(next.id.value_or(0) == 2U);
  BOOST_REQUIRE(next.expired.size() == 1U);
  BOOST_TEST(next.expired.front().id == 1U);
  BOOST_TEST((next.expired.front().reason == refusal_reason::kDeadlineTooShort));
}

BOOST_AUTO_TEST_CASE(a_request_whose_id_is_queued_already) {
  Push(1, milliseconds(500));
  const push_result duplicate = Push(1, milliseconds(500));
  BOOST_REQUIRE(duplicate.refused.has_value());
  BOOST_TEST((duplicate.refused->reason == refusal_reason::kInternal));
  BOOST_TEST(queue.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
