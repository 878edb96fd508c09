// Large answers over a narrow link: which requests run and which are refused at once.

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
constexpr double kLinkBytesPerSecond = 1'380'000;
constexpr size_t kPhotoPackBytes = 90'000;
constexpr milliseconds kWorkTime{190};
constexpr milliseconds kLatencyTarget{800};
constexpr milliseconds kDeadline{2000};

large_answer_request Request(instant now) {
  return {now + kDeadline, now + kLatencyTarget, kWorkTime};
}

struct replay_result {
  size_t requests = 0;
  size_t on_time = 0;
  size_t late = 0;
  size_t refused = 0;
};

// Replays a busy key for 20 s: requests for photo packs arrive at `rate` per second at an owner
// with 12 slots, whose link sends one answer after the other.
replay_result ReplayBusyKey(double rate, bool refuse_late) {
  std::mt19937_64 rng(5);
  std::exponential_distribution<double> arrival_gap(rate);
  std::lognormal_distribution<double> size_factor(-0.18, 0.6);
  link_queue queue(kLinkBytesPerSecond);
  queue.OnAnswer(kPhotoPackBytes);
  struct answer {
    instant requested_at;
    instant ready_at;
    size_t bytes;
  };
  std::deque<answer> running;
  std::deque<answer> unsent;
  instant link_free_at = kStart;
  replay_result result;
  instant now = kStart;
  while (now < kStart + seconds(20)) {
    now +=
        std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(arrival_gap(rng)));
    ++result.requests;
    while (!running.empty() && running.front().ready_at <= now) {
      queue.OnAnswer(running.front().bytes);
      unsent.push_back(running.front());
      running.pop_front();
    }
    size_t unsent_bytes = 0;
    while (!unsent.empty()) {
      const answer& first = unsent.front();
      const auto sending = std::chrono::duration_cast<std::chrono::nanoseconds>(
          std::chrono::duration<double>(static_cast<double>(first.bytes) / kLinkBytesPerSecond));
      const instant sent = std::max(link_free_at, first.ready_at) + sending;
      if (sent > now) break;
      link_free_at = sent;
      const auto latency = sent - first.requested_at;
      if (latency <= kLatencyTarget) {
        ++result.on_time;
      } else if (latency <= kDeadline) {
        ++result.late;
      }
      unsent.pop_front();
    }
    for (const answer& item : unsent) unsent_bytes += item.bytes;
    constexpr size_t kSlots = 12;
    const bool refused =
        running.size() >= kSlots ||
        (refuse_late && queue.RefusalWait(now, Request(now), unsent_bytes, running.size()));
    if (refused) {
      ++result.refused;
      continue;
    }
    running.push_back(
        {now, now + kWorkTime, static_cast<size_t>(kPhotoPackBytes * size_factor(rng))});
  }
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_large_answer)

BOOST_AUTO_TEST_CASE(is_run_while_the_link_has_room) {
  link_queue queue(kLinkBytesPerSecond);
  queue.OnAnswer(kPhotoPackBytes);
  BOOST_TEST(!queue.RefusalWait(kStart, Request(kStart), 0, 0).has_value());
  BOOST_TEST(!queue.RefusalWait(kStart, Request(kStart), 2 * kPhotoPackBytes, 3).has_value());
}

BOOST_AUTO_TEST_CASE(is_refused_until_the_link_has_room) {
  link_queue queue(kLinkBytesPerSecond);
  queue.OnAnswer(kPhotoPackBytes);
  const auto wait = queue.RefusalWait(kStart, Request(kStart), 1'000'000, 6);
  BOOST_REQUIRE(wait.has_value());
  // Sending 1.63 MB takes 1,181 ms; 190 ms of them pass while the request runs.
  BOOST_TEST(wait->count() == 991);
}

BOOST_AUTO_TEST_CASE(waits_less_when_it_is_late_in_any_case) {
  link_queue queue(kLinkBytesPerSecond);
  queue.OnAnswer(kPhotoPackBytes);
  const large_answer_request late{kStart + milliseconds(1000), kStart, kWorkTime};
  BOOST_TEST(!queue.RefusalWait(kStart, late, 3 * kPhotoPackBytes, 1).has_value());
  BOOST_TEST(queue.RefusalWait(kStart, late, 4 * kPhotoPackBytes, 3).has_value());
}

BOOST_AUTO_TEST_CASE(is_never_refused_for_a_link_of_unknown_speed) {
  link_queue queue(0);
  queue.OnAnswer(kPhotoPackBytes);
  BOOST_TEST(!queue.RefusalWait(kStart, Request(kStart), 100'000'000, 100).has_value());
}

BOOST_AUTO_TEST_SUITE(for_a_key_that_is_busier_than_its_owners_link)

BOOST_AUTO_TEST_CASE(is_on_time_when_the_rest_is_refused_at_once) {
  // The link carries 15 packs per second; callers request 40.
  const replay_result without_refusals = ReplayBusyKey(40, false);
  const replay_result with_refusals = ReplayBusyKey(40, true);
  BOOST_TEST_MESSAGE("on time " << without_refusals.on_time << " -> " << with_refusals.on_time
                                << ", late " << without_refusals.late << " -> "
                                << with_refusals.late << " of " << with_refusals.requests);
  const double link_capacity = kLinkBytesPerSecond / kPhotoPackBytes * 20;
  BOOST_TEST(static_cast<double>(with_refusals.on_time) > 0.8 * link_capacity);
  BOOST_TEST(static_cast<double>(without_refusals.on_time) < 0.2 * link_capacity);
}

BOOST_AUTO_TEST_CASE(is_not_refused_below_what_the_link_carries) {
  const replay_result with_refusals = ReplayBusyKey(10, true);
  BOOST_TEST(static_cast<double>(with_refusals.refused) <
             0.05 * static_cast<double>(with_refusals.requests));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
