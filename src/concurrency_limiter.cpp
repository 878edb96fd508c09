#include "concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Share of the slots at which a new incarnation starts, and up to which the concurrency counts as
// low when the usual ratio is learned.
constexpr double kStartShare = 0.25;
// EWMA weight of a sample in the usual ratio: times spread widely, so that it covers the last
// forty.
constexpr double kFloorWeight = 0.05;
constexpr double kFloorSamples = 40;
// Samples older than this do not count, so that the limit follows changes within two seconds.
constexpr milliseconds kWindow{2000};
constexpr size_t kMaxSamples = 128;
// Samples needed to propose a trial, and to end it before its time is over.
constexpr size_t kSamplesForTrial = 12;
constexpr size_t kSamplesOfTrial = 24;

// After a change, the first answers are those of the shortest requests. Samples count after this
// multiple of the usual work.
constexpr int kSettleWorks = 2;
constexpr milliseconds kMaxSettleTime{300};
// EWMA weight of a processing time in the usual work.
constexpr double kWorkWeight = 0.1;
// Longest trial.
constexpr milliseconds kTrialTime{700};
// Excess over the usual time from which a trial is considered.
constexpr double kMinExcess = 1.15;
// The oldest samples, one part of this many, have to show this share of it.
constexpr size_t kOldestPart = 3;
constexpr double kOldestShare = 0.6;
// Standard errors by which times must exceed the usual ones, and by which they must fall in a
// trial.
constexpr double kErrorsToTry = 2.5;
constexpr double kErrorsToKeep = 2;
// A lower limit is kept if times fall by at least this share of what a saturated target would
// show.
constexpr double kMinDrop = 0.5;
// Times that fall by more than this multiple did so for another reason: the target has recovered.
constexpr double kMaxDrop = 2.2;
// Room above the estimated knee, so that a noisy estimate does not leave capacity unused.
constexpr double kHeadroom = 1.1;
// Exponent of the excess in the estimate of the knee: between a target whose throughput stays the
// same beyond it (1) and one whose throughput falls with the number of requests (0.5).
constexpr double kKneeExponent = 0.6;
// Limit that is tried, as a share, when answers stay slow without being slow enough for a trial.
constexpr double kDoubtShare = 0.7;
// A trial must lower the limit at least to this share.
constexpr double kMaxTrialShare = 0.85;
// A trial lowers the limit at most to this share, since the times may have another cause.
constexpr double kMinTrialShare = 0.5;
// Smallest standard deviation assumed for logarithms of processing times.
constexpr double kMinDeviation = 0.2;
// Pause after a trial that was not kept; doubles up to the second value.
constexpr milliseconds kTrialPause{2000};
constexpr milliseconds kMaxTrialPause{4000};
// Time between raises, and before the first raise after a trial.
constexpr milliseconds kRaiseInterval{300};
// First raise in a row, as a share of the slots; each further one is larger by this
// factor.
constexpr double kRaiseShare = 0.08;
constexpr double kRaiseGrowth = 2;
// Samples needed to judge a trial or a raise, and time after a raise was taken back until the next
// one.
constexpr size_t kSamplesOfRaise = 8;
constexpr milliseconds kTakenBackTime{700};
// Raises in a row that are taken back until a trial shows whether the usual ratio is right.
constexpr uint32_t kTakenBackBeforeTrial = 2;
// Standard errors by which answers must be slower for a raise to be taken back.
constexpr double kErrorsOfRaise = 2;
// Time for which the limit stays where a refusal has lowered it.
constexpr milliseconds kHoldTime{500};
// Longest time that a new incarnation stays at its first limit until its usual ratio is known.
constexpr milliseconds kLearnTime{1000};
// Longest time for which slower answers hold back a raise, until the last one is taken back or a
// trial starts.
constexpr milliseconds kMaxHold{700};
// Ratio above the usual one from which a raise is held back.
constexpr double kHoldExcess = 1.15;
// Standard errors beyond that, since a healthy target would often be held back by noise.
constexpr double kErrorsOfHold = 1;
// Share of the limit that a refusal leaves at least; refusals within the interval have one cause.
constexpr double kRefusedShare = 0.7;
constexpr milliseconds kRefusedInterval{100};
// Time for which the limit stays below a number at which the target refused a request.
constexpr milliseconds kRefusedTime{1000};

}  // namespace

std::chrono::nanoseconds concurrency_limiter::SettleTime() const {
  return std::min<std::chrono::nanoseconds>(kSettleWorks * usual_work_, kMaxSettleTime);
}

double concurrency_limiter::StartLimit() const { return std::max(1.0, slots_ * kStartShare); }

void concurrency_limiter::SetSlots(uint32_t slots) {
  if (slots == slots_) return;
  const bool first = slots_ == 0;
  slots_ = slots;
  limit_ = first ? StartLimit() : std::clamp<double>(limit_, 1, std::max(1U, slots));
}

uint32_t concurrency_limiter::limit() const {
  if (slots_ == 0) return 0;
  return std::clamp(static_cast<uint32_t>(std::lround(limit_)), 1U, slots_);
}

