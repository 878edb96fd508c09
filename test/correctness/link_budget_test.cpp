// Bytes counted for each paid link between regions, and the rate limit of spilled bytes.
#include "link_budget.h"

#include <boost/test/unit_test.hpp>

namespace bulrushway::test {
namespace {

constexpr instant kStart{std::chrono::seconds(100)};

}  // namespace

BOOST_AUTO_TEST_SUITE(link_budget_counts)

BOOST_AUTO_TEST_CASE(spilled_bytes_up_to_the_rate_one_way_per_link) {
  link_budget budget({1000, 500});
  BOOST_TEST(budget.TrySpill("ost", "west", 500, kStart));
  BOOST_TEST(!budget.TrySpill("ost", "west", 1, kStart));
  BOOST_TEST(budget.TrySpill("west", "ost", 500, kStart));
  BOOST_TEST(budget.TrySpill("ost", "west", 100, kStart + std::chrono::milliseconds(100)));
  const auto counts = budget.Counts();
  BOOST_TEST(counts.at({"ost", "west"}).spilled_bytes == 600U);
  BOOST_TEST(counts.at({"ost", "west"}).refused_spills == 1U);
}

BOOST_AUTO_TEST_CASE(what_has_to_be_sent_without_a_limit) {
  link_budget budget({1000, 500});
  budget.RecordBytes("ost", "west", 1'000'000);
  budget.RecordBytes("ost", "ost", 7);
  BOOST_TEST(budget.Counts().size() == 1U);
  BOOST_TEST(budget.Counts().at({"ost", "west"}).bytes == 1'000'000U);
  BOOST_TEST(budget.TrySpill("ost", "ost", 1'000'000, kStart));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
