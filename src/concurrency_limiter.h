#ifndef BULRUSHWAY_CONCURRENCY_LIMITER_H
#define BULRUSHWAY_CONCURRENCY_LIMITER_H

// Decides how many requests a target handles well at the same time. It handles targets that slow
// down or refuse requests before all their slots are in use.
//
// Processing times are compared as ratios to the expected time of their kind, on a logarithmic
// scale and corrected by the machine's figure. Long times alone do not lower the limit, since they
// may have another cause: a slow target, or calls that wait elsewhere. They propose a lower limit,
// which is then tried. It stays only if the times fall with it. Refusals lower the limit at once.
// Without new evidence the limit rises to the slots.

#include <chrono>
#include <cstdint>
#include <deque>

#include "clock.h"

namespace bulrushway {

/// An answered request.
struct limiter_sample {
  /// Processing time, including calls that the request made.
  std::chrono::nanoseconds work{0};
  /// Usual processing time of its kind; zero means unknown, and the sample is ignored.
  std::chrono::nanoseconds expected_work{0};
  /// Requests that ran when it was sent and when it was answered, each including itself.
  uint32_t running_at_start = 1;
  uint32_t running_at_end = 1;
  /// Execution time on the machine at present, in percent of the average.
  uint32_t pace_percent = 100;
  instant sent{};
};

/// Adaptive limit on the requests that run at one target.
class concurrency_limiter {
 public:
  /// Sets the number of slots, which the limit never exceeds.
  void SetSlots(uint32_t slots);
  /// Forgets what is known: the target was started again.
  void OnIncarnation(instant now);
  void OnAnswer(instant now, const limiter_sample& sample);
  /// The target refused a request or reset its connection while `running` others ran.
  void OnRefused(instant now, uint32_t running);
  /// Raises the limit or ends a trial when it is time to.
  void Tick(instant now);

  /// Requests that may run: between 1 and the slots; 0 while there are no slots.
  uint32_t limit() const;
  /// Whether a lower limit is being tried.
  bool trying() const { return trying_; }

 private:
  struct point {
    instant at;
    double running;
    double log_ratio;
  };
  struct summary {
    size_t count = 0;
    double running = 0;
    double mean = 0;
    // Variance of one sample; never below a minimum, since few samples may agree by chance.
    double variance = 0;
  };

  // kRecovered: times fell by more than fewer requests explain.
  enum class trial_result { kUnknown, kFaster, kNoEffect, kRecovered };

  static summary Summarise(const std::deque<point>& points);
  double StartLimit() const;
  // Time after a change until answers are typical of it.
  std::chrono::nanoseconds SettleTime() const;
  // Standard error of the difference between the samples and the usual ratio.
  double ErrorAgainstFloor(const summary& present) const;
  void LearnFloor(const point& sample);
  void ConsiderTrial(instant now);
  void StartTrial(instant now, const summary& present, double candidate);
  void EndTrial(instant now);
  void Raise(instant now);
  // Lowers the limit again if the last raise made answers slower.
  bool TakeBackRaise(instant now);
  void LowerToBeforeRaise(instant now);
  trial_result JudgeTrial() const;
  void ChangeLimit(instant now, double limit);

  uint32_t slots_ = 0;
  double limit_ = 0;
  instant started_at_{};
  // EWMA of the processing times.
  std::chrono::nanoseconds usual_work_{0};
  // Mean logarithmic ratio of requests that ran with few others.
  double floor_ = 0;
  size_t floor_samples_ = 0;
  // Samples under the present limit.
  std::deque<point> recent_;
  instant changed_at_{};
  instant raise_at_{};
  double raise_step_ = 1;
  // Limit before the last raise; 0 when that one is not to be taken back.
  double raised_from_ = 0;
  // Raises taken back in a row.
  uint32_t taken_back_ = 0;
  // Until then, at most `refused_limit_` requests run: the target refused one more.
  instant refused_until_{};
  double refused_limit_ = 0;
  instant refused_at_{};
  bool trying_ = false;
  double limit_before_trial_ = 0;
  summary before_trial_;
  // Samples count from then on in a trial.
  instant settled_at_{};
  instant next_trial_{};
  std::chrono::milliseconds trial_pause_{0};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONCURRENCY_LIMITER_H
