#ifndef BULRUSHWAY_SEALING_TARGET_H
#define BULRUSHWAY_SEALING_TARGET_H

// Stand-in for a target of the users' platform: it adds a seal to its answers, reports itself in
// heartbeats and, if its service is keyed, serves only the key ranges granted to it.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "delayed_calls.h"
#include "http_client.h"
#include "http_server.h"
#include "target_heartbeat.h"

namespace bulrushway::standin {

/// Settings of a target.
struct sealing_target_settings {
  std::string id;
  std::string service;
  socket_address address;
  /// Address in heartbeats, where another one than `address` leads to the target.
  std::optional<socket_address> announced_address = {};
  /// Address that heartbeats are sent to.
  socket_address control;
  bool keyed = false;
  /// Keys are granted by calls to the target, not in the answers to its heartbeats.
  bool granted_by_calls = false;
  /// Every n-th grant is not answered, and carried out late; 0: none.
  uint64_t late_grant_every = 0;
  uint32_t slots = 12;
  std::chrono::milliseconds work_time{20};
  std::chrono::milliseconds heartbeat_interval{300};
};

/// A request that a target ran.
struct execution {
  std::string request_id;
  /// Headers as received.
  header_list headers;
  instant started_at{};
  /// Requests that ran when it started, itself included.
  uint32_t running = 0;
};

/// Server of one target.
class sealing_target {
 public:
  sealing_target(event_loop& loop, const sealing_target_settings& settings);

  result<void> Listen();
  /// Reports the state "draining" in all further heartbeats.
  void Drain() { draining_ = true; }
  /// Sets the work time of requests that arrive later.
  void SetWorkTime(std::chrono::milliseconds work_time) { settings_.work_time = work_time; }
  /// Number of executions by request id.
  const std::map<std::string, int>& Runs() const { return runs_; }
  /// Executions in the order of their start.
  const std::vector<execution>& Executions() const { return executions_; }
  /// Requests refused because they are for another instance or a key that is not granted.
  uint64_t Misdirected() const { return misdirected_; }
  bool Holds(uint32_t key) const;
  /// True once a heartbeat with the state "draining" has been acknowledged.
  bool DrainAcknowledged() const { return drain_acknowledged_; }

 private:
  using exchange_pointer = std::shared_ptr<http_exchange>;
  struct key_grant {
    key_range keys;
    uint64_t fence = 0;
    instant expires_at;
  };

  void Handle(const exchange_pointer& call);
  void SendHeartbeat();
  void ApplyGrants(instant sent, const std::string& text);
  void HandleGrant(const exchange_pointer& call);
  void HandleRelease(const exchange_pointer& call);
  // Removes the keys from all grants.
  void DropKeys(const key_range& keys);

  event_loop& loop_;
  sealing_target_settings settings_;
  http_server server_;
  http_client client_;
  delayed_calls delayed_;
  timer heartbeat_timer_;
  int64_t started_ms_;
  uint64_t sequence_ = 0;
  bool draining_ = false;
  bool drain_acknowledged_ = false;
  uint32_t running_ = 0;
  uint64_t misdirected_ = 0;
  std::vector<key_grant> grants_;
  std::vector<released_range> released_;
  std::vector<held_range> seen_fences_;
  uint64_t grants_received_ = 0;
  std::map<std::string, int> runs_;
  std::vector<execution> executions_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_SEALING_TARGET_H
