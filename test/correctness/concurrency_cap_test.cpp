// The concurrency cap of a target rises while the target warms up, and drops when the target turns
// cold or is overloaded.
#include "concurrency_cap.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace bulrushway::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr instant kStart{std::chrono::seconds(100)};
constexpr milliseconds kAnswerTime{4};

// A target under full load. It can run two requests at once at its start and one more after each
// `warming_interval`, up to 12.
struct loaded_target {
  explicit loaded_target(milliseconds warming_time) : warming_interval(warming_time) {}

  uint32_t Capacity() const {
    return std::min<uint32_t>(12, 2 + static_cast<uint32_t>((now - started) / warming_interval));
  }

  // Keeps as many requests in flight as the cap allows; the target sheds load above its capacity.
  void Run(milliseconds duration) {
    for (const instant end = now + duration; now < end; now += kAnswerTime) {
      const uint32_t in_flight = cap.limit();
      max_overrun = std::max(max_overrun, in_flight > Capacity() ? in_flight - Capacity() : 0);
      if (in_flight > Capacity()) {
        ++sheds;
        cap.OnShed(now);
        continue;
      }
      for (uint32_t i = 0; i < in_flight; ++i) cap.OnAnswer(kAnswerTime, in_flight, now);
    }
  }

  milliseconds warming_interval;
  instant started = kStart;
  instant now = kStart;
  concurrency_cap cap{concurrency_settings{}};
  uint32_t max_overrun = 0;
  int sheds = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(concurrency_cap_follows_the_target)

BOOST_AUTO_TEST_SUITE(rising)

BOOST_AUTO_TEST_CASE(a_target_that_warms_in_time_is_never_overrun_and_reaches_its_slots) {
  loaded_target target(milliseconds(200));
  BOOST_TEST(target.cap.limit() == 2U);
  target.Run(milliseconds(3000));
  BOOST_TEST(target.max_overrun == 0U);
  BOOST_TEST(target.cap.limit() == 12U);
  BOOST_TEST(!target.cap.cold());
}

BOOST_AUTO_TEST_CASE(a_target_that_warms_slowly_is_overrun_by_one_at_most_and_seldom) {
  loaded_target target(milliseconds(2000));
  target.Run(milliseconds(30000));
  BOOST_TEST(target.max_overrun <= 1U);
  BOOST_TEST(target.sheds <= 30);
  BOOST_TEST(target.cap.limit() >= 11U);
}

BOOST_AUTO_TEST_CASE(an_idle_target_gives_no_evidence) {
  concurrency_cap cap{concurrency_settings{}};
  for (int i = 0; i < 1000; ++i) cap.OnAnswer(kAnswerTime, 1, kStart + i * milliseconds(10));
  BOOST_TEST(cap.limit() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(falling)

struct warm_target : loaded_target {
  warm_target() : loaded_target(milliseconds(1)) {
    Run(milliseconds(3000));
    BOOST_REQUIRE(cap.limit() == 12U);
  }
};

BOOST_FIXTURE_TEST_CASE(another_boot_is_a_cold_start, warm_target) {
  cap.OnBootId("one", now);
  BOOST_TEST(cap.limit() == 12U);
  cap.OnBootId("one", now);
  BOOST_TEST(cap.limit() == 12U);
  cap.OnBootId("two", now);
  BOOST_TEST(cap.limit() == 2U);
  BOOST_TEST(cap.cold());
}

BOOST_FIXTURE_TEST_CASE(a_lost_connection_is_a_cold_start, warm_target) {
  cap.OnConnectionLost(now);
  BOOST_TEST(cap.limit() == 2U);
}

BOOST_FIXTURE_TEST_CASE(shed_work_halves_the_cap_once_for_one_cause, warm_target) {
  cap.OnShed(now);
  cap.OnShed(now + milliseconds(1));
  BOOST_TEST(cap.limit() == 6U);
}

BOOST_FIXTURE_TEST_CASE(a_caller_in_a_hurry_does_not_lower_the_cap, warm_target) {
  cap.OnTimeout(kAnswerTime / 2, now);
  BOOST_TEST(cap.limit() == 12U);
}

BOOST_FIXTURE_TEST_CASE(timeouts_in_a_row_lower_the_cap_and_single_ones_do_not, warm_target) {
  for (int i = 0; i < 10; ++i) {
    cap.OnTimeout(20 * kAnswerTime, now);
    cap.OnTimeout(20 * kAnswerTime, now);
    BOOST_TEST(cap.limit() == 12U);
    cap.OnAnswer(kAnswerTime, 1, now);
  }
  cap.OnTimeout(20 * kAnswerTime, now);
  cap.OnTimeout(20 * kAnswerTime, now);
  cap.OnTimeout(20 * kAnswerTime, now);
  BOOST_TEST(cap.limit() == 6U);
}

BOOST_FIXTURE_TEST_CASE(a_slow_first_answer_after_a_pause_is_a_cold_start, warm_target) {
  cap.OnAnswer(kAnswerTime, 1, now + std::chrono::seconds(5));
  BOOST_TEST(cap.limit() == 12U);
  cap.OnAnswer(10 * kAnswerTime, 1, now + std::chrono::seconds(10));
  BOOST_TEST(cap.limit() == 2U);
}

BOOST_FIXTURE_TEST_CASE(latency_that_grows_with_the_load_lowers_the_cap, warm_target) {
  for (int i = 0; i < 200; ++i) {
    cap.OnAnswer(8 * kAnswerTime, cap.limit(), now + i * milliseconds(10));
  }
  BOOST_TEST(cap.limit() <= 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
