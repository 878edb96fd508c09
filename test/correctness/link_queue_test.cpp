// Large answers in front of a narrow link: which requests are run, which are refused at once.

#include "link_queue.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStart = instant{} + std::chrono::hours(1);
// 85% of a link of 13 Mbit/s.
constexpr double kLink = 1'380'000;
constexpr size_t kPhotos = 90'000;
constexpr milliseconds kWork{190};
constexpr milliseconds kTarget{800};
constexpr milliseconds kDeadline{2000};

large_answer_request Request(instant now) { return {now + kDeadline, now + kTarget, kWork}; }

struct outcome {
  size_t asked = 0;
  size_t on_time = 0;
  size_t late = 0;
  size_t refused = 0;
};

// Replays a busy key: requests for photo packs at `rate` a second reach an owner with 12 slots,
// whose link sends one answer after the other.
outcome ReplayBusyKey(double rate, bool refusing) {
  std::mt19937_64 rng(5);
  std::exponential_distribution<double> gap(rate);
  std::lognormal_distribution<double> spread(-0.18, 0.6);
  link_queue queue(kLink);
  queue.OnAnswer(kPhotos);
  struct answer {
    instant asked;
    instant ready;
    size_t bytes;
  };
  std::deque<answer> under_way;
  std::deque<answer> unsent;
  instant link_free = kStart;
  outcome result;
  instant now = kStart;
  while (now < kStart + seconds(20)) {
    now += std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(gap(rng)));
    ++result.asked;
    while (!under_way.empty() && under_way.front().ready <= now) {
      queue.OnAnswer(under_way.front().bytes);
      unsent.push_back(under_way.front());
      under_way.pop_front();
    }
    size_t waiting = 0;
    while (!unsent.empty()) {
      const answer& first = unsent.front();
      const auto sending = std::chrono::duration_cast<std::chrono::nanoseconds>(
          std::chrono::duration<double>(static_cast<double>(first.bytes) / kLink));
      const instant sent = std::max(link_free, first.ready) + sending;
      if (sent > now) break;
      link_free = sent;
      const auto took = sent - first.asked;
      if (took <= kTarget) {
        ++result.on_time;
      } else if (took <= kDeadline) {
        ++result.late;
      }
      unsent.pop_front();
    }
    for (const answer& one : unsent) waiting += one.bytes;
    constexpr size_t kSlots = 12;
    const bool refused =
        under_way.size() >= kSlots ||
        (refusing && queue.RefusalWait(now, Request(now), waiting, under_way.size()));
    if (refused) {
      ++result.refused;
      continue;
    }
    under_way.push_back({now, now + kWork, static_cast<size_t>(kPhotos * spread(rng))});
  }
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_large_answer)

BOOST_AUTO_TEST_CASE(is_run_while_the_link_has_room) {
  link_queue queue(kLink);
  queue.OnAnswer(kPhotos);
  BOOST_TEST(!queue.RefusalWait(kStart, Request(kStart), 0, 0).has_value());
  BOOST_TEST(!queue.RefusalWait(kStart, Request(kStart), 2 * kPhotos, 3).has_value());
}

BOOST_AUTO_TEST_CASE(is_refused_until_the_link_has_room) {
  link_queue queue(kLink);
  queue.OnAnswer(kPhotos);
  const auto wait = queue.RefusalWait(kStart, Request(kStart), 1'000'000, 6);
  BOOST_REQUIRE(wait.has_value());
  // 1.63 MB take 1,181 ms; 190 ms of them pass during the work.
  BOOST_TEST(wait->count() == 991);
}

BOOST_AUTO_TEST_CASE(waits_less_when_it_is_late_in_any_case) {
  link_queue queue(kLink);
  queue.OnAnswer(kPhotos);
  const large_answer_request late{kStart + milliseconds(1000), kStart, kWork};
  BOOST_TEST(!queue.RefusalWait(kStart, late, 3 * kPhotos, 1).has_value());
  BOOST_TEST(queue.RefusalWait(kStart, late, 4 * kPhotos, 3).has_value());
}

BOOST_AUTO_TEST_CASE(is_never_refused_for_a_link_of_unknown_speed) {
  link_queue queue(0);
  queue.OnAnswer(kPhotos);
  BOOST_TEST(!queue.RefusalWait(kStart, Request(kStart), 100'000'000, 100).has_value());
}

BOOST_AUTO_TEST_SUITE(for_a_key_that_is_busier_than_its_owners_link)

BOOST_AUTO_TEST_CASE(is_on_time_when_the_rest_is_refused_at_once) {
  // The link carries 15 packs a second; 40 are asked for.
  const outcome plain = ReplayBusyKey(40, false);
  const outcome refusing = ReplayBusyKey(40, true);
  BOOST_TEST_MESSAGE("on time " << plain.on_time << " -> " << refusing.on_time << ", late "
                                << plain.late << " -> " << refusing.late << " of "
                                << refusing.asked);
  const double carried = kLink / kPhotos * 20;
  BOOST_TEST(static_cast<double>(refusing.on_time) > 0.8 * carried);
  BOOST_TEST(static_cast<double>(plain.on_time) < 0.2 * carried);
}

BOOST_AUTO_TEST_CASE(is_not_refused_below_what_the_link_carries) {
  const outcome refusing = ReplayBusyKey(10, true);
  BOOST_TEST(static_cast<double>(refusing.refused) < 0.05 * static_cast<double>(refusing.asked));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
