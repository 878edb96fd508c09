// Adjacent hot keys: half of the requests are for a two-hundredth of the keys, all at one owner of
// six. Balancing by request rate brings the load of the busiest owner near the mean. Balancing by
// the number of keys, the simpler rule, moves nothing.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "range_spread.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);
constexpr uint32_t kBusyFirst = 20'000;
constexpr uint32_t kBusyWidth = 320;
constexpr int kRequests = 4000;

std::vector<range_owner> SixOwners() {
  std::vector<range_owner> owners;
  for (int i = 0; i < 6; ++i) owners.push_back({"n" + std::to_string(i), {"t", i}});
  return owners;
}

uint32_t DrawKey(std::mt19937_64& rng) {
  std::uniform_real_distribution<double> share(0, 1);
  if (share(rng) < 0.5) {
    return kBusyFirst + std::uniform_int_distribution<uint32_t>(0, kBusyWidth - 1)(rng);
  }
  return std::uniform_int_distribution<uint32_t>(0, kLastKey)(rng);
}

// Share of the requests that the busiest owner receives.
double BusiestShare(const key_map& map) {
  std::mt19937_64 rng(3);
  std::map<std::string, int> counts;
  for (int i = 0; i < kRequests; ++i) ++counts[map.Find(DrawKey(rng))->owner.node];
  int max_count = 0;
  for (const auto& [node, count] : counts) max_count = std::max(max_count, count);
  return static_cast<double>(max_count) / kRequests;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(an_owner_of_busy_keys)

BOOST_AUTO_TEST_CASE(is_relieved_by_the_rate_of_requests_and_not_by_the_number_of_keys) {
  const std::vector<range_owner> owners = SixOwners();
  key_map map = AssignEvenly(owners, 1);
  const range_owner busiest = map.Find(kBusyFirst)->owner;
  BOOST_TEST(BusiestShare(map) > 0.5);
  BOOST_TEST(!ChooseBalancingMove(map, busiest, owners).has_value());

  key_rates rates;
  std::mt19937_64 rng(1);
  std::vector<key_range> own_ranges;
  for (const owned_range& range : map.ranges) {
    if (range.owner == busiest) own_ranges.push_back(range.keys);
  }
  instant now = kStart;
  for (int i = 0; i < kRequests; ++i) {
    now += milliseconds(1);
    const uint32_t key = DrawKey(rng);
    if (map.Find(key)->owner == busiest) rates.RecordRequest(now, key);
  }
  // The load above the mean is divided over the five others, each of which has a twelfth of the
  // requests.
  const double surplus = rates.TotalRate(now) * (1 - 1.0 / 6 / 0.583);
  std::vector<load_receiver> receivers;
  for (const range_owner& owner : owners) {
    if (owner != busiest) receivers.push_back({owner, surplus / 5});
  }
  const auto moves = PlanRelief(now, own_ranges, rates, receivers);
  BOOST_TEST(moves.size() >= 4U);
  for (const key_move& move : moves) Reassign(map, move.keys, move.new_owner, "handover");
  BOOST_TEST_MESSAGE("busiest owner after relief: " << BusiestShare(map));
  // With an even balance the share is a sixth.
  BOOST_TEST(BusiestShare(map) < 0.26);

  BOOST_TEST_CONTEXT("and all keys still have one owner, under rising fences") {
    uint32_t next = 0;
    for (const owned_range& range : map.ranges) {
      BOOST_TEST(range.keys.first == next);
      next = range.keys.last + 1;
    }
    BOOST_TEST(DecodeKeyMap(EncodeKeyMap(map)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(is_forgotten_when_its_keys_are_no_longer_asked_for) {
  key_rates rates;
  for (int i = 0; i < 200; ++i) rates.RecordRequest(kStart + milliseconds(5 * i), 7);
  const instant last_request = kStart + milliseconds(1000);
  BOOST_TEST(rates.Rate(last_request, {0, 15}) > 60);
  BOOST_TEST(rates.Rate(last_request + std::chrono::seconds(5), {0, 15}) < 10);
  BOOST_TEST(rates.Rate(last_request, {16, 31}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
