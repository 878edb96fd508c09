#include "slot_queue.h"

#include <algorithm>
#include <cmath>

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Share of a new measurement in the average of work: the last ten or so count.
constexpr double kWorkWeight = 0.1;
// Assumed before the first measurement.
constexpr double kAssumedWorkMs = 100;
// A request whose time left is below this share of its usual work is not worth a slot: few would
// end in time.
constexpr double kLeastShareOfWork = 0.5;
// For how long a target that said it is full is not offered more.
constexpr milliseconds kFullPause{20};

milliseconds ToMs(double ms) { return milliseconds(static_cast<int64_t>(std::ceil(ms))); }

// An answer would come after the latency target even if the request had a slot now.
bool IsLate(instant now, const slot_request& request) {
  return now + request.expected_work > request.target;
}

bool LeavesTimeForWork(instant start, const slot_request& request) {
  const auto least =
      duration_cast<std::chrono::nanoseconds>(request.expected_work * kLeastShareOfWork);
  return start + least < request.deadline;
}

}  // namespace

void cold_bucket::Configure(double rate, double burst) {
  rate_ = rate;
  burst_ = std::max(1.0, burst);
  tokens_ = std::min(tokens_, burst_);
}

double cold_bucket::Tokens(instant now) const {
  const double passed = std::chrono::duration<double>(now - at_).count();
  return std::min(burst_, tokens_ + std::max(0.0, passed) * rate_);
}

bool cold_bucket::Take(instant now) {
  tokens_ = Tokens(now);
  at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

milliseconds cold_bucket::Wait(instant now) const {
  const double missing = 1 - Tokens(now);
  constexpr double kMsPerSecond = 1000;
  if (missing <= 0) return milliseconds{0};
  return rate_ <= 0 ? milliseconds{1000} : ToMs(missing / rate_ * kMsPerSecond);
}

void cold_bucket::Reset(instant now) {
  tokens_ = burst_;
  at_ = now;
}

void slot_queue::SetCold(instant now, bool cold) {
  if (cold && !cold_) bucket_.Reset(now);
  cold_ = cold;
}

slot_queue::order slot_queue::OrderOf(const slot_request& request, bool late) {
  return {request.rank, late, request.deadline, request.id};
}

void slot_queue::Insert(const waiting_request& one) {
  const order place = OrderOf(one.request, one.late);
  waiting_.emplace(place, one);
  index_[one.request.id] = place;
}

bool slot_queue::SlotFree(instant now) const {
  const uint32_t most = now < full_until_ ? std::min(slots_, full_at_) : slots_;
  if (running_ >= most) return false;
  return !cold_ || bucket_.CanTake(now);
}

milliseconds slot_queue::UsualWork() const {
  return ToMs(usual_work_ms_ > 0 ? usual_work_ms_ : kAssumedWorkMs);
}

milliseconds slot_queue::ExpectedWait(instant now, const slot_request& request) const {
  const order place = OrderOf(request, IsLate(now, request));
  const auto ahead =
      static_cast<double>(std::distance(waiting_.begin(), waiting_.upper_bound(place)));
  if (SlotFree(now) && ahead == 0) return milliseconds{0};
  const double work = usual_work_ms_ > 0 ? usual_work_ms_ : kAssumedWorkMs;
  const double by_slots = (ahead + 1) * work / std::max(1U, slots_);
  const double by_rate = cold_ ? static_cast<double>(bucket_.Wait(now).count()) : 0;
  return ToMs(std::max(by_slots, by_rate));
}

slot_verdict slot_queue::Arrive(instant now, const slot_request& request) {
  const bool late = IsLate(now, request);
  const bool served_first = waiting_.empty() || OrderOf(request, late) < waiting_.begin()->first;
  if (served_first && SlotFree(now)) {
    if (!LeavesTimeForWork(now, request)) {
      return {slot_verdict::kind::kRefuse, refusal_reason::kDeadlineTooShort, milliseconds{0}};
    }
    if (cold_) bucket_.Take(now);
    ++running_;
    return {};
  }
  const milliseconds wait = ExpectedWait(now, request);
  if (wait > request.patience) {
    const auto reason = cold_ ? refusal_reason::kColdStart : refusal_reason::kQueueFull;
    return {slot_verdict::kind::kRefuse, reason, wait};
  }
  if (!LeavesTimeForWork(now + wait, request)) {
    return {slot_verdict::kind::kRefuse, refusal_reason::kDeadlineTooShort, wait};
  }
  Insert({request, now, late});
  return {slot_verdict::kind::kWait, refusal_reason::kNone, wait};
}

void slot_queue::Finish(instant, std::chrono::nanoseconds work) {
  if (running_ > 0) --running_;
  const double ms = std::chrono::duration<double, std::milli>(work).count();
  if (ms <= 0) return;
  usual_work_ms_ = usual_work_ms_ > 0 ? usual_work_ms_ + kWorkWeight * (ms - usual_work_ms_) : ms;
}

std::optional<uint64_t> slot_queue::Next(instant now) {
  if (waiting_.empty() || !SlotFree(now)) return std::nullopt;
  const uint64_t id = waiting_.begin()->second.request.id;
  waiting_.erase(waiting_.begin());
  index_.erase(id);
  if (cold_) bucket_.Take(now);
  ++running_;
  return id;
}

void slot_queue::MoveLate(instant now) {
  std::vector<waiting_request> late;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (it->second.late || !IsLate(now, it->second.request)) {
      ++it;
      continue;
    }
    late.push_back(it->second);
    it = waiting_.erase(it);
  }
  for (waiting_request& one : late) {
    one.late = true;
    Insert(one);
  }
}

std::vector<slot_expiry> slot_queue::Expire(instant now) {
  MoveLate(now);
  std::vector<slot_expiry> expired;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const waiting_request& one = it->second;
    const bool hopeless = !LeavesTimeForWork(now, one.request);
    if (!hopeless && now - one.arrived <= one.request.patience) {
      ++it;
      continue;
    }
    const auto reason = hopeless ? refusal_reason::kDeadlineTooShort : refusal_reason::kQueueFull;
    expired.push_back({one.request.id, reason, UsualWork()});
    index_.erase(one.request.id);
    it = waiting_.erase(it);
  }
  return expired;
}

bool slot_queue::Withdraw(uint64_t id) {
  const auto found = index_.find(id);
  if (found == index_.end()) return false;
  waiting_.erase(found->second);
  index_.erase(found);
  return true;
}

void slot_queue::OnTargetFull(instant now) {
  full_until_ = now + kFullPause;
  full_at_ = std::max(1U, running_);
}

}  // namespace bulrushway
