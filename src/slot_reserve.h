#ifndef BULRUSHWAY_SLOT_RESERVE_H
#define BULRUSHWAY_SLOT_RESERVE_H

// Decides how many slots of a target are kept free of long requests, so that more urgent ones find
// a slot in time. Answers load in which long requests of low urgency occupy all slots: a rank in
// the queue does not help an urgent request when no slot becomes free before its latency target.
//
// The room follows the load that the urgent ranks offer, and is released within a second or two
// after they stop. At least one slot stays open to every rank.

#include <chrono>
#include <cstdint>
#include <map>

#include "clock.h"

namespace bulrushway {

/// What the reserve has to know of a request.
struct reserve_request {
  /// 0 is the most urgent.
  uint32_t rank = 0;
  /// Time that it will hold a slot.
  std::chrono::milliseconds work{0};
  /// Wait after which its answer misses the latency target; negative when it does so already.
  std::chrono::milliseconds spare{0};
};

/// The slots of one target that are reserved for urgent requests.
class slot_reserve {
 public:
  /// Records the arrival of a request.
  void OnArrival(instant now, const reserve_request& request);
  /// Slots of `slots` that the request must leave free: those that more urgent requests are
  /// expected to need, if it would hold a slot for longer than they can wait.
  uint32_t ReservedFrom(instant now, const reserve_request& request, uint32_t slots) const;

 private:
  struct rank_load {
    // EWMA of the slots that the requests of the rank hold on average, at `measured`.
    double slots = 0;
    instant measured{};
    // EWMA of the wait that they tolerate, in milliseconds.
    double spare_ms = 0;
  };

  static double SlotsAt(instant now, const rank_load& load);

  std::map<uint32_t, rank_load> loads_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_SLOT_RESERVE_H
