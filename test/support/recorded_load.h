#ifndef BULRUSHWAY_RECORDED_LOAD_H
#define BULRUSHWAY_RECORDED_LOAD_H

// Generates a load and replays it against simulated target queues, so that policies are compared on
// the same requests. Messages and process failures are not simulated.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

#include "clock.h"
#include "hedge_policy.h"
#include "retry_budget.h"
#include "target_load.h"
#include "target_picker.h"

namespace bulrushway::test {

using std::chrono::nanoseconds;

/// A request: its arrival time, the process that receives it, and the run times of its first
/// attempt and of any hedge.
struct recorded_request {
  instant arrival;
  size_t entry = 0;
  nanoseconds first_run{0};
  nanoseconds second_run{0};
};

/// Parameters of a load.
struct load_shape {
  size_t targets = 9;
  /// Slots of each target.
  std::vector<size_t> slots = std::vector<size_t>(9, 12);
  /// Targets i and j are in the same region if i / region_size == j / region_size.
  size_t region_size = 9;
  /// Offered load as a share of the capacity of all slots.
  double utilization = 0.6;
  std::chrono::milliseconds mean_run{3};
  std::chrono::milliseconds length{3500};
  uint64_t seed = 1;
};

inline std::vector<recorded_request> RecordLoad(const load_shape& shape) {
  std::mt19937_64 rng(shape.seed);
  constexpr double kSpread = 0.4;
  const double mean = std::chrono::duration<double, std::nano>(shape.mean_run).count();
  const double slots =
      static_cast<double>(std::accumulate(shape.slots.begin(), shape.slots.end(), size_t{0}));
  std::exponential_distribution<double> gap(shape.utilization * slots / mean);
  std::lognormal_distribution<double> run(std::log(mean) - kSpread * kSpread / 2, kSpread);
  std::uniform_int_distribution<size_t> entry(0, shape.targets - 1);
  std::vector<recorded_request> load;
  double time = 0;
  const double end = std::chrono::duration<double, std::nano>(shape.length).count();
  while ((time += gap(rng)) < end) {
    recorded_request request;
    request.arrival = instant(nanoseconds(static_cast<int64_t>(time)));
    request.entry = entry(rng);
    request.first_run = nanoseconds(static_cast<int64_t>(run(rng)));
    request.second_run = nanoseconds(static_cast<int64_t>(run(rng)));
    load.push_back(request);
  }
  return load;
}

/// Fault of the slowed targets from kFaultOnset on.
enum class fault_kind { kNone, kSlow3, kSlow10, kFrozen, kFlapping };

constexpr std::chrono::seconds kFaultOnset{1};

struct fault_plan {
  fault_kind kind = fault_kind::kNone;
  size_t slowed = 0;
  /// Distance between the indices of two slowed targets.
  size_t stride = 1;

  bool Affects(size_t target) const { return target % stride == 0 && target / stride < slowed; }
};

/// Multiplier of the run time of an attempt that starts at `now`.
inline double SlowFactor(const fault_plan& plan, size_t target, instant now) {
  constexpr std::chrono::milliseconds kFlapPeriod{500};
  constexpr std::chrono::milliseconds kFlapLength{100};
  constexpr double kForever = 1e6;
  if (!plan.Affects(target) || now < instant(kFaultOnset)) return 1;
  const nanoseconds phase = (now.time_since_epoch() + target * kFlapPeriod / 3) % kFlapPeriod;
  switch (plan.kind) {
    case fault_kind::kNone:
      return 1;
    case fault_kind::kSlow3:
      return 3;
    case fault_kind::kSlow10:
      return 10;
    case fault_kind::kFrozen:
      return kForever;
    case fault_kind::kFlapping:
      return phase < kFlapLength ? 10 : 1;
  }
  return 1;
}

/// Latencies and counts of a replay, from kFaultOnset on; hedges are counted from the start.
struct replay_result {
  std::vector<nanoseconds> latencies;
  size_t timed_out = 0;
  size_t hedges = 0;

  nanoseconds Quantile(double share) {
    const auto rank = static_cast<ptrdiff_t>(share * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + rank, latencies.end());
    return latencies[static_cast<size_t>(rank)];
  }
  double HedgeShare() const {
    return static_cast<double>(hedges) / static_cast<double>(latencies.size());
  }
};

/// Replays a load, with one picker per process.
template <target_picker Picker>
class load_replay {
 public:
  load_replay(const load_shape& shape, const fault_plan& plan, Picker picker, bool hedged)
      : shape_(shape), plan_(plan), hedged_(hedged), queues_(shape.targets) {
    for (size_t i = 0; i < shape.targets; ++i) AddEntry(i, picker);
  }

