// Rules that hold for every picker, the costs of the scored picker, and the load record that
// pickers read.
#include "target_picker.h"

#include <boost/mpl/list.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "target_load.h"

namespace bulrushway::test {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart{std::chrono::seconds(100)};

using all_pickers = boost::mpl::list<random_picker, round_robin_picker, least_requests_picker,
                                     two_choices_picker, marginal_utility_picker, scored_picker>;

std::vector<target_view> Views(size_t count) { return std::vector<target_view>(count); }

}  // namespace

BOOST_AUTO_TEST_SUITE(target_pickers)

BOOST_AUTO_TEST_SUITE(every_policy)

BOOST_AUTO_TEST_CASE_TEMPLATE(never_chooses_a_draining_or_tried_target, Picker, all_pickers) {
  Picker picker;
  std::mt19937_64 rng(1);
  std::vector<target_view> views = Views(9);
  for (size_t i = 0; i < 8; ++i) (i % 2 == 0 ? views[i].draining : views[i].tried) = true;
  for (int i = 0; i < 200; ++i) BOOST_TEST(picker.Pick(kStart, views, rng).value_or(0) == 8U);
}

BOOST_AUTO_TEST_CASE_TEMPLATE(says_so_when_no_target_is_left, Picker, all_pickers) {
  Picker picker;
  std::mt19937_64 rng(1);
  std::vector<target_view> views = Views(3);
  for (target_view& view : views) view.draining = true;
  BOOST_TEST(!picker.Pick(kStart, views, rng).has_value());
  BOOST_TEST(!picker.Pick(kStart, {}, rng).has_value());
}

BOOST_AUTO_TEST_CASE_TEMPLATE(uses_all_of_many_equal_targets, Picker, all_pickers) {
  Picker picker;
  std::mt19937_64 rng(1);
  const std::vector<target_view> views = Views(40);
  std::vector<int> chosen(40);
  for (int i = 0; i < 4000; ++i) ++chosen.at(picker.Pick(kStart, views, rng).value());
  for (const int count : chosen) BOOST_TEST(count > 50);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_scored_policy)

BOOST_AUTO_TEST_CASE(avoids_a_target_whose_oldest_request_does_not_return) {
  std::vector<target_view> views = Views(4);
  for (target_view& view : views) view.latency = milliseconds(4);
  for (target_view& view : views) view.last_finished = kStart;
  views[1].in_flight = 1;
  views[1].oldest_start = kStart - milliseconds(40);
  scored_picker picker;
  std::mt19937_64 rng(1);
  for (int i = 0; i < 100; ++i) BOOST_TEST(picker.Pick(kStart, views, rng).value() != 1U);
}

BOOST_AUTO_TEST_CASE(avoids_a_target_that_fails_fast) {
  target_load failing;
  for (int i = 0; i < 5; ++i) {
    const request_ticket ticket = failing.Start(kStart);
    failing.Finish(ticket, request_outcome::kFailed, kStart + milliseconds(1));
  }
  target_view failing_view;
  failing.WriteTo(failing_view);
  target_view healthy;
  healthy.latency = milliseconds(4);
  healthy.last_finished = kStart;
  BOOST_TEST(scored_picker::Cost(failing_view, 9, kStart) >
             0.5 * scored_picker::Cost(healthy, 9, kStart));
  failing_view.latency = milliseconds(4);
  BOOST_TEST(scored_picker::Cost(failing_view, 9, kStart) >
             10 * scored_picker::Cost(healthy, 9, kStart));
}

BOOST_AUTO_TEST_CASE(tries_a_slow_target_again_after_a_while) {
  target_view slow;
  slow.latency = milliseconds(40);
  slow.last_finished = kStart;
  target_view usual = slow;
  usual.latency = milliseconds(4);
  const instant later = kStart + std::chrono::seconds(5);
  usual.last_finished = later;
  BOOST_TEST(scored_picker::Cost(slow, 9, kStart) > scored_picker::Cost(usual, 9, kStart));
  BOOST_TEST(scored_picker::Cost(slow, 9, later) < scored_picker::Cost(usual, 9, later));
}

BOOST_AUTO_TEST_CASE(does_not_explore_a_remote_target) {
  std::vector<target_view> views = Views(2);
  views[0].latency = milliseconds(6);
  views[0].last_finished = kStart;
  views[1].locality = target_locality::kRemote;
  scored_picker picker;
  std::mt19937_64 rng(1);
  BOOST_TEST(picker.Pick(kStart, views, rng).value() == 0U);
}

BOOST_AUTO_TEST_CASE(leaves_the_region_only_when_it_is_clearly_better) {
  std::vector<target_view> views = Views(4);
  for (target_view& view : views) view.last_finished = kStart;
  views[0].latency = views[1].latency = milliseconds(60);
  views[2].latency = views[3].latency = milliseconds(44);
  views[2].locality = views[3].locality = target_locality::kRemote;
  scored_picker picker;
  std::mt19937_64 rng(1);
  BOOST_TEST(picker.Pick(kStart, views, rng).value() <= 1U);
  views[0].latency = views[1].latency = milliseconds(200);
  BOOST_TEST(picker.Pick(kStart, views, rng).value() >= 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_bookkeeping)

BOOST_AUTO_TEST_CASE(knows_the_oldest_request_under_way) {
  target_load load;
  const request_ticket first = load.Start(kStart);
  load.Start(kStart + milliseconds(5));
  target_view view;
  load.WriteTo(view);
  BOOST_TEST((view.oldest_start == kStart));
  load.Finish(first, request_outcome::kAnswered, kStart + milliseconds(8));
  load.Finish(first, request_outcome::kFailed, kStart + milliseconds(9));
  load.WriteTo(view);
  BOOST_TEST((view.oldest_start == kStart + milliseconds(5)));
  BOOST_TEST(view.in_flight == 1U);
  BOOST_TEST((view.latency == milliseconds(8)));
  BOOST_TEST(view.error_share == 0.0);
}

BOOST_AUTO_TEST_CASE(takes_the_age_of_a_withdrawn_request_as_a_lower_bound) {
  target_load load;
  load.Finish(load.Start(kStart), request_outcome::kAnswered, kStart + milliseconds(10));
  load.Finish(load.Start(kStart), request_outcome::kCancelled, kStart + milliseconds(2));
  target_view view;
  load.WriteTo(view);
  BOOST_TEST((view.latency == milliseconds(10)));
  load.Finish(load.Start(kStart), request_outcome::kCancelled, kStart + milliseconds(100));
  load.WriteTo(view);
  BOOST_TEST((view.latency > milliseconds(30)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
