#ifndef BULRUSHWAY_RANGE_CONTROLLER_H
#define BULRUSHWAY_RANGE_CONTROLLER_H

// Decides which target owns which keys of a service. Runs on each node that has a target of the
// service. Three rules keep owners unique:
//   - a process reassigns its own target's keys only while its lease is valid, and only after the
//     target has released them or their grant has expired;
//   - a process reassigns another node's keys only after that node's lease has ended, in a
//     transaction that fails if the lease row has changed and deletes the row;
//   - a process grants keys to its target only from a map that was read after the lease was
//     acquired, never beyond the end of the lease, and not while a transaction that reassigns them
//     may still take effect.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "call_grants.h"
#include "clock.h"
#include "heartbeat_grants.h"
#include "key_map.h"
#include "key_rates.h"
#include "process_lease.h"
#include "retry_backoff.h"
#include "store_era.h"
#include "target_heartbeat.h"

namespace bulrushway {

/// State of a node that has a target of the service, as this process sees it. The process's own
/// node is a candidate too.
struct range_candidate {
  std::string node;
  target_incarnation target;
  /// The node's process is reachable and has sent a report.
  bool alive = false;
  /// The process reports a valid lease.
  bool leased = false;
  /// Keys may be assigned to the target: it is up, not leaving, and its data centre is in service.
  bool accepting = false;
  /// Capacity that the requests for the target's keys need, as a share of what it has; above 1 when
  /// the target is overloaded.
  double demand = 0;
  /// Share of the target's capacity that one request per second needs.
  double cost = 0;
};

/// State of this process's target.
enum class target_condition {
  /// No heartbeat yet, or none for too long to tell.
  kUnknown,
  kReady,
  /// Its keys are to be reassigned.
  kLeaving,
  /// Certainly not running.
  kDown,
};

/// Name of the condition in logs.
inline std::string_view Name(target_condition condition) {
  switch (condition) {
    case target_condition::kReady:
      return "ready";
    case target_condition::kLeaving:
      return "leaving";
    case target_condition::kDown:
      return "down";
    case target_condition::kUnknown:
      break;
  }
  return "unknown";
}

/// A lease row as read from the store.
struct observed_lease {
  lease_record record;
  uint64_t version = 0;
};

/// A transaction that assigns keys to new owners.
struct ownership_change {
  /// Version of the map that the change is based on; 0 if there was no map.
  uint64_t map_version = 0;
  /// The map after the change.
  key_map map;
  /// Nodes whose leases have ended, with the versions of the lease rows, which the change deletes.
  std::vector<std::pair<std::string, uint64_t>> ended_leases;
  /// Nodes without a lease row; the transaction requires that they still have none.
  std::vector<std::string> absent_leases;
  /// Reason for the log and the metric of ownership changes.
  std::string reason;
};

/// Next action of the controller.
enum class range_action { kNone, kReadMap, kReadLeases, kCommitChange };

/// Limits of grants and moves.
struct range_controller_settings {
  std::string node;
  /// How grants reach the target.
  grant_delivery_kind delivery = grant_delivery_kind::kHeartbeat;
  /// Limits of grants; membership also limits them by the platform's rules.
  grant_limits grants;
  /// The initial assignment waits until the candidates have not changed for this long, so that it
  /// happens only once.
  std::chrono::milliseconds settle_time{1500};
  /// Interval between reads of the leases while a node that owns keys seems to be gone.
  std::chrono::milliseconds lease_check_interval{400};
  /// Minimum time between two moves that only balance the number of keys.
  std::chrono::milliseconds balance_interval{3000};
  /// An owner sheds load only after it has been overloaded for this long: a target's speed varies
  /// several times a second, and a move makes its keys unavailable for about a second.
  std::chrono::milliseconds relief_delay{1000};
  /// Minimum time between two rounds of moves that relieve an owner of load.
  std::chrono::milliseconds relief_interval{1500};
  /// Leases that the store acknowledged before it returned from a copy have ended this long after:
  /// the duration of a lease, and the error of the clocks.
  std::chrono::milliseconds return_settle_time{5800};
};

/// Controls the ownership of one target's keys.
class range_controller {
 public:
  /// `started`: start of the process. Grants of the node's previous process may still run.
  range_controller(const range_controller_settings& settings, instant started);

  /// Reports the map as read from the store, with the version of its row.
  void OnMap(instant read_started, key_map map, uint64_t version);
  /// Reports that the store, in this era, has no map.
  void OnNoMap(instant read_started, uint64_t era);
  /// Reports that the store's present era has lasted for at least `age`, and how long the lease of
  /// the process lasts. Must be called before anything that was read in a later era is reported.
  /// Returns whether the era is later than the one known before.
  bool OnStoreEra(instant now, uint64_t era, std::chrono::milliseconds age,
                  std::chrono::milliseconds lease_left);
  /// Reports that the process acquired its lease. Grants then need a map that is read afterwards.
  void OnLeaseAcquired(instant now);
  /// Reports all leases of the service and the store's time when they were read.
  void OnLeases(instant now, std::vector<observed_lease> leases, store_time store_now);
  /// Reports the outcome of the change: the new version of the map, or an error.
  void OnChanged(instant now, result<uint64_t> outcome);
  void OnReadFailed(instant now);
  /// The store answered another call of this process: a read that failed is tried again at once.
  void OnStoreAnswered() { next_read_ = {}; }

