#ifndef BULRUSHWAY_RANGE_CONTROLLER_H
#define BULRUSHWAY_RANGE_CONTROLLER_H

// Decides who owns the keys of a divided service, on each node beside one of its targets. Three
// rules keep owners unique:
//   - a process changes the owner of its own target's keys only while its lease is valid, and only
//     once the target has given them up or their grant has run out;
//   - a process changes the owner of another node's keys only in a transaction that shows that
//     node's lease as ended, and deletes it;
//   - a target is granted keys only from a map that was read after the lease was acquired, never
//     beyond the end of the lease, and not while a change that gives them away may take effect.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "key_map.h"
#include "key_rates.h"
#include "process_lease.h"
#include "target_heartbeat.h"

namespace bulrushway {

/// What a process knows of a node beside a target of its service, itself included.
struct range_candidate {
  std::string node;
  target_incarnation target;
  /// Its process was heard of lately.
  bool alive = false;
  /// Its process says that its lease is valid.
  bool leased = false;
  /// Its target may be given keys: up, not leaving, not in a data centre taken out.
  bool accepting = false;
  /// Slots that its requests would keep busy, as a share of those it has; above 1 when it cannot
  /// keep up.
  double demand = 0;
  /// Share of the target's slots that one request per second keeps busy.
  double cost = 0;
};

/// State of the target beside this process.
enum class target_condition {
  /// Not heard of yet, or silent for too long to tell.
  kUnknown,
  kReady,
  /// Its keys are to go to others.
  kLeaving,
  /// Certainly not running.
  kDown,
};

/// A lease that was read together with the time of the store.
struct observed_lease {
  lease_record record;
  uint64_t version = 0;
};

/// A transaction that gives keys to new owners.
struct ownership_change {
  /// Version of the map that the change was worked out from; 0 when there is no map.
  uint64_t map_version = 0;
  key_map map;
  /// Leases that have ended, with their versions; they are deleted in the same transaction.
  std::vector<std::pair<std::string, uint64_t>> ended_leases;
  /// Nodes without a lease row, which must still have none.
  std::vector<std::string> absent_leases;
  /// For the log.
  std::string reason;
};

/// What the steward wants done.
enum class range_action { kNone, kReadMap, kReadLeases, kCommitChange };

/// Limits of grants and moves.
struct range_controller_settings {
  std::string node;
  /// Longest grant; also bounded by the rules of the platform.
  std::chrono::milliseconds max_grant{5000};
  /// A target's clock may run slow by this share.
  double max_clock_slowness = 0.02;
  /// The first deal waits until no target has joined for this long, so that it happens once.
  std::chrono::milliseconds settle_time{1500};
  /// Leases of suspects are read this often.
  std::chrono::milliseconds lease_check_interval{400};
  /// Pause between two moves that only balance the number of keys.
  std::chrono::milliseconds balance_interval{3000};
  /// An owner gives load away once it has had too much for this long: a target's pace changes
  /// several times a second, and a move costs its keys about a second.
  std::chrono::milliseconds relief_delay{1000};
  /// Pause between two moves that relieve an owner of load.
  std::chrono::milliseconds relief_interval{1500};
};

/// The steward of one target's keys.
class range_controller {
 public:
  /// `started`: start of the process. Grants of an earlier process of this node may still count.
  range_controller(const range_controller_settings& settings, instant started)
      : settings_(settings), started_(started) {}

  /// The map as the store has it; nullopt while there is no row.
  void OnMap(instant read_started, std::optional<key_map> map, uint64_t version);
  /// The process acquired its lease: maps read before do not count for grants any more.
  void OnLeaseAcquired(instant now);
  /// All leases of the service, with the store's time.
  void OnLeases(instant now, std::vector<observed_lease> leases, store_time store_now);
  /// The change was committed (with the map's new version), or was not.
  void OnChanged(instant now, result<uint64_t> outcome);
  void OnReadFailed() { reading_ = false; }

  /// A heartbeat of the target. What to answer; nothing is granted while the lease is not valid or
  /// the map is not known.
  std::optional<target_grant> OnHeartbeat(instant now, const target_heartbeat& heartbeat,
                                          std::chrono::milliseconds lease_left);
  /// The target's state, from heartbeats, failures and rules.
  void SetTarget(instant now, target_condition condition, const target_incarnation& incarnation);

