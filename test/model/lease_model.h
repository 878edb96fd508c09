#ifndef BULRUSHWAY_TEST_LEASE_MODEL_H
#define BULRUSHWAY_TEST_LEASE_MODEL_H

// Ownership of one key by leases in the platform's store, small enough to visit every state
// (docs/design/on_the_platform.md). There are two nodes, each with a process and a target. Node 0
// may be replaced by another machine, whose target is number 2, while target 0 keeps running.
//
// Row versions are abstracted: one bit for each row that a process has read says whether the row is
// unchanged since. Clocks are not modelled; the model assumes what they guarantee: a grant ends at
// the target before the lease of the granting process, and the process considers its lease expired
// before the store does.

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrushway::model {

/// Protocol rules; each mutant of the model breaks one. The code follows further rules: it deletes
/// the lease row of an owner whose keys it reassigns, renews only the row version that it has read,
/// and hands keys over only while its own lease is valid. This model doesn't depend on these, since
/// each change is conditional on the map as read. It has at most one pending call per node.
enum class rule : uint8_t {
  kNone,
  /// Keys of an owner are reassigned only after its lease has expired by the store's clock.
  kReassignAfterExpiry,
  /// The reassignment is conditional on the lease row as read: it may have been renewed since.
  kReassignExpectsLease,
  /// A change of the map is conditional on the map as read.
  kChangeExpectsMap,
  /// Grants are based on a map that was read after the lease was acquired.
  kMapReadUnderLease,
  /// After the lease has lapsed, the map is read again.
  kMapReadAfterLapse,
  /// Keys are granted only under a valid lease.
  kGrantUnderLease,
  /// A key is not granted during its handover.
  kNoGrantDuringHandover,
  /// The owner hands a key over only after its target has released it.
  kHandoverAfterRelease,
  /// A lease row that another machine wrote is overwritten only after it has expired.
  kForeignLeaseExpiresFirst,
  /// A restarted process has no lease until it has written one.
  kRestartHasNoLease,
  /// The process measures its lease from the store's time, not from the receipt of the answer.
  kLeaseFromStoreTime,
  /// A grant ends before the lease under which it was made.
  kGrantWithinLease,
  /// Each change of owner raises the fencing token.
  kFenceGrows,
  /// A grant carries the fencing token of the map on which it is based.
  kFenceOfMap,
  kCount,
};

/// Name of a rule for reports.
std::string Name(rule which);

/// A pending call to the store. It may take effect at any time while its conditions hold.
enum class store_call : uint8_t { kNone, kWriteLease, kClaim, kHandOver, kReassign };

inline constexpr uint8_t kNobody = 3;

/// State of a node's process.
struct process_state {
  uint8_t machine = 0;
  bool lease = false;
  bool lease_row_read = false;
  bool map_read = false;
  bool map_valid = false;
  uint8_t owner = kNobody;
  uint8_t fence = 0;
  bool other_lease_read = false;
  bool other_lease_expired = false;
  bool handing_over = false;
  store_call call = store_call::kNone;
  // The machine that sent the call, and whether its current process did.
  uint8_t call_machine = 0;
  bool sent_by_current_process = false;
  bool awaiting_answer = false;
  // Whether the rows on which the call is conditional are unchanged.
  bool map_unchanged = false;
  bool lease_row_unchanged = false;
  bool other_lease_unchanged = false;

  auto operator<=>(const process_state&) const = default;
};

/// A lease row in the store.
struct lease_row {
  bool exists = false;
  bool expired = false;
  uint8_t machine = 0;
  // Whether the node's current process wrote the row.
  bool written_by_current_process = false;

  auto operator<=>(const lease_row&) const = default;
};

/// State of the whole model.
struct state {
  std::array<process_state, 2> processes;
  std::array<lease_row, 2> leases;
  uint8_t owner = kNobody;
  uint8_t owner_node = kNobody;
  uint8_t fence = 0;
  std::array<bool, 3> target_holds{};
  // Target that was granted the key last, and its fencing token.
  uint8_t last_holder = kNobody;
  uint8_t last_fence = 0;
  bool fence_not_higher = false;
  uint8_t changes = 0;
  uint8_t restarts = 0;
  bool machine_moved = false;

  auto operator<=>(const state&) const = default;
};

/// Bounds of the search: changes of owner, process restarts, and whether node 0 is replaced.
struct limits {
  uint8_t changes = 3;
  uint8_t restarts = 1;
  bool move_machine = true;
};

/// Result of a search.
struct search_result {
  size_t states = 0;
  /// The violated invariant, or empty, and the steps that lead to the violation.
  std::string violation;
  std::vector<std::string> trace;
  /// Whether every state was visited.
  bool complete = false;
};

/// Visits the states breadth first, with one rule broken or none; gives up after `most_states`.
search_result Search(rule broken, const limits& bounds, size_t max_states);

}  // namespace bulrushway::model

#endif  // BULRUSHWAY_TEST_LEASE_MODEL_H