  /// Processes a heartbeat of the target and returns the grant to answer with; nullopt if the lease
  /// is not valid, the map is not current, the heartbeat is of another incarnation, or grants reach
  /// the target by calls.
  std::optional<target_grant> OnHeartbeat(instant now, const target_heartbeat& heartbeat,
                                          std::chrono::milliseconds lease_left);
  /// Returns the grants and releases to send to the target now, if it receives them by calls. The
  /// outcome of each must be reported.
  std::vector<grant_call> NextCalls(instant now, std::chrono::milliseconds lease_left);
  /// Reports the outcome of a call.
  void OnCallOutcome(instant now, const grant_call& call, const grant_call_outcome& outcome);
  /// An idle connection to the target was closed: another incarnation may use its address.
  void OnTargetDisconnected();
  /// Sets the target's state, as derived from heartbeats, failures and rules. `ended_before`: no
  /// incarnation that was reached before this instant still runs.
  void SetTarget(instant now, target_condition condition, const target_incarnation& incarnation,
                 instant ended_before = {});

  /// Records a request for the key.
  void OnRequest(instant now, uint32_t key) { key_rates_.RecordRequest(now, key); }
  /// Reports that the target does not hold a key that it was granted: the grant has not reached it
  /// yet, or has expired. For a short time, Fence treats the key's range as not held.
  void OnNotHeld(instant now, uint32_t key);
  /// Requests per second for the target's keys.
  double RequestRate(instant now) const { return key_rates_.TotalRate(now); }

  /// Whether the target holds the key at `now`.
  bool Holds(instant now, uint32_t key) const { return Fence(now, key).has_value(); }
  /// Returns the fencing token under which the target holds the key; nullopt if it does not.
  std::optional<uint64_t> Fence(instant now, uint32_t key) const;
  /// Whether the map assigns the key to this node.
  bool Owns(uint32_t key) const;
  /// Returns the next action. After kReadMap, kReadLeases or kCommitChange, returns kNone until the
  /// outcome has been reported.
  range_action NextAction(instant now, const std::vector<range_candidate>& candidates,
                          bool lease_valid);
  /// The change to commit after kCommitChange.
  const ownership_change& change() const { return change_; }

  const key_map& map() const { return map_; }
  uint64_t map_version() const { return map_version_; }
  bool MapKnown() const { return map_known_; }
  /// Whether all leases that the store acknowledged before it last returned from a copy have ended.
  bool Settled(instant now) const { return era_.Settled(now, settings_.return_settle_time); }
  /// Number of handovers, sent by targets or stored in the map, that could not be passed on. Their
  /// keys are granted without them.
  uint64_t UnusableHandovers() const { return unusable_handovers_; }
  bool HasPendingReleases() const { return !pending_releases_.empty(); }
  grant_delivery_kind delivery() const { return settings_.delivery; }

 private:
  // Keys that are not granted to the target any more and will be reassigned.
  struct pending_release {
    key_range keys;
    // Fencing token under which the target holds the keys.
    uint64_t fence;
    // The target's last grant of the keys ends by this instant.
    instant grant_end;
    // The target has confirmed that it does not hold the keys.
    bool released = false;
    std::string handover = {};
    // Node that is to own the keys if its target accepts them then; empty: any node.
    std::string new_node = {};
    // Delivery by calls: whether a release awaits its answer, and when the next may be sent.
    bool call_in_flight = false;
    instant next_call = {};
  };

