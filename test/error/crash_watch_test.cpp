// Which requests are suspected of having crashed a target.

#include "crash_watch.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);

}  // namespace

BOOST_AUTO_TEST_SUITE(requests_at_a_target_that_crashed)

BOOST_AUTO_TEST_CASE(are_those_that_broke_off_together_shortly_before) {
  crash_watch watch;
  watch.OnConnectionLost(kStart, {1, {}});
  watch.OnConnectionLost(kStart + seconds(2), {2, {}});
  watch.OnConnectionLost(kStart + milliseconds(2010), {3, {}});
  const auto suspects = watch.TakeSuspects(kStart + seconds(3));
  BOOST_REQUIRE(suspects.size() == 2U);
  BOOST_TEST(suspects[0].fingerprint == 2U);
  BOOST_TEST(suspects[1].fingerprint == 3U);

  BOOST_TEST_CONTEXT("and are suspected once for each crash") {
    BOOST_TEST(watch.TakeSuspects(kStart + seconds(3)).empty());
  }
}

BOOST_AUTO_TEST_CASE(are_none_when_nothing_broke_off_lately) {
  crash_watch watch;
  watch.OnConnectionLost(kStart, {1, {}});
  BOOST_TEST(watch.TakeSuspects(kStart + seconds(20)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