void concurrency_limiter::OnIncarnation(instant now) {
  const uint32_t slots = slots_;
  *this = {};
  SetSlots(slots);
  started_at_ = now;
  changed_at_ = now;
  raise_at_ = now + kRaiseInterval;
}

concurrency_limiter::summary concurrency_limiter::Summarise(const std::deque<point>& points) {
  summary result;
  result.variance = kMinDeviation * kMinDeviation;
  result.count = points.size();
  if (points.empty()) return result;
  const auto count = static_cast<double>(points.size());
  for (const point& sample : points) {
    result.running += sample.running / count;
    result.mean += sample.log_ratio / count;
  }
  double squares = 0;
  for (const point& sample : points) squares += std::pow(sample.log_ratio - result.mean, 2);
  if (points.size() > 1) result.variance = std::max(result.variance, squares / (count - 1));
  return result;
}

void concurrency_limiter::ChangeLimit(instant now, double limit) {
  limit_ = std::clamp<double>(limit, 1, std::max(1U, slots_));
  changed_at_ = now;
}

void concurrency_limiter::LearnFloor(const point& sample) {
  if (sample.running > StartLimit()) return;
  ++floor_samples_;
  const double weight = std::max(kFloorWeight, 1 / static_cast<double>(floor_samples_));
  floor_ += weight * (sample.log_ratio - floor_);
}

void concurrency_limiter::OnAnswer(instant now, const limiter_sample& sample) {
  if (sample.expected_work.count() <= 0 || sample.work.count() <= 0) return;
  constexpr double kPercent = 100;
  const double ratio = std::chrono::duration<double>(sample.work) /
                       std::chrono::duration<double>(sample.expected_work);
  const double pace = std::max(1U, sample.pace_percent) / kPercent;
  const double running = (sample.running_at_start + sample.running_at_end) / 2.0;
  const point measured{now, running, std::log(ratio / pace)};
  // The first answers are those of the shortest requests.
  if (usual_work_.count() == 0) usual_work_ = std::max(sample.work, sample.expected_work);
  usual_work_ += std::chrono::duration_cast<std::chrono::nanoseconds>(
      kWorkWeight * std::chrono::duration<double, std::nano>(sample.work - usual_work_));
  if (started_at_ == instant{}) started_at_ = now - sample.work;
  if (now - started_at_ >= SettleTime()) LearnFloor(measured);
  // Requests that ran beside those of the higher limit say nothing about the lower one.
  if (trying_ && (now < settled_at_ || running > limit_ + 1)) return;
  recent_.push_back(measured);
  while (recent_.size() > kMaxSamples || now - recent_.front().at > kWindow) recent_.pop_front();
  if (trying_) {
    const bool recovered = JudgeTrial() == trial_result::kRecovered;
    if (recovered || recent_.size() >= kSamplesOfTrial) EndTrial(now);
  } else if (!TakeBackRaise(now)) {
    ConsiderTrial(now);
  }
}

double concurrency_limiter::ErrorAgainstFloor(const summary& present) const {
  const double floor_count = std::min<double>(kFloorSamples, static_cast<double>(floor_samples_));
  return std::sqrt(present.variance * (1 / static_cast<double>(present.count) + 1 / floor_count));
}

void concurrency_limiter::ConsiderTrial(instant now) {
  if (recent_.size() < kSamplesForTrial) return;
  const summary present = Summarise(recent_);
  if (floor_samples_ < kSamplesForTrial) {
    // Without answers under low concurrency, only a trial tells whether the limit is too high.
    const bool full = present.running >= kMaxTrialShare * limit_;
    if (full && limit_ > StartLimit() && now >= next_trial_) {
      StartTrial(now, present, kMinTrialShare * limit_);
    }
    return;
  }
  const double excess = present.mean - floor_;
  const double error = ErrorAgainstFloor(present);
  if (present.count >= kSamplesOfTrial && excess < -kErrorsToTry * error) {
    // The target is faster than it was when its usual times were learned.
    floor_ = present.mean;
    return;
  }
  // Times that have risen only just now may fall again by themselves, which a trial would take for
  // its effect.
  const auto oldest = static_cast<std::ptrdiff_t>(present.count / kOldestPart);
  const summary before = Summarise({recent_.begin(), recent_.begin() + oldest});
  if (before.mean - floor_ < kOldestShare * excess) return;
  if (now < next_trial_ || excess < std::log(kMinExcess) + kErrorsToTry * error) return;
  const double used = std::min(limit_, present.running);
  const double candidate = std::max(
      {1.0, kMinTrialShare * used, present.running / std::exp(kKneeExponent * excess) * kHeadroom});
  if (candidate <= kMaxTrialShare * used) StartTrial(now, present, candidate);
}

void concurrency_limiter::StartTrial(instant now, const summary& present, double candidate) {
  trying_ = true;
  raised_from_ = 0;
  settled_at_ = now + SettleTime();
  limit_before_trial_ = limit_;
  before_trial_ = present;
  recent_.clear();
  ChangeLimit(now, candidate);
}