  /// A request for the key came.
  void OnRequest(instant now, uint32_t key) { key_rates_.RecordRequest(now, key); }
  /// The target says that it does not hold a key that it was granted: the grant has not reached it
  /// yet, or has run out. Its range is not asked for for a moment.
  void OnNotHeld(instant now, uint32_t key);
  /// Requests per second for the target's keys.
  double RequestRate(instant now) const { return key_rates_.TotalRate(now); }

  /// Whether the target holds the key now.
  bool Holds(instant now, uint32_t key) const { return Fence(now, key).has_value(); }
  /// The fencing token under which it does.
  std::optional<uint64_t> Fence(instant now, uint32_t key) const;
  /// Whether the map assigns the key to this node.
  bool Owns(uint32_t key) const;
  /// The next step. After kReadMap, kReadLeases and kChange the outcome has to be handed in before
  /// the next call returns another.
  range_action NextAction(instant now, const std::vector<range_candidate>& candidates,
                          bool lease_valid);
  /// The change wished for.
  const ownership_change& change() const { return change_; }

  const key_map& map() const { return map_; }
  uint64_t map_version() const { return map_version_; }
  bool MapKnown() const { return map_known_; }
  bool HasPendingReleases() const { return !pending_releases_.empty(); }

 private:
  // Keys that are no longer granted, on their way to another owner.
  struct pending_release {
    key_range keys;
    // The target's last grant of them ends before this.
    instant grant_end;
    bool released = false;
    std::string handover = {};
    // Empty: any.
    std::string new_node = {};
  };

  bool IsReleasing(const key_range& keys) const;
  // Notes which keys of the target the change gives away.
  void RecordReassignedKeys();
  // Whether a change that gives the keys away may still take effect.
  bool MayBeReassigned(const key_range& keys) const;
  void RecordReleased(const target_heartbeat& heartbeat);
  const granted_range* FindGranted(uint32_t key) const;
  void DropFinishedReleases();
  // When the target's last grant of the range ends at the latest.
  instant GrantEnd(const owned_range& range) const;
  void AssignInitialOwners(const std::vector<range_candidate>& candidates);
  bool MoveOwnKeys(instant now, const std::vector<range_candidate>& candidates);
  bool ReassignOrphans(instant now, const std::vector<range_candidate>& candidates,
                       bool& needs_leases);
  void StartReleases(instant now, const std::vector<range_candidate>& candidates);
  void StartBalancing(instant now, const std::vector<range_candidate>& candidates);
  // Whether the node has its share of the load, however few keys it has.
  static bool IsLoaded(const std::vector<range_candidate>& candidates, const std::string& node);
  bool StartRelief(instant now, const std::vector<range_candidate>& candidates);
  void StartRelease(instant now, const key_range& keys, const std::string& new_node);
  bool IsCoordinator(const std::vector<range_candidate>& candidates) const;
  range_owner Self() const { return {settings_.node, incarnation_}; }

  range_controller_settings settings_;
  instant started_;
  key_map map_;
  bool map_known_ = false;
  // A change failed at this time: the map is to be read again.
  std::optional<instant> map_stale_since_;
  uint64_t map_version_ = 0;
  // A map whose reading began before this instant does not count for grants.
  instant map_required_since_{};
  instant map_read_at_{};
  bool reading_ = false;
  bool changing_ = false;
  ownership_change change_;

  target_condition condition_ = target_condition::kUnknown;
  target_incarnation incarnation_;
  std::vector<granted_range> granted_;
  instant granted_until_{};
  // By fence: ranges that the target did not hold when it was asked, until when they are left
  // alone.
  std::map<uint64_t, instant> not_held_until_;
  std::map<uint64_t, instant> grant_ends_;
  std::vector<pending_release> pending_releases_;
  // Keys of the target that changes of this version of the map give away. Such a change may take
  // effect, also after its answer was lost, until the map has another version.
  std::vector<key_range> reassigned_keys_;
  uint64_t reassigned_at_version_ = 0;

  std::vector<std::string> last_candidates_;
  instant candidates_changed_at_{};
  std::map<std::string, observed_lease> leases_;
  store_time leases_store_time_{0};
  instant leases_read_at_{};
  bool leases_known_ = false;
  instant last_balance_at_{};
  instant last_relief_at_{};
  // Since when this owner has had too much load.
  std::optional<instant> overloaded_since_;
  key_rates key_rates_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_RANGE_STEWARD_H
