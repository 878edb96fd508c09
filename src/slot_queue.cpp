#include "slot_queue.h"

#include <algorithm>
#include <cmath>

namespace bulrushway {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// EWMA weight of a new execution time: covers about the last ten.
constexpr double kWorkWeight = 0.1;
// Used before the first measurement.
constexpr double kAssumedWorkMs = 100;
// A request gets no slot when the time to its deadline is below this share of its expected work:
// few such requests would finish in time.
constexpr double kMinShareOfWork = 0.5;
// Time for which a target that reported itself full is offered no additional requests.
constexpr milliseconds kFullBackoff{20};
// Requests for which a limited target has saved up tokens may be sent at once: those of this time.
constexpr milliseconds kLimitBurst{200};
// Rate of requests to a target with a lower limit, which tell when the limit has ended.
constexpr double kMinLimit = 0.2;

milliseconds ToMs(double ms) { return milliseconds(static_cast<int64_t>(std::ceil(ms))); }

// Whether the answer would miss its latency target even if the request had a slot at once.
bool IsLate(instant now, const slot_request& request) {
  return now + request.expected_work > request.on_time_until;
}

reserve_request ReserveRequest(instant now, const slot_request& request) {
  const auto left = duration_cast<milliseconds>(request.on_time_until - now);
  return {request.rank, request.expected_work, left - request.expected_work};
}

bool LeavesTimeForWork(instant start, const slot_request& request) {
  const auto min_work =
      duration_cast<std::chrono::nanoseconds>(request.expected_work * kMinShareOfWork);
  return start + min_work < request.deadline;
}

}  // namespace

void slot_queue::SetCold(instant now, bool cold) {
  if (cold && !cold_) cold_bucket_.Fill(now);
  cold_ = cold;
}

void slot_queue::SetLimit(instant now, std::optional<double> per_second) {
  if (per_second == limit_) return;
  // The target names a limit because it has more requests than it can take.
  if (!limit_) limit_bucket_.Empty(now);
  limit_ = per_second;
  if (!limit_) return;
  const double rate = std::max(*limit_, kMinLimit);
  const std::chrono::duration<double> burst_time = kLimitBurst;
  limit_bucket_.Configure(now, rate, rate * burst_time.count());
}

slot_queue::queue_position slot_queue::PositionOf(const slot_request& request, bool late) {
  return {request.rank, late, request.deadline, request.id};
}

void slot_queue::Insert(const waiting_request& entry) {
  const queue_position position = PositionOf(entry.request, entry.late);
  waiting_.emplace(position, entry);
  positions_[entry.request.id] = position;
}

bool slot_queue::HasFreeSlot(instant now) const {
  uint32_t slots = now < full_until_ ? std::min(slots_, full_slots_) : slots_;
  if (probing_) slots = std::min(slots, kProbeSlots);
  if (running_ >= slots) return false;
  if (limit_ && !limit_bucket_.CanTake(now)) return false;
  return !cold_ || cold_bucket_.CanTake(now);
}

uint32_t slot_queue::ReservedFrom(instant now, const slot_request& request) const {
  if (!urgent_room_) return 0;
  return reserve_.ReservedFrom(now, ReserveRequest(now, request), slots_);
}

bool slot_queue::LeavesUrgentRoom(instant now, const slot_request& request) const {
  const uint32_t reserved = ReservedFrom(now, request);
  if (reserved == 0) return true;
  uint32_t running = 0;
  for (auto it = running_by_rank_.lower_bound(request.rank); it != running_by_rank_.end(); ++it) {
    running += it->second;
  }
  return running + reserved < slots_;
}

void slot_queue::TakeSlot(instant now, uint32_t rank) {
  if (cold_) cold_bucket_.Take(now);
  if (limit_) limit_bucket_.Take(now);
  ++running_;
  ++running_by_rank_[rank];
}

milliseconds slot_queue::LimitWait(instant now, size_t ahead) const {
  if (!limit_) return milliseconds{0};
  return limit_bucket_.Wait(now, static_cast<double>(ahead + 1));
}

milliseconds slot_queue::UsualWork() const {
  return ToMs(usual_work_ms_ > 0 ? usual_work_ms_ : kAssumedWorkMs);
}

