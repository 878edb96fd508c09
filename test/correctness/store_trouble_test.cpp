// The store turns calls away for some seconds. What all processes together ask of it meanwhile does
// not grow with their number, and they are back soon after it.

#include <boost/test/unit_test.hpp>
#include <memory>

#include "retry_backoff.h"
#include "small_node_fleet.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOutage{8000};

// Calls of one data centre in which each of `followers` asks until the outage ends, and none gets
// an answer.
size_t CallsOfDataCentre(size_t followers) {
  size_t calls = 0;
  for (size_t turn = 0; turn < followers; ++turn) {
    retry_backoff backoff(milliseconds(400), milliseconds(1600));
    for (milliseconds at = PauseAtTurn(backoff.OnFailure(), turn); at < kOutage;
         at += PauseAtTurn(backoff.OnFailure(), turn)) {
      ++calls;
    }
  }
  return calls;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_store_that_answers_nobody)

BOOST_AUTO_TEST_CASE(is_asked_in_turn_by_the_processes_of_a_data_centre) {
  // Machines a data centre in fleets of 15, 195 and 2,178.
  const size_t small = CallsOfDataCentre(3);
  const size_t large = CallsOfDataCentre(22);
  BOOST_TEST(small > 0U);
  BOOST_TEST(large <= 3 * small);
  BOOST_TEST(CallsOfDataCentre(242) == large);
}

BOOST_AUTO_TEST_CASE(is_asked_no_more_often_by_many_processes_than_by_a_few) {
  const auto calls_in_outage = [](int processes) {
    testing::small_node_fleet fleet;
    fleet.Configure(1);
    std::vector<testing::started_node*> nodes;
    for (int i = 0; i < processes; ++i) {
      const std::string name = "n" + std::string(1, static_cast<char>('a' + i));
      nodes.push_back(&fleet.Start(name));
    }
    BOOST_REQUIRE(fleet.Until([&] {
      return std::ranges::all_of(nodes, [](const auto* each) { return each->WasGiven(1); });
    }));
    fleet.Until([] { return false; }, milliseconds(1500));
    for (auto* each : nodes) *each->reaches_store = false;
    const size_t before = fleet.store().Calls();
    fleet.Until([] { return false; }, milliseconds(3000));
    const size_t calls = fleet.store().Calls() - before;
    for (auto* each : nodes) *each->reaches_store = true;
    fleet.Configure(2);
    BOOST_TEST(fleet.Until(
        [&] {
          return std::ranges::all_of(nodes, [](const auto* each) { return each->WasGiven(2); });
        },
        milliseconds(2500)));
    return calls;
  };
  const size_t few = calls_in_outage(3);
  const size_t many = calls_in_outage(12);
  BOOST_TEST_MESSAGE("calls of 3 and of 12 processes: " << few << ", " << many);
  BOOST_TEST(many <= 2 * few);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
