#ifndef BULRUSHWAY_SLOT_QUEUE_H
#define BULRUSHWAY_SLOT_QUEUE_H

// Decides, at the gate in front of one target, which request takes the next free slot, which one
// waits and which one is refused. It answers the loads at which a target has more requests than
// slots: bursts, hot keys, targets that turn slow, and calls made by requests that already hold
// slots elsewhere.
//
// The order is: the most urgent rank, which operators give to calls that running requests make,
// since their callers hold slots while they wait; then requests that can still be answered within
// their latency target before those that cannot, since under lasting overload a queue in order of
// arrival makes every answer late; then the earliest deadline. A request is refused at once when
// its expected wait exceeds its patience or leaves too little time for its work: it can still be
// served elsewhere, or told truthfully when to come back.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "clock.h"
#include "refusal.h"

namespace bulrushway {

/// A request that asks for a slot.
struct slot_request {
  uint64_t id = 0;
  /// 0 is the most urgent.
  uint32_t rank = 0;
  instant deadline{};
  /// Until when an answer is worth most.
  instant on_time_until{};
  /// Longest useful wait for a slot.
  std::chrono::milliseconds max_wait{0};
  /// Usual time of the work itself; zero when unknown.
  std::chrono::milliseconds expected_work{0};
};

/// What happens to a request on its arrival.
struct slot_verdict {
  enum class kind { kRun, kWait, kRefuse };
  kind action = kind::kRun;
  refusal_reason reason = refusal_reason::kNone;
  /// When a slot is likely to be free.
  std::chrono::milliseconds expected_wait{0};
};

/// A waiting request that is refused.
struct expired_request {
  uint64_t id = 0;
  refusal_reason reason = refusal_reason::kNone;
  std::chrono::milliseconds expected_wait{0};
};

/// Limits the rate of requests while a target is cold.
class cold_bucket {
 public:
  /// `rate` requests per second, and `burst` at once.
  void Configure(double rate, double burst);
  /// Whether a request may pass now; takes its token.
  bool Take(instant now);
  bool CanTake(instant now) const { return Tokens(now) >= 1; }
  /// Time until the next token.
  std::chrono::milliseconds Wait(instant now) const;
  /// Starts anew with a full burst.
  void Reset(instant now);

 private:
  double Tokens(instant now) const;

  double rate_ = 0;
  double burst_ = 1;
  double tokens_ = 1;
  instant refilled_at_{};
};

/// The queue in front of one target.
class slot_queue {
 public:
  /// Slots that requests may take at once.
  void SetSlots(uint32_t slots) { slots_ = slots; }
  /// While set, requests pass only through the bucket.
  void SetCold(instant now, bool cold);
  cold_bucket& bucket() { return bucket_; }

  /// A request arrives. After kRun it holds a slot.
  slot_verdict Arrive(instant now, const slot_request& request);
  /// A request gave its slot back after `work`; zero if that says nothing about usual work.
  void Finish(instant now, std::chrono::nanoseconds work);
  /// The next waiting request that can have a slot; it holds it from now on.
  std::optional<uint64_t> StartNext(instant now);
  /// Removes the waiting requests whose patience or time is over.
  std::vector<expired_request> Expire(instant now);
  /// Removes a waiting request that was withdrawn; false if it is not waiting.
  bool Withdraw(uint64_t id);
  /// The target said that it is full although a slot looked free: it is offered no more than what
  /// it has for a moment.
  void OnTargetFull(instant now);

  uint32_t Running() const { return running_; }
  size_t Waiting() const { return waiting_.size(); }
  uint32_t slots() const { return slots_; }
  /// Usual time that a request holds a slot.
  std::chrono::milliseconds UsualWork() const;
  /// Expected wait of a request of this rank that arrives now.
  std::chrono::milliseconds ExpectedWait(instant now, const slot_request& request) const;

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

  uint32_t slots_ = 0;
  uint32_t running_ = 0;
  bool cold_ = false;
  cold_bucket bucket_;
  double usual_work_ms_ = 0;
  instant full_until_{};
  uint32_t full_slots_ = 0;
  std::map<queue_position, waiting_request> waiting_;
  std::map<uint64_t, queue_position> positions_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_SLOT_QUEUE_H
