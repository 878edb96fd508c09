#ifndef BULRUSHWAY_SLOT_QUEUE_H
#define BULRUSHWAY_SLOT_QUEUE_H

// Decides, at the gate in front of one target, which request takes the next free slot, which one
// waits and which one is refused. It handles the loads at which a target has more requests than
// slots: bursts, hot keys, targets that slow down, and nested calls by requests that already hold
// slots elsewhere.
//
// Requests are ordered first by rank: operators give a more urgent rank to nested calls, since
// their callers hold slots while they wait. Then come requests that can still meet their latency
// target, before those that cannot, since under lasting overload a FIFO queue makes every answer
// late. Ties are broken by the earliest deadline. A request is refused at once when its expected
// wait exceeds its maximum wait or leaves too little time for its execution: the caller can then
// try another target, or wait for a realistic retry-after time.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "clock.h"
#include "refusal.h"
#include "slot_reserve.h"
#include "token_bucket.h"

namespace bulrushway {

struct slot_request {
  uint64_t id = 0;
  /// 0 is the most urgent.
  uint32_t rank = 0;
  instant deadline{};
  /// An answer by then meets the latency target.
  instant on_time_until{};
  /// Maximum wait for a slot.
  std::chrono::milliseconds max_wait{0};
  /// Average execution time without the wait; zero means unknown.
  std::chrono::milliseconds expected_work{0};
};

/// Decision about an arriving request.
struct slot_verdict {
  enum class kind { kRun, kWait, kRefuse };
  kind action = kind::kRun;
  refusal_reason reason = refusal_reason::kNone;
  /// Expected time until a slot is free.
  std::chrono::milliseconds expected_wait{0};
};

/// A waiting request that is refused because it waited too long or has too little time left.
struct expired_request {
  uint64_t id = 0;
  refusal_reason reason = refusal_reason::kNone;
  std::chrono::milliseconds expected_wait{0};
};

/// The queue in front of one target.
class slot_queue {
 public:
  /// Sets the number of requests that may run at once.
  void SetSlots(uint32_t slots) { slots_ = slots; }
  /// Keeps slots free of long requests for more urgent ones; see slot_reserve.
  void EnableUrgentRoom(bool enabled) { urgent_room_ = enabled; }
  /// While cold, each request also needs a token of the bucket.
  void SetCold(instant now, bool cold);
  token_bucket& cold_bucket() { return cold_bucket_; }
  /// While there is a limit in requests per second, each request also needs a token of its bucket.
  void SetLimit(instant now, std::optional<double> per_second);
  /// While probing, at most kProbeSlots requests run: the target may have a limit that it has not
  /// told this process yet.
  void SetProbing(bool probing) { probing_ = probing; }
  static constexpr uint32_t kProbeSlots = 2;

  /// Decides about an arriving request. After kRun it holds a slot.
  slot_verdict Arrive(instant now, const slot_request& request);
  /// Frees the slot of a request of the rank that ran for `work`; zero keeps the time out of the
  /// average.
  void Finish(instant now, std::chrono::nanoseconds work, uint32_t rank = 0);
  /// Removes the first waiting request and gives it a slot; nullopt when no request waits or no
  /// slot is free.
  std::optional<uint64_t> StartNext(instant now);
  /// Removes and returns the requests that exceeded their maximum wait or have too little time left
  /// to run.
  std::vector<expired_request> Expire(instant now);
  /// Removes a cancelled request from the queue; false if it is not waiting.
  bool Withdraw(uint64_t id);
  /// The target refused a request as full although a slot looked free: for a short time the number
  /// of slots is limited to the requests that run there.
  void OnTargetFull(instant now);

  uint32_t Running() const { return running_; }
  size_t Waiting() const { return waiting_.size(); }
  uint32_t slots() const { return slots_; }
  /// EWMA of the time that a request holds a slot; an assumed value before the first measurement.
  std::chrono::milliseconds UsualWork() const;
  /// Expected time until a request that arrives at `now` gets a slot.
  std::chrono::milliseconds ExpectedWait(instant now, const slot_request& request) const;
  /// Expected time until the limit admits a request with `ahead` others before it; zero without a
  /// limit.
  std::chrono::milliseconds LimitWait(instant now, size_t ahead) const;

 private:
  using queue_position = std::tuple<uint32_t, bool, instant, uint64_t>;
  struct waiting_request {
    slot_request request;
    instant arrived;
    bool late = false;
  };

  static queue_position PositionOf(const slot_request& request, bool late);
  void Insert(const waiting_request& entry);
  void DemoteLate(instant now);
  bool HasFreeSlot(instant now) const;
  // Reason for the refusal of a request that would wait too long.
  refusal_reason ReasonForWait() const;
  // Slots that the request must leave free.
  uint32_t ReservedFrom(instant now, const slot_request& request) const;
  // Whether requests as urgent as this one, and less urgent ones, leave the reserved slots free.
  bool LeavesUrgentRoom(instant now, const slot_request& request) const;
  void TakeSlot(instant now, uint32_t rank);

  uint32_t slots_ = 0;
  uint32_t running_ = 0;
  bool cold_ = false;
  token_bucket cold_bucket_;
  std::optional<double> limit_;
  token_bucket limit_bucket_;
  bool probing_ = false;
  double usual_work_ms_ = 0;
  instant full_until_{};
  uint32_t full_slots_ = 0;
  bool urgent_room_ = false;
  slot_reserve reserve_;
  // Running requests by rank.
  std::map<uint32_t, uint32_t> running_by_rank_;
  std::map<queue_position, waiting_request> waiting_;
  std::map<uint64_t, queue_position> positions_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_SLOT_QUEUE_H
