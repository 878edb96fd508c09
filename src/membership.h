#ifndef BULRUSHWAY_MEMBERSHIP_H
#define BULRUSHWAY_MEMBERSHIP_H

// Membership of a process in the fleet. Writes the process's row to the member table, follows the
// rows of other processes and the key maps, and runs a range service for each key space in which
// the process's target may own keys.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decision_log.h"
#include "event_loop.h"
#include "fleet_view.h"
#include "metrics.h"
#include "range_service.h"
#include "retry_backoff.h"
#include "row_store.h"
#include "table_follower.h"

namespace bulrushway {

/// A set of keys that are divided among targets: all keys of a service, or a partition of them that
/// is bound to a region.
struct key_space {
  /// Name of the space's key map.
  std::string name;
  /// Only targets in this region may own keys; empty: targets in all regions.
  std::string region;

  bool operator==(const key_space&) const = default;
};

/// Identity of this process, and its limits.
struct membership_settings {
  member_record self;
  /// IP address of the machine. It tells a replacement machine with the same node name apart.
  std::string ip;
  /// Longest grant that the target accepts.
  std::chrono::milliseconds longest_grant{5000};
  /// How grants reach the target.
  grant_delivery_kind grants = grant_delivery_kind::kHeartbeat;
};

/// Callbacks of membership.
struct membership_events {
  /// Rows of other processes were added, changed or deleted.
  std::function<void(instant)> members_changed;
  /// Key maps have changed.
  std::function<void(instant)> owners_changed;
  /// This process has changed a key map, of which all others should be notified.
  std::function<void(instant, const key_map_change&)> key_map_changed;
};

/// Membership of this process.
class membership {
 public:
  membership(event_loop& loop, decision_log& log, metrics& counters, const row_store& store,
             fleet_view& fleet, membership_settings settings, membership_events events,
             grant_call_function call_target = {});

  /// Writes this process's row and starts to follow the tables.
  void Start(instant now);
  /// Lets this process's target own keys of these spaces. Known spaces are ignored; spaces are
  /// never removed.
  void AddKeySpaces(instant now, const std::vector<key_space>& spaces);
  /// Maintains the leases and carries out the next action of each range controller.
  void Tick(instant now);
  /// Reports that the store's present era has lasted for at least `age`.
  void OnStoreEra(instant now, uint64_t era, std::chrono::milliseconds age);
  /// The store has returned from a copy, which may lack this process's row or those of others.
  void OnStoreReturned(instant now);
  /// Sets the state of this process's target. `ended_before`: no incarnation that was reached
  /// before this instant still runs.
  void SetTarget(instant now, target_condition condition, const target_incarnation& incarnation,
                 instant ended_before = {});

  /// An idle connection to the target was closed.
  void OnTargetDisconnected();
  /// Returns the range service of the space; null if the target may not own its keys.
  range_service* Find(const std::string& space);
  const range_service* Find(const std::string& space) const;
  /// Whether there are key spaces and all their leases are valid.
  bool Leased(instant now) const;
  /// Requests per second for the target's keys.
  double RequestRate(instant now) const;
  /// Whether no key is assigned to this node.
  bool OwnsNoKeys() const;

  /// Returns the node that owns the key by the latest map received; empty if the key has no owner.
  std::string OwnerOf(const std::string& space, uint32_t key) const;
  /// Reads the member table at once, in case the change feed has stalled.
  void RefreshMembers(instant now) { member_follower_.Refresh(now); }
  /// Reads the key maps at once, in case the change feed has stalled.
  void RefreshOwners(instant now) { key_map_follower_.Refresh(now); }
  /// Followers of the tables of members and key maps.
  table_follower& member_follower() { return member_follower_; }
  table_follower& key_map_follower() { return key_map_follower_; }
  /// Handles a change of a key map by another process.
  void OnKeyMapChange(instant now, const key_map_change& change);

 private:
  struct managed_space {
    key_space space;
    std::unique_ptr<range_service> ranges;
  };

  void Announce();
  // Logs if another process has written the row of this node's name.
  void CheckOwnRow(const stored_row& row);
  void OnMemberRows(instant now, const std::vector<stored_row>& rows);
  void OnKeyMapRows(instant now, instant sent, const std::vector<stored_row>& rows);
  std::vector<range_candidate> Candidates(const key_space& space) const;

  decision_log& log_;
  metrics& metrics_;
  const row_store& store_;
  fleet_view& fleet_;
  membership_settings settings_;
  membership_events events_;
  grant_call_function call_target_;
  table_follower member_follower_;
  table_follower key_map_follower_;
  struct known_map {
    key_map map;
    uint64_t version = 0;
  };
  std::map<std::string, known_map> key_maps_;
  std::vector<managed_space> managed_;
  // Until then, rows of the store may be older than what this process knows of live members.
  instant rows_outdated_until_{};
  uint64_t store_era_ = 0;
  bool announced_ = false;
  bool announcing_ = false;
  retry_backoff announce_backoff_;
  timer announce_retry_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_MEMBERSHIP_H