  void OnMapRead(instant read_started, uint64_t era);
  bool IsReleasing(const key_range& keys) const;
  // Takes over the handover of released keys, unless there is one already.
  void TakeHandover(pending_release& pending, const std::string& handover);
  // Records which of the target's keys the change assigns to other nodes.
  void RecordReassignedKeys();
  // Whether a change that assigns the keys to another node may still take effect.
  bool MayBeReassigned(const key_range& keys) const;
  void RecordReleased(const target_heartbeat& heartbeat);
  // Applies `use` to the delivery of grants.
  template <class Use>
  auto WithGrants(Use use) const {
    return std::visit([&use](const grant_delivery auto& grants) { return use(grants); }, grants_);
  }
  template <class Use>
  auto WithGrants(Use use) {
    return std::visit([&use](grant_delivery auto& grants) { return use(grants); }, grants_);
  }
  call_grants* ByCall() { return std::get_if<call_grants>(&grants_); }
  const call_grants* ByCall() const { return std::get_if<call_grants>(&grants_); }
  // Whether the target may be another incarnation than the one that was sent this fence.
  bool FenceMayBelongToOther(uint64_t fence) const {
    return ByCall() != nullptr && ByCall()->MayBelongToOther(fence);
  }
  // Whether the target has refused a grant under this fence for a higher one.
  bool HigherFenceSeen(uint64_t fence) const {
    return ByCall() != nullptr && ByCall()->HigherFenceSeen(fence);
  }
  // Ranges that the target may be granted; parts that are being released or reassigned are
  // excluded, and the rest keeps its fence.
  std::vector<granted_range> PermittedRanges() const;
  bool MapIsFresh() const {
    return map_known_ && map_read_at_ >= map_required_since_ && map_era_ >= era_.era();
  }
  // Whether the range was assigned since the store last returned from a copy.
  bool IsOfPresentEra(const owned_range& range) const;
  // Whether the node's keys may be released: all are of the present era, or all leases from before
  // have ended.
  bool MayReleaseKeys(instant now) const;
  // Assigns the keys of the claim to the target under new fences. Returns whether this changes the
  // map.
  bool ClaimOwnKeys();
  bool HasClaim(instant now) const { return claim_ && now < claim_->until; }
  bool IsFinished(instant now, const pending_release& pending) const;
  void DropFinishedReleases();
  // Tells the grants which fences are assigned to this node.
  void ReportAssignedFences();
  // Starts the read, unless the last one failed just now.
  range_action StartRead(instant now, range_action read);
  // Fills in a change that is not a claim. Returns false if there is nothing to change; sets
  // `needs_leases` if that cannot be told without the leases.
  bool PlanChange(instant now, const std::vector<range_candidate>& candidates, bool& needs_leases);
  void AssignInitialOwners(const std::vector<range_candidate>& candidates);
  // Whether the target, which is down or another incarnation than the owner, may hold the keys.
  bool MayBeHeld(instant now, const key_range& keys) const;
  // Why a target that is ready needs new fences for a range that it owns; empty if it does not.
  std::string NewFenceReason(const owned_range& range) const;
  bool MoveOwnKeys(instant now, const std::vector<range_candidate>& candidates);
  bool ReassignOrphans(instant now, const std::vector<range_candidate>& candidates,
                       bool& needs_leases);
  void StartReleases(instant now, const std::vector<range_candidate>& candidates);
  void StartBalancing(instant now, const std::vector<range_candidate>& candidates);
  // Whether the node has enough load that it needs no more keys, however few it has.
  static bool IsLoaded(const std::vector<range_candidate>& candidates, const std::string& node);
  bool StartRelief(instant now, const std::vector<range_candidate>& candidates);
  void StartRelease(instant now, const key_range& keys, const std::string& new_node);
  bool IsCoordinator(const std::vector<range_candidate>& candidates) const;
  range_owner Self() const { return {settings_.node, incarnation_}; }

  range_controller_settings settings_;
  std::variant<heartbeat_grants, call_grants> grants_;
  key_map map_;
  bool map_known_ = false;
  // When a change failed. The map must be read again after that.
  std::optional<instant> map_stale_since_;
  uint64_t map_version_ = 0;
  // Grants need a map whose read was started at this instant or later.
  // Unset until the lease was first acquired.
  instant map_required_since_{};
  // The fences that an earlier process of this node may have granted are known.
  bool inherited_fences_known_ = false;
  instant map_read_at_{};
  // Era of the store when the map was read.
  uint64_t map_era_ = 0;
  bool reading_ = false;
  instant next_read_{};
  // Each owner reads the map and the leases for itself.
  retry_backoff read_backoff_{std::chrono::milliseconds{100}, std::chrono::milliseconds{800}};
  bool changing_ = false;
  store_era era_;
  // What this process knew of its keys when the store returned from a copy, until it has claimed
  // them.
  struct key_claim {
    key_map map;
    std::vector<key_range> keys;
    // End of the lease from before the return.
    instant until;
  };
  std::optional<key_claim> claim_;
  ownership_change change_;

  target_condition condition_ = target_condition::kUnknown;
  target_incarnation incarnation_;
  std::vector<pending_release> pending_releases_;
  // Keys of the target that changes based on this version of the map assign to other nodes. Such a
  // change may take effect, even after its answer was lost, until the map has another version.
  std::vector<key_range> reassigned_keys_;
  uint64_t reassigned_at_version_ = 0;
  uint64_t unusable_handovers_ = 0;

  std::vector<std::string> last_candidates_;
  instant candidates_changed_at_{};
  std::map<std::string, observed_lease> leases_;
  store_time leases_store_time_{0};
  instant leases_read_at_{};
  bool leases_known_ = false;
  instant last_balance_at_{};
  instant last_relief_at_{};
  // When this owner became overloaded.
  std::optional<instant> overloaded_since_;
  key_rates key_rates_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_RANGE_CONTROLLER_H
