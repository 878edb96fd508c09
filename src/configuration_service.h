#ifndef BULRUSHWAY_CONFIGURATION_SERVICE_H
#define BULRUSHWAY_CONFIGURATION_SERVICE_H

// Executes the actions of the configuration follower: polls the platform, fetches documents from
// peers and the object store, sends new heads to peers, and puts adopted versions into force.

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

/// Keeps the configuration of this process up to date.
class configuration_service {
 public:
  configuration_service(event_loop& loop, event_log& log, http_table_service& table,
                        peer_mesh& peers, const fleet_view& fleet, rules_view& rules,
                        uint64_t seed);

  /// Sets the callback that runs after each adoption of a version.
  void OnAdopted(std::function<void(instant)> callback) { on_adopted_ = std::move(callback); }
  result<void> Start(instant now);
  void Stop(instant now);
  /// Polls the head immediately, on an operator's request.
  void Poke(instant now);
  /// Handles the messages of this module; ignores all others.
  void OnMessage(instant now, session_id from, const peer_message& message);
  /// Whether new work must be refused because the version has not been confirmed for max_staleness.
  bool TooStale(instant now) const { return follower_.TooStale(now); }
  /// Time since the version in force was last confirmed as the newest; absent when it never was.
  std::optional<std::chrono::milliseconds> Staleness(instant now) const {
    return follower_.Staleness(now);
  }
  /// Why no configuration is in force, as a sentence; empty when one is.
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
  // Last version that this process read from the platform itself.
  uint64_t polled_version_ = 0;
  bool missing_reported_ = false;
  instant started_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_SERVICE_H
