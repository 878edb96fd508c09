#ifndef BULRUSHWAY_CUSTODY_H
#define BULRUSHWAY_CUSTODY_H

// Who holds a slice, from a term record and the known outcomes of terms. Each slice of a record has
// a chain of members; the first member that is not gone holds it. A member that was superseded goes
// on under its next term, unless the next term's record lists the slice itself: then that record
// rules.

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "slice.h"
#include "term.h"

namespace bulrushway {

/// Outcomes that a node remembers at most.
constexpr size_t kMaxKnownOutcomes = 16384;

/// Final outcomes of terms as far as this node knows.
class term_outcomes {
 public:
  void NoteGone(const term_id& term);
  void NoteSuperseded(const term_id& term, const term_record& next);
  bool Gone(const term_id& term) const { return gone_.contains(term); }
  /// The next term's record, or null when the term is not known to be superseded.
  const term_record* Next(const term_id& term) const;

 private:
  void NoteOrder(const term_id& term);

  std::set<term_id> gone_;
  std::map<term_id, term_record> next_;
  std::deque<term_id> order_;
};

/// The members of a slice's chain in order, those that may not hold the slice left out.
std::vector<heir> ChainOf(const slice_layout& layout, const term_record& record,
                          slice_number slice);

/// Who holds a slice of a record.
struct custodian {
  /// The holder's latest known term with its witnesses.
  heir holder;
  /// The epoch under which it holds the slice.
  uint64_t epoch = 0;
  /// A later record lists the slice; the holder is that record's business.
  bool recorded_elsewhere = false;
};

/// Members that were passed over for single slices of a record, see inheritance::PassOver.
using passed_members = std::set<std::pair<term_id, slice_number>>;

/// The holder of the slice, or none when every member of the chain is gone or passed over.
std::optional<custodian> HolderOf(const slice_layout& layout, const term_outcomes& outcomes,
                                  const term_record& record, slice_number slice,
                                  const passed_members& passed = {});

}  // namespace bulrushway

#endif  // BULRUSHWAY_CUSTODY_H
