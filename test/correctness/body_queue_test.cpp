// When peers may send the large bodies of requests to a target behind a narrow link.

#include "body_queue.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);
// 10 Mbit/s: a body of 60 kB takes 48 ms.
constexpr double kNarrowLink = 1'250'000;
constexpr size_t kBody = 60'000;

body_request Upload(uint64_t id, instant now, size_t bytes = kBody) {
  return {id, bytes, now + milliseconds(3000), now + milliseconds(1200), milliseconds(210)};
}

// The link of a target's machine: what peers send to it at once queues up in front of it.
class narrow_link {
 public:
  // Returns when a message that is sent now arrives.
  instant Send(instant now, double bytes) {
    const std::chrono::duration<double> transfer(bytes / kNarrowLink);
    free_at_ =
        std::max(free_at_, now) + std::chrono::duration_cast<std::chrono::nanoseconds>(transfer);
    return free_at_;
  }

 private:
  instant free_at_{};
};

// Uploads that arrive in bursts with a mean of 12 a second, and a small call every 20 ms, for 60
// seconds. Returns the longest time that a call takes to arrive.
milliseconds LongestCall(bool with_permits) {
  std::mt19937_64 rng(7);
  std::uniform_int_distribution<int> burst(0, 11);
  narrow_link link;
  body_queue queue(kNarrowLink);
  std::deque<std::pair<instant, uint64_t>> arrivals;
  uint64_t next_id = 1;
  milliseconds longest{0};
  for (instant now = kStart; now < kStart + seconds(60); now += milliseconds(20)) {
    while (!arrivals.empty() && arrivals.front().first <= now) {
      queue.Remove(arrivals.front().second);
      arrivals.pop_front();
    }
    // Once a second, up to 23 callers send at the same time.
    const bool burst_now = (now - kStart) % seconds(1) == milliseconds(0);
    const int uploads = burst_now ? burst(rng) + burst(rng) : 0;
    for (int i = 0; i < uploads; ++i) {
      if (with_permits) {
        queue.Arrive(now, Upload(next_id++, now));
      } else {
        link.Send(now, kBody);
      }
    }
    while (const auto id = queue.PermitNext(now)) {
      arrivals.emplace_back(link.Send(now, kBody), *id);
    }
    const auto call = link.Send(now, 500) - now;
    longest = std::max(longest, std::chrono::duration_cast<milliseconds>(call));
  }
  return longest;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(bodies_for_a_target_behind_a_narrow_link)

BOOST_AUTO_TEST_CASE(are_sent_one_after_the_other) {
  body_queue queue(kNarrowLink);
  for (uint64_t id = 1; id <= 4; ++id) BOOST_TEST(!queue.Arrive(kStart, Upload(id, kStart)));
  BOOST_TEST((queue.PermitNext(kStart) == 1U));
  BOOST_TEST((queue.PermitNext(kStart) == 2U));
  BOOST_TEST((queue.PermitNext(kStart) == std::nullopt));
  BOOST_TEST((queue.ExpectedWait() == milliseconds(240)));

  BOOST_TEST_CONTEXT("the next when one has arrived, or will not come") {
    queue.Remove(1);
    BOOST_TEST((queue.PermitNext(kStart) == 3U));
  }
  BOOST_TEST_CONTEXT("none for a request that was withdrawn") {
    queue.Remove(4);
    queue.Remove(2);
    BOOST_TEST((queue.PermitNext(kStart) == std::nullopt));
  }
}

BOOST_AUTO_TEST_CASE(that_can_be_on_time_go_before_those_that_cannot) {
  body_queue queue(kNarrowLink);
  body_request late = Upload(1, kStart);
  late.on_time_until = kStart;
  BOOST_TEST(!queue.Arrive(kStart, late));
  BOOST_TEST(!queue.Arrive(kStart, Upload(2, kStart)));
  BOOST_TEST((queue.PermitNext(kStart) == 2U));
}

BOOST_AUTO_TEST_CASE(that_would_be_late_are_refused_before_a_byte_is_sent) {
  body_queue queue(kNarrowLink);
  uint64_t admitted = 0;
  while (!queue.Arrive(kStart, Upload(admitted + 1, kStart))) ++admitted;
  // 990 ms are left for the link.
  BOOST_TEST(admitted == 20U);

  BOOST_TEST_CONTEXT("and those that waited too long when it shows") {
    const instant too_late = kStart + milliseconds(2800);
    BOOST_TEST(queue.Expire(too_late).size() == 20U);
    BOOST_TEST(queue.Waiting() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(are_sent_at_once_where_the_link_is_not_known) {
  body_queue queue(0);
  for (uint64_t id = 1; id <= 50; ++id) {
    BOOST_TEST(!queue.Arrive(kStart, Upload(id, kStart)));
    BOOST_TEST((queue.PermitNext(kStart) == id));
  }
}

BOOST_AUTO_TEST_CASE(hold_up_small_calls_by_two_of_them_at_most) {
  BOOST_TEST(LongestCall(false).count() > 500);
  BOOST_TEST(LongestCall(true).count() <= 110);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