  replay_result Run(const std::vector<recorded_request>& load) {
    requests_ = &load;
    states_.assign(load.size(), {});
    for (size_t i = 0; i < load.size(); ++i) Schedule(load[i].arrival, event_kind::kArrival, i);
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.time;
      Handle(next);
    }
    return result_;
  }

 private:
  static constexpr std::chrono::microseconds kIntraRegionDelay{1500};
  static constexpr std::chrono::milliseconds kInterRegionDelay{20};
  static constexpr std::chrono::milliseconds kDeadline{500};

  enum class event_kind { kArrival, kHedge, kDeadline, kAtTarget, kRunEnd, kAnswer };
  struct event {
    instant time;
    uint64_t order;
    event_kind kind;
    size_t index;
    bool operator>(const event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  struct attempt {
    size_t request = 0;
    size_t target = 0;
    size_t view_index = 0;
    nanoseconds run{0};
    request_ticket ticket = 0;
    bool running = false;
    bool ended = false;
  };
  struct request_state {
    bool done = false;
    std::vector<size_t> attempts;
  };
  struct target_queue {
    size_t running = 0;
    std::deque<size_t> waiting;
  };
  struct entry_process {
    Picker picker;
    /// Targets, those of the own region first; loads and views have the same order.
    std::vector<size_t> targets;
    std::vector<target_load> loads;
    std::vector<target_view> views;
    hedge_policy hedges;
    retry_budget extra_attempts = retry_budget::ForExtraAttempts();
    std::mt19937_64 rng;
  };

  bool SameRegion(size_t entry_number, size_t target) const {
    return entry_number / shape_.region_size == target / shape_.region_size;
  }

  nanoseconds OneWayDelay(const attempt& sent) const {
    const size_t from = (*requests_)[sent.request].entry;
    return SameRegion(from, sent.target) ? nanoseconds(kIntraRegionDelay)
                                         : nanoseconds(kInterRegionDelay);
  }

  void AddEntry(size_t number, const Picker& picker) {
    entry_process added;
    added.picker = picker;
    added.targets.resize(shape_.targets);
    added.loads.resize(shape_.targets);
    added.views.resize(shape_.targets);
    added.rng.seed(shape_.seed + number);
    std::iota(added.targets.begin(), added.targets.end(), size_t{0});
    std::stable_partition(added.targets.begin(), added.targets.end(),
                          [&](size_t target) { return SameRegion(number, target); });
    for (size_t i = 0; i < shape_.targets; ++i) {
      target_view& view = added.views[i];
      view.slots = static_cast<uint32_t>(shape_.slots[added.targets[i]]);
      view.locality = SameRegion(number, added.targets[i]) ? target_locality::kRegion
                                                           : target_locality::kRemote;
    }
    entries_.push_back(std::move(added));
  }

  entry_process& EntryOf(size_t request) { return entries_[(*requests_)[request].entry]; }

  void Schedule(instant time, event_kind kind, size_t index) {
    events_.push({time, order_++, kind, index});
  }

  void Handle(const event& next) {
    switch (next.kind) {
      case event_kind::kArrival:
        Arrive(next.index);
        break;
      case event_kind::kHedge:
        Hedge(next.index);
        break;
      case event_kind::kDeadline:
        Expire(next.index);
        break;
      case event_kind::kAtTarget:
        Enqueue(next.index);
        break;
      case event_kind::kRunEnd:
        FinishRun(next.index);
        break;
      case event_kind::kAnswer:
        Answer(next.index);
        break;
    }
  }

  void Arrive(size_t request) {
    entry_process& process = EntryOf(request);
    process.hedges.OnRequest();
    process.extra_attempts.OnRequest();
    Send(request, (*requests_)[request].first_run);
    Schedule(now_ + kDeadline, event_kind::kDeadline, request);
    const auto delay = process.hedges.Delay(true);
    if (hedged_ && delay) Schedule(now_ + *delay, event_kind::kHedge, request);
  }

  void Hedge(size_t request) {
    if (states_[request].done) return;
    entry_process& process = EntryOf(request);
    const auto sent = static_cast<uint32_t>(states_[request].attempts.size()) - 1;
    if (process.hedges.TakeHedge(sent, process.extra_attempts)) {
      ++result_.hedges;
      Send(request, (*requests_)[request].second_run);
    }
    Schedule(now_ + *process.hedges.Delay(true), event_kind::kHedge, request);
  }

  void Send(size_t request, nanoseconds run) {
    entry_process& process = EntryOf(request);
    for (const size_t earlier : states_[request].attempts) {
      process.views[attempts_[earlier].view_index].tried = true;
    }
    const auto view = process.picker.Pick(now_, process.views, process.rng);
    for (target_view& each : process.views) each.tried = false;
    if (!view) return;
    const request_ticket ticket = process.loads[*view].Start(now_);
    process.loads[*view].WriteTo(process.views[*view]);
    states_[request].attempts.push_back(attempts_.size());
    attempts_.push_back({request, process.targets[*view], *view, run, ticket, false, false});
    Schedule(now_ + OneWayDelay(attempts_.back()), event_kind::kAtTarget, attempts_.size() - 1);
  }

  void Enqueue(size_t index) {
    if (attempts_[index].ended) return;
    target_queue& queue = queues_[attempts_[index].target];
    queue.waiting.push_back(index);
    StartQueued(attempts_[index].target);
  }

  void StartQueued(size_t target) {
    target_queue& queue = queues_[target];
    while (queue.running < shape_.slots[target] && !queue.waiting.empty()) {
      attempt& next = attempts_[queue.waiting.front()];
      if (!next.ended) {
        next.running = true;
        ++queue.running;
        const double run = static_cast<double>(next.run.count()) * SlowFactor(plan_, target, now_);
        Schedule(now_ + nanoseconds(static_cast<int64_t>(run)), event_kind::kRunEnd,
                 queue.waiting.front());
      }
      queue.waiting.pop_front();
    }
  }

  void FinishRun(size_t index) {
    attempt& ran = attempts_[index];
    if (!ran.running) return;
    FreeSlot(ran);
    if (!ran.ended) Schedule(now_ + OneWayDelay(ran), event_kind::kAnswer, index);
  }

  void FreeSlot(attempt& ran) {
    ran.running = false;
    --queues_[ran.target].running;
    StartQueued(ran.target);
  }

  void EndAttempt(size_t index, request_outcome outcome) {
    attempt& ended = attempts_[index];
    if (ended.ended) return;
    ended.ended = true;
    entry_process& process = EntryOf(ended.request);
    process.loads[ended.view_index].Finish(ended.ticket, outcome, now_);
    process.loads[ended.view_index].WriteTo(process.views[ended.view_index]);
    if (ended.running) FreeSlot(ended);
  }

  void Answer(size_t index) {
    const size_t request = attempts_[index].request;
    if (states_[request].done) return;
    states_[request].done = true;
    EndAttempt(index, request_outcome::kAnswered);
    const nanoseconds latency = now_ - (*requests_)[request].arrival;
    EntryOf(request).hedges.OnAnswer(latency, now_);
    Record(request, latency);
    for (const size_t other : states_[request].attempts)
      EndAttempt(other, request_outcome::kCancelled);
  }

  void Expire(size_t request) {
    if (states_[request].done) return;
    states_[request].done = true;
    if ((*requests_)[request].arrival >= instant(kFaultOnset)) ++result_.timed_out;
    Record(request, kDeadline);
    for (const size_t other : states_[request].attempts)
      EndAttempt(other, request_outcome::kTimedOut);
  }

  // Leaves out requests that arrive before the faults begin.
  void Record(size_t request, nanoseconds latency) {
    if ((*requests_)[request].arrival < instant(kFaultOnset)) return;
    result_.latencies.push_back(latency);
  }

  load_shape shape_;
  fault_plan plan_;
  bool hedged_;
  std::vector<target_queue> queues_;
  std::vector<entry_process> entries_;
  std::vector<attempt> attempts_;
  std::vector<request_state> states_;
  const std::vector<recorded_request>* requests_ = nullptr;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  uint64_t order_ = 0;
  instant now_{};
  replay_result result_;
};

}  // namespace bulrushway::test

#endif  // BULRUSHWAY_RECORDED_LOAD_H
