#ifndef BULRUSHWAY_TEST_LEASE_MODEL_H
#define BULRUSHWAY_TEST_LEASE_MODEL_H

// Ownership of one key by leases in the platform's store, small enough to visit every state
// (docs/design/on_the_platform.md). Two nodes, each a process beside a target; node 0 may be moved
// to another machine, whose target is number 2, while the target of the old one lives on.
//
// Versions of rows are not counted: for each row that was read, a bit says that it is still as it
// was. Clocks are not modelled, but what they guarantee: a grant ends at the target before the
// lease of the process that gave it, and the process's own count of its lease before the store's.

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrushway::model {

/// Rules that a mutant breaks, one at a time. The code keeps more than these: it also deletes the
/// row of a lease that it takes over, renews only the row that it has read, and gives keys away
/// only while its own lease is valid. Nothing in this model rests on those, since every change
/// expects the map as it was read; it has one call under way for each node, not several.
enum class rule : uint8_t {
  kNone,
  /// Keys are taken over once the store says that the lease of their owner has ended.
  kReassignAfterExpiry,
  /// ... expecting the lease as it was read: it may have been renewed since.
  kReassignExpectsLease,
  /// The map is changed only as it was read.
  kChangeExpectsMap,
  /// Grants come from a map that was read after the lease was acquired.
  kMapReadUnderLease,
  /// After a lapse the map is read again.
  kMapReadAfterLapse,
  /// Nothing is granted without a valid lease.
  kGrantUnderLease,
  /// A key on its way to another owner is not granted.
  kNoGrantDuringHandover,
  /// The owner moves a key only once its target does not hold it.
  kHandoverAfterRelease,
  /// A lease row that another machine wrote is taken over only after its end.
  kForeignLeaseExpiresFirst,
  /// A process that starts anew has no lease until it has written one.
  kRestartHasNoLease,
  /// The process counts its lease from the store's time, not from the receipt of the answer.
  kLeaseFromStoreTime,
  /// A grant ends before the lease.
  kGrantWithinLease,
  /// Each change of owner has a higher fence.
  kFenceGrows,
  /// A grant bears the fence of the map that it comes from.
  kFenceOfMap,
  kCount,
};

/// Name of a rule for reports.
std::string Name(rule which);

/// A call to the store, under way. It may take effect at any time while its conditions hold.
enum class store_call : uint8_t { kNone, kWriteLease, kClaim, kHandOver, kReassign };

inline constexpr uint8_t kNobody = 3;

/// One node's process.
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
  // The machine that sent it, and whether the process that runs now did.
  uint8_t call_machine = 0;
  bool sent_by_current_process = false;
  bool awaiting_answer = false;
  // Conditions of the call still hold.
  bool map_unchanged = false;
  bool lease_row_unchanged = false;
  bool other_lease_unchanged = false;

  auto operator<=>(const process_state&) const = default;
};

/// One lease row.
struct lease_row {
  bool exists = false;
  bool expired = false;
  uint8_t machine = 0;
  // Written by the process that runs now.
  bool written_by_current_process = false;

  auto operator<=>(const lease_row&) const = default;
};

/// Everything.
struct state {
  std::array<process_state, 2> processes;
  std::array<lease_row, 2> leases;
  uint8_t owner = kNobody;
  uint8_t owner_node = kNobody;
  uint8_t fence = 0;
  std::array<bool, 3> target_holds{};
  // Target that took the key last, and its fence.
  uint8_t last_holder = kNobody;
  uint8_t last_fence = 0;
  bool fence_not_higher = false;
  uint8_t changes = 0;
  uint8_t restarts = 0;
  bool machine_moved = false;

  auto operator<=>(const state&) const = default;
};

/// How far the model goes.
struct limits {
  uint8_t changes = 3;
  uint8_t restarts = 1;
  bool move_machine = true;
};

/// What a search found.
struct search_result {
  size_t states = 0;
  /// The invariant that does not hold, or empty; and the steps that lead there.
  std::string violation;
  std::vector<std::string> trace;
  /// Every state was visited.
  bool complete = false;
};

/// Visits all states breadth first, with one rule broken or none.
search_result Search(rule broken, const limits& bounds, size_t max_states);

}  // namespace bulrushway::model

#endif  // BULRUSHWAY_TEST_LEASE_MODEL_H
