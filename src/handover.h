#ifndef BULRUSHWAY_HANDOVER_H
#define BULRUSHWAY_HANDOVER_H

// The giver's side of planned moves. A slice is planned, listed as a gift in the giver's next term,
// no longer admitted once that term is active, released when no request of it is in flight, and
// forgotten when the receiver has recorded it.

#include <functional>
#include <map>
#include <vector>

#include "attestation.h"
#include "custody.h"
#include "ownership_types.h"

namespace bulrushway {

/// How many requests of a slice are in flight.
using in_flight_query = std::function<size_t(slice_number)>;

/// Slices on their way out.
class handover {
 public:
  explicit handover(slice_layout layout) : layout_(std::move(layout)) {}

  void Plan(const slice_gift& gift) { planned_[gift.slice] = gift.receiver; }
  bool HasPlans() const { return !planned_.empty(); }
  bool IsPlanned(slice_number slice) const { return planned_.contains(slice); }
  size_t PlannedCount() const { return planned_.size(); }
  size_t OutgoingCount() const { return outgoing_.size(); }
  /// Who gets a slice that is on its way out; null when it is not.
  const heir* ReceiverOf(slice_number slice) const;
  void Clear();

  /// Lists held and outgoing slices, and the gifts, in a term that is being composed.
  void Compose(const std::map<slice_number, uint64_t>& held, term_record& record) const;
  /// The term is active. Returns the slices that it gives and the node must no longer admit.
  std::vector<slice_number> OnActive(const term_record& record);
  void OnTaken(const taken_notice& notice);
  /// Releases what is idle, tells receivers, and returns slices that came back because their
  /// receiver is gone.
  std::vector<slice_epoch> Tick(instant now, const term_record& active,
                                const term_outcomes& outcomes, const in_flight_query& in_flight,
                                attestor& rounds, outbox& out);

 private:
  struct outgoing {
    heir receiver;
    uint64_t epoch = 0;
    /// The term that listed the gift first.
    uint64_t since_number = 0;
    bool released = false;
    instant listed_at;
    bool listed = false;
  };

  void Release(instant now, const in_flight_query& in_flight);
  void Tell(instant now, const term_record& active, outbox& out);
  std::vector<slice_epoch> CheckReceivers(instant now, const term_record& active,
                                          const term_outcomes& outcomes, attestor& rounds,
                                          outbox& out);

  slice_layout layout_;
  std::map<slice_number, heir> planned_;
  std::map<slice_number, outgoing> outgoing_;
  instant last_told_;
  instant last_checked_;
  bool tell_now_ = false;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HANDOVER_H
