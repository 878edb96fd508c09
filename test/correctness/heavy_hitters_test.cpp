// The hottest keys in constant memory.
#include "heavy_hitters.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace bulrushway::test {
namespace {

constexpr instant kStart{std::chrono::seconds(100)};

}  // namespace

BOOST_AUTO_TEST_SUITE(heavy_hitters_sketch)

BOOST_AUTO_TEST_CASE(finds_twenty_hot_keys_in_a_sea_of_cold_ones) {
  heavy_hitters sketch(256, std::chrono::seconds(10));
  std::mt19937_64 rng(5);
  std::uniform_int_distribution<int> hot(0, 19);
  std::uniform_int_distribution<int> cold(0, 1'000'000);
  std::bernoulli_distribution is_hot(0.3);
  for (int i = 0; i < 100'000; ++i) {
    const bool chosen = is_hot(rng);
    const std::string key = chosen ? "hot" + std::to_string(hot(rng)) : std::to_string(cold(rng));
    sketch.Record(key, kStart + i * std::chrono::microseconds(100));
  }
  const instant end = kStart + std::chrono::seconds(10);
  const auto top = sketch.Top(20, end);
  BOOST_REQUIRE(top.size() == 20U);
  for (const heavy_hitter& each : top) {
    BOOST_TEST(each.key.starts_with("hot"));
    BOOST_TEST(each.error <= sketch.Total(end) / 256);
    BOOST_TEST((each.count - each.error) / sketch.Total(end) < 0.02);
  }
}

BOOST_AUTO_TEST_CASE(lets_go_of_keys_that_have_cooled) {
  heavy_hitters sketch(16, std::chrono::seconds(1));
  for (int i = 0; i < 1000; ++i) sketch.Record("yesterday", kStart);
  const instant later = kStart + std::chrono::minutes(5);
  for (int i = 0; i < 5; ++i) sketch.Record("today", later);
  BOOST_TEST(sketch.Top(1, later).front().key == "today");
  BOOST_TEST(sketch.Total(later) < 5.1);
}

BOOST_AUTO_TEST_CASE(cuts_long_keys) {
  heavy_hitters sketch(4, std::chrono::seconds(1));
  sketch.Record(std::string(100'000, 'x'), kStart);
  BOOST_TEST(sketch.Top(1, kStart).front().key.size() == heavy_hitters::kLongestKey);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
