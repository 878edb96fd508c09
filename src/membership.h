#ifndef BULRUSHWAY_MEMBERSHIP_H
#define BULRUSHWAY_MEMBERSHIP_H

// How a process finds the others and owns keys: its own row in the table of members, the rows of
// the others, the maps of owners, and the stewards of the keys that its target may own.

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
#include "row_store.h"
#include "table_follower.h"

namespace bulrushway {

/// Keys that are divided between targets: those of a service, or those of them that are bound to a
/// region.
struct key_space {
  /// Name of the space's map of owners.
  std::string name;
  /// Only targets in this region may own keys; empty: all.
  std::string region;

  bool operator==(const key_space&) const = default;
};

/// Who this process is.
struct membership_settings {
  member_record self;
  /// Address of the machine. One that replaces another under the same name has another.
  std::string ip;
  /// Longest grant of keys that the target takes.
  std::chrono::milliseconds longest_grant{5000};
};

/// What the owner of the membership wants to hear.
struct membership_events {
  /// A row of another process has come, changed or gone.
  std::function<void(instant)> members_changed;
  /// Keys have changed owners.
  std::function<void(instant)> owners_changed;
  /// This process has given keys to the node: it should be told.
  std::function<void(instant, const std::string& node, const keys_assigned_notice&)> keys_assigned;
};

/// This process among the others.
class membership {
 public:
  membership(event_loop& loop, decision_log& log, metrics& counters, const row_store& store,
             fleet_view& fleet, membership_settings settings, membership_events events);

  /// Announces this process and begins to follow the others.
  void Start(instant now);
  /// The target beside this process may own keys of these spaces. Spaces are only ever added.
  void AddKeySpaces(instant now, const std::vector<key_space>& spaces);
  /// Keeps leases and carries out the next steps of the stewards.
  void Tick(instant now);
  /// The state of the target beside this process.
  void SetTarget(instant now, target_condition condition, const target_incarnation& incarnation);

  /// The steward of the space's keys; null when the target may own none of them.
  range_service* Find(const std::string& space);
  const range_service* Find(const std::string& space) const;
  /// Whether all leases are valid.
  bool Leased(instant now) const;
  /// Requests per second for the target's keys.
  double RequestRate(instant now) const;
  /// Whether no key is assigned to this node.
  bool OwnsNoKeys() const;

  /// The node that owns the key, by the map as last heard; empty while nobody does.
  std::string OwnerOf(const std::string& space, uint32_t key) const;
  /// What peers know is read at once, in case that the feeds have gone silent.
  void RefreshMembers(instant now) { member_follower_.Refresh(now); }
  void RefreshOwners(instant now) { key_map_follower_.Refresh(now); }
  /// Another process has given keys to this one.
  void OnKeysAssigned(instant now, const keys_assigned_notice& notice);

 private:
  struct managed_space {
    key_space space;
    std::unique_ptr<range_service> ranges;
  };

  void Announce();
  // Another process under the name of this node shows in its row.
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
  table_follower member_follower_;
  table_follower key_map_follower_;
  std::map<std::string, key_map> key_maps_;
  std::vector<managed_space> managed_;
  bool announced_ = false;
  bool announcing_ = false;
  timer announce_retry_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_MEMBERSHIP_H