milliseconds slot_queue::ExpectedWait(instant now, const slot_request& request) const {
  const queue_position position = PositionOf(request, IsLate(now, request));
  const auto ahead =
      static_cast<size_t>(std::distance(waiting_.begin(), waiting_.upper_bound(position)));
  if (HasFreeSlot(now) && ahead == 0 && LeavesUrgentRoom(now, request)) return milliseconds{0};
  const double work = usual_work_ms_ > 0 ? usual_work_ms_ : kAssumedWorkMs;
  const uint32_t open = std::max(1U, slots_ - std::min(slots_, ReservedFrom(now, request)));
  double slot_wait = static_cast<double>(ahead + 1) * work / open;
  // All slots become available with the first answer.
  if (probing_) slot_wait += work;
  const milliseconds cold_wait = cold_ ? cold_bucket_.Wait(now) : milliseconds{0};
  return std::max({ToMs(slot_wait), cold_wait, LimitWait(now, ahead)});
}

refusal_reason slot_queue::ReasonForWait() const {
  if (limit_) return refusal_reason::kTargetLimited;
  return cold_ ? refusal_reason::kColdStart : refusal_reason::kQueueFull;
}

slot_verdict slot_queue::Arrive(instant now, const slot_request& request) {
  const bool late = IsLate(now, request);
  if (urgent_room_) reserve_.OnArrival(now, ReserveRequest(now, request));
  const bool served_first = waiting_.empty() || PositionOf(request, late) < waiting_.begin()->first;
  if (served_first && HasFreeSlot(now) && LeavesUrgentRoom(now, request)) {
    if (!LeavesTimeForWork(now, request)) {
      return {slot_verdict::kind::kRefuse, refusal_reason::kDeadlineTooShort, milliseconds{0}};
    }
    TakeSlot(now, request.rank);
    return {};
  }
  const milliseconds wait = ExpectedWait(now, request);
  if (wait > request.max_wait) {
    return {slot_verdict::kind::kRefuse, ReasonForWait(), wait};
  }
  if (!LeavesTimeForWork(now + wait, request)) {
    return {slot_verdict::kind::kRefuse, refusal_reason::kDeadlineTooShort, wait};
  }
  Insert({request, now, late});
  return {slot_verdict::kind::kWait, refusal_reason::kNone, wait};
}

void slot_queue::Finish(instant, std::chrono::nanoseconds work, uint32_t rank) {
  if (running_ > 0) --running_;
  const auto of_rank = running_by_rank_.find(rank);
  if (of_rank != running_by_rank_.end() && --of_rank->second == 0) running_by_rank_.erase(of_rank);
  const double ms = std::chrono::duration<double, std::milli>(work).count();
  if (ms <= 0) return;
  usual_work_ms_ = usual_work_ms_ > 0 ? usual_work_ms_ + kWorkWeight * (ms - usual_work_ms_) : ms;
}

std::optional<uint64_t> slot_queue::StartNext(instant now) {
  if (waiting_.empty() || !HasFreeSlot(now)) return std::nullopt;
  const auto next = std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& entry) {
    return LeavesUrgentRoom(now, entry.second.request);
  });
  if (next == waiting_.end()) return std::nullopt;
  const slot_request request = next->second.request;
  waiting_.erase(next);
  positions_.erase(request.id);
  TakeSlot(now, request.rank);
  return request.id;
}

void slot_queue::DemoteLate(instant now) {
  std::vector<waiting_request> late;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (it->second.late || !IsLate(now, it->second.request)) {
      ++it;
      continue;
    }
    late.push_back(it->second);
    it = waiting_.erase(it);
  }
  for (waiting_request& entry : late) {
    entry.late = true;
    Insert(entry);
  }
}

std::vector<expired_request> slot_queue::Expire(instant now) {
  DemoteLate(now);
  std::vector<expired_request> expired;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const waiting_request& entry = it->second;
    const bool too_late = !LeavesTimeForWork(now, entry.request);
    if (!too_late && now - entry.arrived <= entry.request.max_wait) {
      ++it;
      continue;
    }
    const auto reason = too_late ? refusal_reason::kDeadlineTooShort : ReasonForWait();
    expired.push_back(
        {entry.request.id, reason, std::max(UsualWork(), LimitWait(now, waiting_.size()))});
    positions_.erase(entry.request.id);
    it = waiting_.erase(it);
  }
  return expired;
}

bool slot_queue::Withdraw(uint64_t id) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) return false;
  waiting_.erase(found->second);
  positions_.erase(found);
  return true;
}

void slot_queue::OnTargetFull(instant now) {
  full_until_ = now + kFullBackoff;
  full_slots_ = std::max(1U, running_);
}

}  // namespace bulrushway
