// Which callers may go on sending while memory is short. Guards against callers that together send
// more than a process can hold, and against rules that make ordinary callers pay for them.

#include "body_admission.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "memory_budget.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using holders = std::vector<body_admission::holder>;

constexpr size_t kMegabyte = 1 << 20;
constexpr size_t kLimit = 20 * kMegabyte;
constexpr instant kStart = instant{} + std::chrono::hours(1);

struct admission {
  admission() { bodies.SetLimit(kLimit); }
  body_admission::holder Caller(size_t index) { return &callers[index]; }
  bool Reserve(size_t index, size_t bytes, instant now = kStart, size_t others = 0) {
    return bodies.Reserve(now, Caller(index), bytes, others);
  }

  body_admission bodies;
  std::vector<char> callers = std::vector<char>(1000);
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_body_of_a_caller, admission)

BOOST_AUTO_TEST_CASE(waits_when_large_ones_fill_their_part_of_the_memory) {
  BOOST_TEST(Reserve(0, 8 * kMegabyte));
  BOOST_TEST(!Reserve(1, 8 * kMegabyte));
  BOOST_TEST(Reserve(2, 7 * kMegabyte));
  bodies.Remove(Caller(0));
  BOOST_TEST(Reserve(1, 8 * kMegabyte));
}

BOOST_AUTO_TEST_CASE(that_is_small_finds_room_beside_large_ones) {
  BOOST_TEST(Reserve(0, 15 * kMegabyte));
  for (size_t i = 1; i < 80; ++i) BOOST_TEST(Reserve(i, kSmallMessageBytes));
  for (size_t i = 80; i < 1000; ++i) Reserve(i, kSmallMessageBytes);
  BOOST_TEST(bodies.HeldBytes() <= kLimit);
}

BOOST_AUTO_TEST_CASE(is_accepted_alone_however_large) {
  BOOST_TEST(Reserve(0, 3 * kLimit));
  BOOST_TEST(!Reserve(1, kMegabyte));
}

BOOST_AUTO_TEST_CASE(waits_for_what_the_rest_of_the_process_holds) {
  BOOST_TEST(!Reserve(0, kMegabyte, kStart, 15 * kMegabyte));
  BOOST_TEST(Reserve(0, kMegabyte, kStart, 14 * kMegabyte));
}

BOOST_AUTO_TEST_CASE(in_flight_counts_until_it_is_answered) {
  BOOST_TEST(Reserve(0, 15 * kMegabyte));
  bodies.OnComplete(Caller(0), 15 * kMegabyte);
  BOOST_TEST(!Reserve(1, kMegabyte));
  bodies.OnAnswered(Caller(0), 15 * kMegabyte);
  BOOST_TEST(bodies.HeldBytes() == 0U);
  BOOST_TEST(Reserve(1, kMegabyte));
}

BOOST_AUTO_TEST_SUITE(that_makes_no_progress)

BOOST_AUTO_TEST_CASE(gives_way_to_one_that_waits_the_largest_and_longest_first) {
  BOOST_TEST(Reserve(0, 5 * kMegabyte));
  BOOST_TEST(Reserve(1, 9 * kMegabyte));
  BOOST_TEST(Reserve(2, kMegabyte));
  const instant later = kStart + seconds(1);
  BOOST_TEST(bodies.GiveWay(later, 0).empty());
  BOOST_TEST(!Reserve(3, 4 * kMegabyte, later));
  BOOST_TEST((bodies.GiveWay(later, 0) == holders{Caller(1)}));
}

BOOST_AUTO_TEST_CASE(stays_while_it_arrives_or_is_in_flight) {
  BOOST_TEST(Reserve(0, 7 * kMegabyte));
  BOOST_TEST(Reserve(1, 7 * kMegabyte));
  bodies.OnComplete(Caller(1), 7 * kMegabyte);
  const instant later = kStart + seconds(1);
  bodies.OnProgress(later, Caller(0));
  BOOST_TEST(!Reserve(2, 7 * kMegabyte, later));
  BOOST_TEST(bodies.GiveWay(later, 0).empty());
}

BOOST_AUTO_TEST_CASE(gives_way_when_many_small_ones_fill_the_memory) {
  for (size_t i = 0; i < 999; ++i) Reserve(i, kSmallMessageBytes);
  const instant later = kStart + seconds(1);
  BOOST_TEST(!Reserve(999, kSmallMessageBytes, later));
  BOOST_TEST(!bodies.GiveWay(later, 0).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(that_holds_memory_and_waits_gives_way_to_another_one) {
  BOOST_TEST(Reserve(0, 7 * kMegabyte));
  BOOST_TEST(Reserve(1, 7 * kMegabyte));
  BOOST_TEST(!Reserve(0, 9 * kMegabyte));
  BOOST_TEST(!Reserve(1, 9 * kMegabyte, kStart + milliseconds(1)));
  const instant later = kStart + seconds(1);
  BOOST_TEST((bodies.GiveWay(later, 0) == holders{Caller(1)}));
  BOOST_TEST((bodies.Overdue(kStart + seconds(4), seconds(3)) == holders{Caller(0)}));
}

BOOST_AUTO_TEST_CASE(that_waited_too_long_is_overdue) {
  BOOST_TEST(Reserve(0, 15 * kMegabyte));
  BOOST_TEST(!Reserve(1, kMegabyte));
  BOOST_TEST(bodies.Overdue(kStart + seconds(3), seconds(3)).empty());
  BOOST_TEST((bodies.Overdue(kStart + milliseconds(3001), seconds(3)) == holders{Caller(1)}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
