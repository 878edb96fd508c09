#ifndef BULRUSHWAY_TARGET_SIMULATION_H
#define BULRUSHWAY_TARGET_SIMULATION_H

// A simulated target with a queue in front of it, for tests of the number of requests that it
// handles well.

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "concurrency_limiter.h"
#include "slot_queue.h"

namespace bulrushway::target_simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr instant kStart = instant{} + std::chrono::hours(1);
inline constexpr uint32_t kSlots = 12;
enum class policy { kFixed, kPerfect, kAdaptive };

// A simulated target and the load on it. Times are functions of the time since the start.
struct scenario {
  double per_second = 60;
  milliseconds work{100};
  double spread = 0.5;
  // Execution time at the target with few requests, relative to `work`.
  std::function<double(milliseconds)> slowness = [](milliseconds) { return 1; };
  // Number of requests beyond which each of them becomes slower.
  std::function<double(milliseconds)> knee = [](milliseconds) { return kSlots; };
  // Growth of the times beyond the knee; 1: the throughput stays the same.
  double power = 2;
  // Execution time on the machine, in percent of the average.
  std::function<uint32_t(milliseconds)> pace = [](milliseconds) { return 100; };
  // Share of requests of a second kind, which takes eight times as long.
  std::function<double(milliseconds)> long_share = [](milliseconds) { return 0; };
  // The target refuses a request beyond this number.
  uint32_t refuses_beyond = kSlots;
  // Requests sent within this time never end.
  std::function<bool(milliseconds)> hangs = [](milliseconds) { return false; };
  seconds length{60};
  uint64_t seed = 1;
};

struct outcome {
  size_t arrived = 0;
  size_t on_time = 0;
  size_t refused_by_target = 0;
  std::vector<double> times_ms;
  // Limits at the end of each 100 ms.
  std::vector<uint32_t> limits;

  double Share() const { return static_cast<double>(on_time) / static_cast<double>(arrived); }
  double P99() {
    if (times_ms.empty()) return 0;
    std::sort(times_ms.begin(), times_ms.end());
    return times_ms[times_ms.size() * 99 / 100];
  }
  uint32_t Limit(milliseconds at) const {
    return limits.at(static_cast<size_t>(at / milliseconds(100)) - 1);
  }
  uint32_t Lowest(milliseconds from, milliseconds to) const {
    return *std::min_element(limits.begin() + from / milliseconds(100),
                             limits.begin() + to / milliseconds(100));
  }
  uint32_t Highest(milliseconds from, milliseconds to) const {
    return *std::max_element(limits.begin() + from / milliseconds(100),
                             limits.begin() + to / milliseconds(100));
  }
};

struct running_request {
  slot_request request;
  instant sent;
  // Time of its execution that is left, at a target with few requests.
  double left_ms = 0;
  double expected_ms = 0;
  uint32_t running_at_start = 0;
};

class simulation {
 public:
  simulation(const scenario& load, policy how) : load_(load), how_(how), rng_(load.seed) {}

  outcome Run() {
    limiter_.SetSlots(kSlots);
    limiter_.OnIncarnation(kStart);
    for (passed_ = milliseconds{0}; passed_ < load_.length; ++passed_) Step(kStart + passed_);
    return std::move(result_);
  }

 private:
  void Step(instant now) {
    limiter_.Tick(now);
    queue_.SetSlots(Slots());
    Execute(now);
    queue_.Expire(now);
    if (std::uniform_real_distribution<double>(0, 1)(rng_) < load_.per_second / 1000) Arrive(now);
    while (const auto id = queue_.StartNext(now)) Send(now, *id);
    if (passed_.count() % 100 == 99) result_.limits.push_back(queue_.slots());
  }

  uint32_t Slots() const {
    const double knee = std::min<double>(load_.knee(passed_), load_.refuses_beyond);
    if (how_ == policy::kFixed) return kSlots;
    if (how_ == policy::kPerfect) return static_cast<uint32_t>(std::max(1.0, knee));
    return limiter_.limit();
  }

  void Arrive(instant now) {
    ++result_.arrived;
    const bool is_long =
        std::uniform_real_distribution<double>(0, 1)(rng_) < load_.long_share(passed_);
    const milliseconds work = load_.work * (is_long ? 8 : 1);
    // The size of each request is drawn here, so that all policies meet the same requests.
    std::lognormal_distribution<double> draw(-load_.spread * load_.spread / 2, load_.spread);
    const double size = draw(rng_);
    const slot_request request{next_++, 0, now + 8 * work, now + 4 * work, 3 * work, work};
    requests_[request.id] = {request, now, size * static_cast<double>(work.count()),
                             static_cast<double>(work.count()), 0};
    if (queue_.Arrive(now, request).action == slot_verdict::kind::kRun) Send(now, request.id);
  }

  void Send(instant now, uint64_t id) {
    running_request sent = requests_[id];
    requests_.erase(id);
    if (running_.size() >= load_.refuses_beyond) {
      ++result_.refused_by_target;
      queue_.Finish(now, std::chrono::nanoseconds{0});
      queue_.OnTargetFull(now);
      limiter_.OnRefused(now, static_cast<uint32_t>(running_.size()));
      return;
    }
    sent.sent = now;
    if (load_.hangs(passed_)) sent.left_ms = 1e9;
    sent.running_at_start = static_cast<uint32_t>(running_.size()) + 1;
    running_.push_back(sent);
  }

  void Execute(instant now) {
    const double over = std::max(1.0, static_cast<double>(running_.size()) / load_.knee(passed_));
    const double pace = load_.pace(passed_) / 100.0;
    const double done = 1 / (load_.slowness(passed_) * pace * std::pow(over, load_.power));
    for (size_t i = 0; i < running_.size();) {
      running_request& current = running_[i];
      current.left_ms -= done;
      const bool late = now >= current.request.deadline;
      if (current.left_ms > 0 && !late) {
        ++i;
        continue;
      }
      const running_request ended = current;
      const auto count = static_cast<uint32_t>(running_.size());
      running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
      if (ended.left_ms > 0) {
        queue_.Finish(now, std::chrono::nanoseconds{0});
        continue;
      }
      queue_.Finish(now, now - ended.sent);
      if (now <= ended.request.on_time_until) ++result_.on_time;
      result_.times_ms.push_back(
          std::chrono::duration<double, std::milli>(now - ended.sent).count());
      limiter_.OnAnswer(now,
                        {now - ended.sent, milliseconds(static_cast<int64_t>(ended.expected_ms)),
                         ended.running_at_start, count, load_.pace(passed_), ended.sent});
    }
  }

  scenario load_;
  policy how_;
  std::mt19937_64 rng_;
  slot_queue queue_;
  concurrency_limiter limiter_;
  milliseconds passed_{0};
  uint64_t next_ = 1;
  std::map<uint64_t, running_request> requests_;
  std::vector<running_request> running_;
  outcome result_;
};

inline outcome Play(const scenario& load, policy how) { return simulation(load, how).Run(); }

struct comparison {
  outcome fixed;
  outcome perfect;
  outcome adaptive;

  double OfPerfect() const {
    return static_cast<double>(adaptive.on_time) / static_cast<double>(perfect.on_time);
  }
};

}  // namespace bulrushway::target_simulation

#endif  // BULRUSHWAY_TARGET_SIMULATION_H
