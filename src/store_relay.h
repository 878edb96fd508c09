#ifndef BULRUSHWAY_STORE_RELAY_H
#define BULRUSHWAY_STORE_RELAY_H

// Decides which process of a data centre follows the tables of the store, and passes their changes
// on to its neighbours. If each process followed them itself, a change would cost as many calls as
// there are processes, and a fleet whose members and owners change often would mostly pay for them.
//
// A process may follow for others while the store confirms to it that its tables are current. Where
// no process of a data centre may, each follows by itself. Two processes that both follow cost
// calls, not correctness.

#include <cstdint>
#include <string>
#include <vector>

#include "clock.h"
#include "fleet_view.h"
#include "metrics.h"
#include "row_store.h"

namespace bulrushway {

/// What the answers to this process's calls say of the store.
class store_contact {
 public:
  /// `first_start`: the store cannot have lost anything in the era that this process finds.
  explicit store_contact(bool first_start) : first_start_(first_start) {}

  /// An answer shows the store in this era.
  void OnEra(instant now, uint64_t era) {
    answered_ = now;
    const bool first = first_start_ && era_.era() == 0;
    era_.Observe(now, era, first ? kFirstEraAge : std::chrono::milliseconds{0});
  }
  /// A peer has known the era for `age`.
  void OnPeerEra(instant now, uint64_t era, std::chrono::milliseconds age) {
    era_.Observe(now, era, age);
  }
  const store_era& era() const { return era_; }
  /// Time of the latest answer that the store gave to a read or commit; never: the epoch.
  instant Answered() const { return answered_; }

 private:
  // Longer than anything that the store acknowledges is relied on.
  static constexpr std::chrono::hours kFirstEraAge{1};

  bool first_start_;
  instant answered_{};
  store_era era_;
};

/// Counts all calls and those that fail, by purpose, and records the era in the answers to reads
/// and commits.
row_store ObserveStore(const row_store& store, store_contact& contact, metrics& counters);

/// The neighbour whose reports this process relies on for changes of the tables; null when it
/// follows the store itself. A neighbour whose last report is older than `max_report_age` may not
/// reach this process.
const node_state* ChooseFollower(instant now, const fleet_view& fleet,
                                 std::chrono::milliseconds max_report_age);

/// Number of neighbours that ask a store in trouble before this process: the reachable ones of the
/// data centre whose names are lower.
size_t NeighboursBefore(const fleet_view& fleet);

/// Detects that changes which peers report did not arrive.
class relay_gap {
 public:
  /// `reported`: latest changes that peers report, by table; `own`: versions up to which this
  /// process knows all changes. Returns the tables that have been behind for longer than `delay`,
  /// to be read again.
  std::vector<size_t> Overdue(instant now, const std::vector<uint64_t>& reported,
                              const std::vector<uint64_t>& own, std::chrono::milliseconds delay);

 private:
  std::vector<instant> behind_since_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_STORE_RELAY_H
