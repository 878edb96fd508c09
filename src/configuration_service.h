#ifndef BULRUSHWAY_CONFIGURATION_SERVICE_H
#define BULRUSHWAY_CONFIGURATION_SERVICE_H

// Carries out what the configuration follower decides: polls the platform, fetches documents from
// peers and the object store, tells peers of new heads, and puts adopted versions in force.

#include <functional>
#include <map>
#include <string>

#include "configuration_follower.h"
#include "configuration_store.h"
#include "event_log.h"
#include "event_loop.h"
#include "http_table_service.h"
#include "peer_mesh.h"
#include "rules_view.h"

namespace bulrushway {

/// The configuration of this process.
class configuration_service {
 public:
  configuration_service(event_loop& loop, event_log& log, http_table_service& table,
                        peer_mesh& peers, const fleet_view& fleet, rules_view& rules,
                        uint64_t seed);

  /// Calls `adopted` after each adoption.
  void OnAdopted(std::function<void(instant)> callback) { on_adopted_ = std::move(callback); }
  result<void> Start(instant now);
  void Stop(instant now);
  /// Reads the head now: an operator says that it has changed.
  void Poke(instant now);
  /// A message of this module arrived on a connection; other messages are left alone.
  void OnMessage(instant now, connection_id from, const peer_message& message);
  /// Whether the rules forbid new work because they have not been confirmed for too long.
  bool TooStale(instant now) const { return follower_.TooStale(now); }
  /// Time since the version in force was known to be the newest; absent when it never was.
  std::optional<std::chrono::milliseconds> Staleness(instant now) const {
    return follower_.Staleness(now);
  }
  /// Why there is no configuration; empty when there is one.
  std::string WhyNotConfigured() const { return follower_.WhyNotConfigured(); }

 private:
  void Tick(instant now);
  void RequestFreshness(instant now);
  void RefreshMembers(instant now);
  void OnHead(instant now, instant sent, const std::vector<table_row>& rows);
  void Run(instant now, const follower_actions& actions);
  void Perform(instant now, const poll_head& action);
  void Perform(instant now, const fetch_document& action);
  void Perform(instant now, const adopt_configuration& action);
  void Perform(instant now, const publish_head& action);
  void Perform(instant now, const report_event& action);

  event_log& log_;
  http_table_service& table_;
  peer_mesh& peers_;
  const fleet_view& fleet_;
  rules_view& rules_;
  configuration_follower follower_;
  timer tick_;
  std::function<void(instant)> on_adopted_;
  std::map<uint64_t, instant> pending_freshness_;
  uint64_t freshness_sequence_ = 0;
  instant next_freshness_request_;
  live_members members_;
  // Newest version that this process has read from the platform itself.
  uint64_t polled_version_ = 0;
  bool missing_reported_ = false;
  instant started_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_SERVICE_H
