// Room for urgent requests at a target whose slots are taken by long ones of low urgency. Without
// it, an urgent request waits for a slot until its latency target has passed, and the work that
// waits for its answer is lost.

#include "slot_reserve.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "slot_queue.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);
constexpr uint32_t kSlots = 6;
constexpr uint32_t kUrgent = 0;
constexpr uint32_t kLong = 2;
constexpr milliseconds kUrgentWork{55};
constexpr milliseconds kLongWork{550};

struct served {
  size_t arrived = 0;
  size_t on_time = 0;
  double Share() const { return static_cast<double>(on_time) / static_cast<double>(arrived); }
};

// Requests at one target: urgent ones that are late after 200 ms, and long ones that are late after
// 3 s, at random times. Returns what became of them, by rank.
std::map<uint32_t, served> Play(bool urgent_room, double urgent_per_second,
                                double long_per_second) {
  slot_queue queue;
  queue.SetSlots(kSlots);
  queue.EnableUrgentRoom(urgent_room);
  std::mt19937_64 rng(1);
  std::uniform_real_distribution<double> draw(0, 1);
  std::map<uint32_t, served> result;
  std::map<uint64_t, slot_request> requests;
  std::multimap<instant, uint64_t> running;
  uint64_t next = 1;
  const auto start = [&](instant now, uint64_t id) {
    const slot_request& request = requests[id];
    if (now + request.expected_work <= request.on_time_until) ++result[request.rank].on_time;
    running.emplace(now + request.expected_work, id);
  };
  for (milliseconds passed{0}; passed < seconds(60); ++passed) {
    const instant now = kStart + passed;
    const auto arrive = [&](uint32_t rank, milliseconds work, milliseconds target,
                            milliseconds deadline) {
      ++result[rank].arrived;
      const slot_request request{next++, rank, now + deadline, now + target, deadline / 2, work};
      requests[request.id] = request;
      if (queue.Arrive(now, request).action == slot_verdict::kind::kRun) start(now, request.id);
    };
    if (draw(rng) < urgent_per_second / 1000) {
      arrive(kUrgent, kUrgentWork, milliseconds(200), milliseconds(600));
    }
    if (draw(rng) < long_per_second / 1000) arrive(kLong, kLongWork, seconds(3), seconds(4));
    while (!running.empty() && running.begin()->first <= now) {
      const slot_request& ended = requests[running.begin()->second];
      queue.Finish(now, ended.expected_work, ended.rank);
      running.erase(running.begin());
    }
    queue.Expire(now);
    while (const auto id = queue.StartNext(now)) start(now, *id);
  }
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(room_for_urgent_requests)

BOOST_AUTO_TEST_CASE(is_kept_while_long_requests_would_take_all_slots) {
  auto without = Play(false, 12, 20);
  auto with = Play(true, 12, 20);
  BOOST_TEST_MESSAGE("urgent on time: " << without[kUrgent].Share() << " without, "
                                        << with[kUrgent].Share() << " with; long: "
                                        << without[kLong].Share() << ", " << with[kLong].Share());
  BOOST_TEST(without[kUrgent].Share() < 0.9);
  BOOST_TEST(with[kUrgent].Share() > 0.98);
  // A kind that is served less than a quarter as often as the others counts as starved.
  BOOST_TEST(with[kLong].Share() > with[kUrgent].Share() / 4);
}

BOOST_AUTO_TEST_CASE(costs_long_requests_nothing_while_there_are_no_urgent_ones) {
  auto without = Play(false, 0, 9);
  auto with = Play(true, 0, 9);
  BOOST_TEST(without[kLong].on_time == with[kLong].on_time);
}

BOOST_AUTO_TEST_CASE(is_released_when_the_urgent_ones_stop) {
  slot_reserve reserve;
  const reserve_request long_one{kLong, kLongWork, seconds(2)};
  for (int i = 0; i < 100; ++i) {
    reserve.OnArrival(kStart + milliseconds(20) * i, {kUrgent, kUrgentWork, milliseconds(145)});
  }
  const instant stopped = kStart + seconds(2);
  BOOST_TEST(reserve.ReservedFrom(stopped, long_one, kSlots) >= 3U);
  BOOST_TEST(reserve.ReservedFrom(stopped + seconds(2), long_one, kSlots) <= 1U);
  BOOST_TEST(reserve.ReservedFrom(stopped + seconds(6), long_one, kSlots) == 0U);
}

BOOST_AUTO_TEST_CASE(leaves_a_slot_to_each_rank_and_is_not_kept_from_short_or_more_urgent_ones) {
  slot_reserve reserve;
  for (int i = 0; i < 1000; ++i) {
    reserve.OnArrival(kStart + milliseconds(i), {1, kUrgentWork, milliseconds(145)});
  }
  const instant now = kStart + seconds(1);
  BOOST_TEST(reserve.ReservedFrom(now, {kLong, kLongWork, {}}, kSlots) == kSlots - 1);
  BOOST_TEST(reserve.ReservedFrom(now, {kLong, kLongWork, {}}, 1) == 0U);
  BOOST_TEST(reserve.ReservedFrom(now, {kLong, milliseconds(100), {}}, kSlots) == 0U);
  BOOST_TEST(reserve.ReservedFrom(now, {1, kLongWork, {}}, kSlots) == 0U);
  BOOST_TEST(reserve.ReservedFrom(now, {kUrgent, kLongWork, {}}, kSlots) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
