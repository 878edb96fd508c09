// A connection that works no more is noticed by the receipts that are missing, whatever the size of
// the fleet.

#include "link_watch.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);
constexpr milliseconds kRoundTrip{40};

struct watched_link {
  link_health After(milliseconds time, size_t in_flight = 1) const {
    return watch.Health(kStart + time, received, in_flight, kRoundTrip);
  }
  link_watch watch;
  instant received = kStart;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_connection)

BOOST_FIXTURE_TEST_SUITE(that_carries_a_request, watched_link)

BOOST_AUTO_TEST_CASE(is_avoided_and_then_replaced_when_no_receipt_arrives) {
  watch.OnSent(kStart, 1);
  BOOST_TEST((After(milliseconds(100)) == link_health::kWorking));
  BOOST_TEST((After(milliseconds(300)) == link_health::kSuspect));
  BOOST_TEST((After(milliseconds(500)) == link_health::kSilent));
}

BOOST_AUTO_TEST_CASE(is_kept_while_a_large_answer_arrives_before_the_receipt) {
  watch.OnSent(kStart, 1);
  received = kStart + milliseconds(450);
  BOOST_TEST((After(milliseconds(500)) == link_health::kWorking));
}

BOOST_AUTO_TEST_CASE(is_probed_when_the_request_takes_long) {
  watch.OnSent(kStart, 1);
  watch.OnReceipt(1);
  BOOST_TEST((After(milliseconds(400)) == link_health::kWorking));
  BOOST_TEST((After(milliseconds(600)) == link_health::kQuiet));
}

BOOST_AUTO_TEST_CASE(is_given_more_time_after_one_that_fell_silent) {
  watch.OnReplaced(true);
  watch.OnSent(kStart, 2);
  BOOST_TEST((After(milliseconds(700)) == link_health::kSuspect));
  BOOST_TEST((After(milliseconds(900)) == link_health::kSilent));
  watch.OnReceipt(2);
  watch.OnSent(kStart, 3);
  BOOST_TEST((After(milliseconds(500)) == link_health::kSilent));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(without_requests_may_be_quiet_for_as_long_as_it_likes, watched_link) {
  BOOST_TEST((After(std::chrono::minutes(1), 0) == link_health::kWorking));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