concurrency_limiter::trial_result concurrency_limiter::JudgeTrial() const {
  const summary tried = Summarise(recent_);
  if (tried.count < kSamplesOfRaise) return trial_result::kUnknown;
  const double drop = before_trial_.mean - tried.mean;
  // What the times of a target fall by whose throughput stays the same.
  const double expected = std::log(before_trial_.running / std::max(1.0, tried.running));
  const double error =
      kErrorsToKeep * std::sqrt(before_trial_.variance / static_cast<double>(before_trial_.count) +
                                tried.variance / static_cast<double>(tried.count));
  if (drop > kMaxDrop * std::min(expected, std::log(1 / kMinTrialShare)) + error)
    return trial_result::kRecovered;
  const bool faster = drop > error && drop > kMinDrop * expected;
  return faster ? trial_result::kFaster : trial_result::kNoEffect;
}

void concurrency_limiter::EndTrial(instant now) {
  const trial_result result = JudgeTrial();
  const summary tried = Summarise(recent_);
  trying_ = false;
  recent_.clear();
  raise_step_ = 1;
  if (result == trial_result::kFaster) {
    trial_pause_ = milliseconds{0};
    next_trial_ = now;
    raise_at_ = now + kRaiseInterval;
    changed_at_ = now;
    return;
  }
  // Fewer requests do not make each of them faster: the target is slow for another reason.
  if (result == trial_result::kNoEffect) {
    const double known = std::min<double>(kFloorSamples, static_cast<double>(floor_samples_));
    const auto count = static_cast<double>(tried.count);
    const bool consistent =
        std::abs(tried.mean - floor_) < kErrorsToKeep * ErrorAgainstFloor(tried);
    floor_ = consistent ? (floor_ * known + tried.mean * count) / (known + count) : tried.mean;
    floor_samples_ =
        std::max(kSamplesForTrial, consistent ? floor_samples_ + tried.count : tried.count);
  }
  trial_pause_ = std::clamp(2 * trial_pause_, kTrialPause, kMaxTrialPause);
  next_trial_ = now + trial_pause_;
  raise_at_ = now + kRaiseInterval;
  ChangeLimit(now, limit_before_trial_);
}

void concurrency_limiter::OnRefused(instant now, uint32_t running) {
  if (now - refused_at_ < kRefusedInterval || running >= limit()) return;
  refused_at_ = now;
  refused_until_ = now + kRefusedTime;
  refused_limit_ = std::max<double>({1, static_cast<double>(running), limit_ * kRefusedShare});
  if (trying_) EndTrial(now);
  ChangeLimit(now, std::min(limit_, refused_limit_));
  raised_from_ = 0;
  raise_step_ = 1;
  raise_at_ = now + kHoldTime;
}

bool concurrency_limiter::TakeBackRaise(instant now) {
  if (now - changed_at_ > kWindow) raised_from_ = 0;
  if (raised_from_ <= 0 || recent_.size() < kSamplesOfRaise || recent_.size() > kSamplesOfTrial ||
      floor_samples_ < kSamplesForTrial) {
    return false;
  }
  const summary present = Summarise(recent_);
  if (present.mean - floor_ < std::log(kHoldExcess) + kErrorsOfRaise * ErrorAgainstFloor(present)) {
    return false;
  }
  LowerToBeforeRaise(now);
  return true;
}

void concurrency_limiter::LowerToBeforeRaise(instant now) {
  ChangeLimit(now, raised_from_);
  raised_from_ = 0;
  raise_step_ = 1;
  raise_at_ = now + kTakenBackTime;
  recent_.clear();
  ++taken_back_;
}

void concurrency_limiter::Raise(instant now) {
  if (limit_ <= StartLimit() && floor_samples_ < kSamplesOfTrial &&
      now - started_at_ < kLearnTime) {
    return;
  }
  const summary present = Summarise(recent_);
  const bool known = floor_samples_ >= kSamplesForTrial && present.count > 0;
  if (known &&
      present.mean - floor_ > std::log(kHoldExcess) + kErrorsOfHold * ErrorAgainstFloor(present)) {
    raise_step_ = 1;
    if (now - changed_at_ < kMaxHold) return;
    if (present.count >= kSamplesOfRaise) {
      if (raised_from_ > 0 && taken_back_ < kTakenBackBeforeTrial) return LowerToBeforeRaise(now);
      if (now < next_trial_) return;
      taken_back_ = 0;
      return StartTrial(now, present, std::max(1.0, kDoubtShare * limit_));
    }
  } else {
    taken_back_ = 0;
  }
  double raised = limit_ + std::max(1.0, slots_ * kRaiseShare) * raise_step_;
  raise_step_ *= kRaiseGrowth;
  raise_at_ = now + kRaiseInterval;
  if (now < refused_until_) raised = std::min(raised, refused_limit_);
  if (raised <= limit_) return;
  raised_from_ = limit_;
  recent_.clear();
  ChangeLimit(now, raised);
}

void concurrency_limiter::Tick(instant now) {
  if (trying_) {
    if (now - settled_at_ >= kTrialTime) EndTrial(now);
    return;
  }
  if (slots_ == 0 || limit_ >= slots_ || now < raise_at_) return;
  Raise(now);
}

}  // namespace bulrushway
