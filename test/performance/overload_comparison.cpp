// Goodput of one target behind the admission queue at one, two and five times its capacity.
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "admission_queue.h"

namespace bulrushway::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr nanoseconds kServiceTime = milliseconds(3);
constexpr uint32_t kSlots = 12;
constexpr nanoseconds kDuration = std::chrono::seconds(4);

struct arrival {
  instant time;
  nanoseconds run{0};
  instant deadline;
  std::string tenant;
};

// Distribution of the callers' timeouts: spread over a range, or a few short ones among long ones.
enum class timeout_mix { kUniform, kBimodal };

milliseconds DrawTimeout(timeout_mix mix, std::mt19937_64& rng) {
  std::uniform_int_distribution<int64_t> spread(20, 200);
  std::bernoulli_distribution short_timeout(0.3);
  if (mix == timeout_mix::kUniform) return milliseconds(spread(rng));
  return milliseconds(short_timeout(rng) ? 12 : 1000);
}

// Tenant "large" sends nine of ten requests.
std::vector<arrival> RecordArrivals(double load, timeout_mix mix = timeout_mix::kUniform) {
  std::mt19937_64 rng(7);
  std::exponential_distribution<double> gap(load * kSlots /
                                            static_cast<double>(kServiceTime.count()));
  std::bernoulli_distribution large(0.9);
  // Mean 1.
  std::lognormal_distribution<double> spread(-0.08, 0.4);
  std::vector<arrival> arrivals;
  for (double time = gap(rng); time < static_cast<double>(kDuration.count()); time += gap(rng)) {
    const instant at{nanoseconds(static_cast<int64_t>(time))};
    const milliseconds timeout = DrawTimeout(mix, rng);
    const double run = static_cast<double>(kServiceTime.count()) * spread(rng);
    arrivals.push_back(
        {at, nanoseconds(static_cast<int64_t>(run)), at + timeout, large(rng) ? "large" : "small"});
  }
  return arrivals;
}

// FIFO queue without a bound or deadlines.
class unbounded_queue {
 public:
  void Push(queued_id id, const arrival&, instant) { waiting_.push_back(id); }
  std::optional<queued_id> Pop(instant) {
    if (waiting_.empty()) return std::nullopt;
    const queued_id id = waiting_.front();
    waiting_.pop_front();
    return id;
  }

 private:
  std::deque<queued_id> waiting_;
};

// FIFO queue that refuses requests that would miss their deadline or wait for more than 100 ms.
class bounded_queue {
 public:
  void Push(queued_id id, const arrival& request, instant now) {
    const nanoseconds wait = kServiceTime * static_cast<int64_t>(waiting_.size()) / kSlots;
    const bool late = now + wait + kServiceTime > request.deadline;
    if (!late && wait <= milliseconds(100)) waiting_.push_back({id, request.deadline});
  }
  std::optional<queued_id> Pop(instant now) {
    while (!waiting_.empty()) {
      const auto [id, deadline] = waiting_.front();
      waiting_.pop_front();
      if (now + kServiceTime <= deadline) return id;
    }
    return std::nullopt;
  }

 private:
  std::deque<std::pair<queued_id, instant>> waiting_;
};

class admission_queue_adapter {
 public:
  admission_queue_adapter() : queue_({milliseconds(100), kServiceTime}) {
    queue_.SetConcurrency(kSlots);
  }
  void Push(queued_id id, const arrival& request, instant now) {
    queue_.Push({id, request.tenant, 1, 0, request.deadline}, now);
  }
  std::optional<queued_id> Pop(instant now) { return queue_.Pop(now).id; }

 private:
  admission_queue queue_;
};

// Replays the arrivals; returns the number of requests answered in time, by tenant.
template <class Queue>
std::map<std::string, double> Replay(const std::vector<arrival>& arrivals) {
  Queue queue;
  std::multimap<instant, queued_id> running;
  std::map<std::string, double> on_time;
  const auto start_waiting = [&](instant now) {
    while (running.size() < kSlots) {
      const auto next = queue.Pop(now);
      if (!next) return;
      running.emplace(now + arrivals[*next].run, *next);
    }
  };
  const auto finish_until = [&](instant now) {
    while (!running.empty() && running.begin()->first <= now) {
      const auto [time, id] = *running.begin();
      running.erase(running.begin());
      if (time <= arrivals[id].deadline) on_time[arrivals[id].tenant] += 1;
      start_waiting(time);
    }
  };
  for (size_t i = 0; i < arrivals.size(); ++i) {
    finish_until(arrivals[i].time);
    queue.Push(i, arrivals[i], arrivals[i].time);
    start_waiting(arrivals[i].time);
  }
  finish_until(instant(kDuration));
  return on_time;
}

double Sum(const std::map<std::string, double>& on_time) {
  double sum = 0;
  for (const auto& [tenant, count] : on_time) sum += count;
  return sum;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(goodput_under_overload)

BOOST_AUTO_TEST_CASE(answers_in_time_stay_near_those_of_full_load) {
  const double full = Sum(Replay<admission_queue_adapter>(RecordArrivals(1)));
  std::printf("\nanswers in time relative to full load behind the admission queue\n");
  for (const double load : {1.0, 2.0, 5.0}) {
    const std::vector<arrival> arrivals = RecordArrivals(load);
    const double admitted = Sum(Replay<admission_queue_adapter>(arrivals)) / full;
    const double unbounded = Sum(Replay<unbounded_queue>(arrivals)) / full;
    auto bounded = Replay<bounded_queue>(arrivals);
    auto admitted_by_tenant = Replay<admission_queue_adapter>(arrivals);
    std::printf(
        "offered %.0fx: unbounded FIFO %.2f, bounded FIFO %.2f (small tenant %.0f), "
        "admission queue %.2f (small tenant %.0f)\n",
        load, unbounded, Sum(bounded) / full, bounded["small"], admitted,
        admitted_by_tenant["small"]);
    BOOST_TEST(admitted >= 0.9);
    BOOST_TEST(admitted >= unbounded);
  }
}

BOOST_AUTO_TEST_CASE(hurried_callers_are_served_at_full_load_without_harm_to_the_patient) {
  const std::vector<arrival> arrivals = RecordArrivals(1, timeout_mix::kBimodal);
  const auto offered = static_cast<double>(arrivals.size());
  const double bounded = 1 - Sum(Replay<bounded_queue>(arrivals)) / offered;
  const double admitted = 1 - Sum(Replay<admission_queue_adapter>(arrivals)) / offered;
  std::printf(
      "without an answer in time, 3 of 10 callers with a short timeout: "
      "bounded FIFO %.2f%%, admission queue %.2f%%\n",
      100 * bounded, 100 * admitted);
  BOOST_TEST(admitted <= 0.5 * bounded);
}

BOOST_AUTO_TEST_CASE(a_small_tenant_is_served_whole_beside_one_that_floods) {
  const std::vector<arrival> arrivals = RecordArrivals(5);
  double offered = 0;
  for (const arrival& each : arrivals) offered += each.tenant == "small" ? 1 : 0;
  // A tenth of five times the capacity is half of the capacity, the tenant's fair share.
  BOOST_TEST(Replay<admission_queue_adapter>(arrivals)["small"] >= 0.9 * offered);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway::test
