#ifndef BULRUSHWAY_TERM_H
#define BULRUSHWAY_TERM_H

// A term is one immutable record of what a node owns and who follows it. Every change of a node's
// slices, witnesses or heirs is a new term, so that a record never has two meanings.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace bulrushway {

/// Name of a node, unique in the fleet.
using node_name = std::string;
/// Number of a slice within its service, partition included.
using slice_number = uint32_t;

/// The `number`-th term of a node. Numbers start at 1; 0 means none.
struct term_id {
  node_name node;
  uint64_t number = 0;
  bool operator==(const term_id&) const = default;
  bool operator<(const term_id& other) const {
    return std::tie(node, number) < std::tie(other.node, other.number);
  }
};

/// A slice and the epoch under which the first member of its chain holds it.
struct slice_epoch {
  slice_number slice = 0;
  uint64_t epoch = 0;
  bool operator==(const slice_epoch&) const = default;
  bool operator<(const slice_epoch& other) const {
    return std::tie(slice, epoch) < std::tie(other.slice, other.epoch);
  }
};

/// Another node's term that may take over slices, with what is needed to prove it gone.
struct heir {
  term_id term;
  std::string region;
  std::vector<node_name> witnesses;
  bool operator==(const heir&) const = default;
  bool operator<(const heir& other) const { return term < other.term; }
};

/// A slice handed to a receiver, which holds it as soon as the giver released it.
struct slice_gift {
  slice_number slice = 0;
  heir receiver;
  bool operator==(const slice_gift&) const = default;
};

/// What the table keeps for one term.
struct term_record {
  term_id id;
  std::string service;
  std::string region;
  /// Sorted by slice.
  std::vector<slice_epoch> slices;
  std::vector<node_name> witnesses;
  std::vector<heir> heirs;
  std::vector<slice_gift> gifts;
  /// Added in the table, one at a time, after every other member of a chain was gone.
  std::vector<heir> late_heirs;
  /// The term that this one replaces, or 0 for the first term of a process.
  uint64_t predecessor = 0;
  std::vector<node_name> predecessor_witnesses;
  /// Number of the first term of the same process.
  uint64_t first_number = 0;
  /// All processes of the node up to this term were proven ended before the present one began; 0
  /// when that is not known.
  uint64_t ended_number = 0;
  bool operator==(const term_record&) const = default;
};

/// The epoch that the record lists for the slice, or none.
std::optional<uint64_t> EpochOf(const term_record& record, slice_number slice);

/// The gift of the slice, or null.
const slice_gift* GiftOf(const term_record& record, slice_number slice);

/// "node/number".
std::string ToString(const term_id& term);

}  // namespace bulrushway

#endif  // BULRUSHWAY_TERM_H
