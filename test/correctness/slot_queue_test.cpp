// The queue in front of a target: which request gets the next slot, which waits, which is refused.

#include "slot_queue.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using kind = slot_verdict::kind;

constexpr instant kStart = instant{} + std::chrono::hours(1);

slot_request Request(uint64_t id, uint32_t rank, milliseconds latency_target,
                     milliseconds deadline) {
  return {
      id, rank, kStart + deadline, kStart + latency_target, milliseconds(400), milliseconds(100)};
}

slot_request Request(uint64_t id) { return Request(id, 1, milliseconds(400), milliseconds(1000)); }

}  // namespace

BOOST_AUTO_TEST_SUITE(a_slot)

BOOST_AUTO_TEST_CASE(goes_to_a_request_at_once_while_one_is_free) {
  slot_queue queue;
  queue.SetSlots(2);
  BOOST_TEST((queue.Arrive(kStart, Request(1)).action == kind::kRun));
  BOOST_TEST((queue.Arrive(kStart, Request(2)).action == kind::kRun));
  BOOST_TEST((queue.Arrive(kStart, Request(3)).action == kind::kWait));
  queue.Finish(kStart + milliseconds(50), milliseconds(50));
  BOOST_TEST(queue.StartNext(kStart + milliseconds(50)).value() == 3U);
}

BOOST_AUTO_TEST_SUITE(that_is_free_again_goes)

BOOST_AUTO_TEST_CASE(to_the_most_urgent_rank_first) {
  slot_queue queue;
  queue.SetSlots(1);
  queue.Arrive(kStart, Request(1));
  queue.Arrive(kStart, Request(2, 2, milliseconds(400), milliseconds(500)));
  queue.Arrive(kStart, Request(3, 1, milliseconds(400), milliseconds(1000)));
  queue.Finish(kStart, milliseconds(10));
  BOOST_TEST(queue.StartNext(kStart).value() == 3U);
}

BOOST_AUTO_TEST_CASE(to_a_request_that_can_be_on_time_before_one_that_is_late_already) {
  slot_queue queue;
  queue.SetSlots(1);
  queue.Arrive(kStart, Request(1));
  queue.Arrive(kStart, Request(2, 1, milliseconds(50), milliseconds(900)));
  queue.Arrive(kStart, Request(3, 1, milliseconds(400), milliseconds(1000)));
  queue.Finish(kStart, milliseconds(10));
  BOOST_TEST(queue.StartNext(kStart).value() == 3U);
}

BOOST_AUTO_TEST_CASE(to_the_earlier_deadline_among_equals) {
  slot_queue queue;
  queue.SetSlots(1);
  queue.Arrive(kStart, Request(1));
  queue.Arrive(kStart, Request(2, 1, milliseconds(400), milliseconds(1000)));
  queue.Arrive(kStart, Request(3, 1, milliseconds(400), milliseconds(800)));
  queue.Finish(kStart, milliseconds(10));
  BOOST_TEST(queue.StartNext(kStart).value() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_refused_to_a_request)

BOOST_AUTO_TEST_CASE(that_would_wait_longer_than_its_max_wait) {
  slot_queue queue;
  queue.SetSlots(1);
  queue.Arrive(kStart, Request(1));
  slot_request short_wait = Request(2);
  short_wait.max_wait = milliseconds(20);
  const slot_verdict verdict = queue.Arrive(kStart, short_wait);
  BOOST_TEST((verdict.action == kind::kRefuse));
  BOOST_TEST((verdict.reason == refusal_reason::kQueueFull));
  BOOST_TEST(verdict.expected_wait.count() > 20);
}

BOOST_AUTO_TEST_CASE(whose_work_cannot_end_in_time_although_a_slot_is_free) {
  slot_queue queue;
  queue.SetSlots(1);
  const slot_verdict verdict =
      queue.Arrive(kStart, Request(1, 1, milliseconds(400), milliseconds(30)));
  BOOST_TEST((verdict.action == kind::kRefuse));
  BOOST_TEST((verdict.reason == refusal_reason::kDeadlineTooShort));
}

BOOST_AUTO_TEST_CASE(whose_max_wait_ended_in_the_queue) {
  slot_queue queue;
  queue.SetSlots(1);
  queue.Arrive(kStart, Request(1));
  queue.Arrive(kStart, Request(2));
  BOOST_TEST(queue.Expire(kStart + milliseconds(300)).empty());
  const auto expired = queue.Expire(kStart + milliseconds(450));
  BOOST_REQUIRE(expired.size() == 1U);
  BOOST_TEST(expired[0].id == 2U);
  BOOST_TEST(queue.Waiting() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(of_a_cold_target_is_given_at_its_configured_rate) {
  slot_queue queue;
  queue.SetSlots(12);
  queue.cold_bucket().Configure(kStart, 22, 3);
  queue.SetCold(kStart, true);
  int started = 0;
  uint64_t id = 0;
  for (int ms = 0; ms < 1000; ms += 5) {
    const instant now = kStart + milliseconds(ms);
    queue.Expire(now);
    slot_request request{++id,           1, now + seconds(1), now + seconds(1), milliseconds(0),
                         milliseconds(5)};
    if (queue.Arrive(now, request).action == kind::kRun) {
      ++started;
      queue.Finish(now, milliseconds(5));
    }
  }
  BOOST_TEST(started >= 22);
  BOOST_TEST(started <= 22 + 3 + 1);
}

BOOST_AUTO_TEST_CASE(is_not_offered_for_a_moment_after_the_target_said_that_it_is_full) {
  slot_queue queue;
  queue.SetSlots(4);
  queue.Arrive(kStart, Request(1));
  queue.Arrive(kStart, Request(2));
  queue.Finish(kStart, milliseconds(0));
  queue.OnTargetFull(kStart);
  BOOST_TEST((queue.Arrive(kStart, Request(3)).action == kind::kWait));
  BOOST_TEST(queue.StartNext(kStart + milliseconds(30)).value() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
