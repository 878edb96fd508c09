#ifndef BULRUSHWAY_INHERITANCE_H
#define BULRUSHWAY_INHERITANCE_H

// The records of other nodes in which this node is an heir or a receiver, and what it may take over
// from them. A slice is taken only on proof: the giver released it, or every earlier member of its
// chain is gone and the record itself was in force.

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "attestation.h"
#include "custody.h"
#include "ownership_types.h"

namespace bulrushway {

/// The terms of this process: a slice may be taken by a process that was named in the record.
struct own_terms {
  node_name node;
  uint64_t first_number = 0;
  /// The active term, or 0.
  uint64_t active_number = 0;
};

/// Records from which this node may take over.
class inheritance {
 public:
  inheritance(slice_layout layout, const protocol_rules& rules)
      : layout_(std::move(layout)), rules_(rules) {}

  void OnLapse(instant now, const node_name& self, const lapse_notice& notice);
  void OnRelease(const release_notice& notice);
  /// The round found the term alive.
  void OnAlive(instant now, const term_id& term);

  /// Starts the rounds that are needed and returns the slices that the node holds as of now.
  std::vector<slice_epoch> Evaluate(instant now, const own_terms& own,
                                    const term_outcomes& outcomes, attestor& rounds, outbox& out);
  /// Drops what is settled: `recorded` tells whether the slice with this epoch is listed by this
  /// node's active record. Returns gone terms whose rows nobody needs any more.
  std::vector<term_id> Settle(const own_terms& own, const term_outcomes& outcomes,
                              const std::function<bool(const slice_epoch&)>& recorded);
  /// Records with slices of which every member of the chain is gone.
  std::vector<term_record> Orphans() const;
  /// Whether the record has such slices that a node of the region may hold.
  bool HasOrphanFor(const term_id& term, const std::string& region) const;
  /// The process of `ended` is over, and `rows` are all term records of the table, read after its
  /// end. A slice that no row lists with a later epoch was not taken by it in a way that lasts, so
  /// it is passed over for this slice. Records that the table does not have any more are dropped.
  void PassOver(const term_id& ended, const std::vector<term_record>& rows);
  /// The table's copy of a record, which may have more late heirs.
  void Refresh(const term_record& record);
  /// The table has no such record any more: its slices are recorded elsewhere.
  void Forget(const term_id& term) { entries_.erase(term); }

 private:
  struct entry {
    term_record record;
    bool active = false;
    bool suspect = false;
    instant suspect_since;
    instant last_notice;
    std::chrono::milliseconds delay{0};
    std::set<slice_number> released;
    std::vector<slice_number> orphans;
    passed_members passed;
  };

  bool ProvenActive(instant now, entry& known, const term_outcomes& outcomes, attestor& rounds,
                    outbox& out);
  bool AllRecorded(const own_terms& own, const entry& known, const term_outcomes& outcomes,
                   const std::function<bool(const slice_epoch&)>& recorded) const;
  bool Mine(const own_terms& own, const heir& holder) const;
  void EvaluateReleased(const own_terms& own, const entry& known,
                        std::vector<slice_epoch>& taken) const;
  void EvaluateGone(instant now, const own_terms& own, entry& known, const term_outcomes& outcomes,
                    attestor& rounds, std::vector<slice_epoch>& taken, outbox& out);
  void AskPaced(instant now, const term_id& term, const std::vector<node_name>& witnesses,
                attestor& rounds, outbox& out);

  slice_layout layout_;
  protocol_rules rules_;
  std::map<term_id, entry> entries_;
  std::map<term_id, instant> last_asked_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_INHERITANCE_H
