// When a late request is hedged.
#include "hedge_policy.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway::test {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart{std::chrono::seconds(100)};

struct service_with_hedges {
  void RecordAnswers(milliseconds latency, int count, instant now = kStart) {
    for (int i = 0; i < count; ++i) hedges.OnAnswer(latency, now);
  }
  hedge_policy hedges;
  retry_budget budget{1, 1000};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(hedges_of_late_requests, service_with_hedges)

BOOST_AUTO_TEST_CASE(wait_for_the_learned_quantile) {
  BOOST_TEST(!hedges.Delay(true).has_value());
  RecordAnswers(milliseconds(4), 980);
  RecordAnswers(milliseconds(20), 20, kStart + milliseconds(60));
  const auto delay = hedges.Delay(true);
  BOOST_REQUIRE(delay.has_value());
  BOOST_TEST((*delay >= milliseconds(4)));
  RecordAnswers(milliseconds(20), 1000, kStart + milliseconds(200));
  BOOST_TEST((*hedges.Delay(true) >= milliseconds(20)));
  BOOST_TEST((*hedges.Delay(true) <= milliseconds(22)));
}

BOOST_AUTO_TEST_CASE(are_not_for_requests_that_must_run_once) {
  RecordAnswers(milliseconds(4), 100);
  BOOST_TEST(!hedges.Delay(false).has_value());
}

BOOST_AUTO_TEST_CASE(stay_a_share_of_the_requests) {
  int sent = 0;
  for (int i = 0; i < 10'000; ++i) {
    hedges.OnRequest();
    if (hedges.TakeHedge(0, budget)) ++sent;
  }
  BOOST_TEST(sent <= 500);
  BOOST_TEST(sent >= 400);
}

BOOST_AUTO_TEST_CASE(are_bounded_for_each_request_and_by_the_budget_of_all_attempts) {
  BOOST_TEST(!hedges.TakeHedge(hedge_policy::kMaxHedges, budget));
  while (budget.Take()) {
  }
  BOOST_TEST(!hedges.TakeHedge(0, budget));
}

BOOST_AUTO_TEST_CASE(forget_old_latencies) {
  latency_quantile quantile{std::chrono::seconds(1)};
  for (int i = 0; i < 1000; ++i) quantile.Record(milliseconds(500), kStart);
  for (int i = 0; i < 100; ++i) quantile.Record(milliseconds(5), kStart + std::chrono::seconds(20));
  BOOST_TEST((quantile.Quantile(0.99).value() < milliseconds(6)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
