#ifndef BULRUSHWAY_SEALING_TARGET_H
#define BULRUSHWAY_SEALING_TARGET_H

// Stand-in of a target of the users' platform: it signs its answers, says who it is in heartbeats,
// and, where its service is divided by key, holds the keys that it is granted.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "delayed_calls.h"
#include "http_client.h"
#include "http_server.h"
#include "target_heartbeat.h"

namespace bulrushway::standin {

/// Who the target is and how it works.
struct sealing_target_settings {
  std::string id;
  std::string service;
  socket_address address;
  /// Where its heartbeats go.
  socket_address control;
  bool keyed = false;
  uint32_t slots = 12;
  std::chrono::milliseconds work_time{20};
  std::chrono::milliseconds heartbeat_interval{300};
};

/// The target.
class sealing_target {
 public:
  sealing_target(event_loop& loop, const sealing_target_settings& settings);

  result<void> Listen();
  /// Says from now on that it is leaving.
  void Drain() { draining_ = true; }
  /// Requests that come from now on take this long.
  void SetWorkTime(std::chrono::milliseconds work_time) { settings_.work_time = work_time; }
  /// Requests that ran, by the caller's id.
  const std::map<std::string, int>& Runs() const { return runs_; }
  /// Requests refused for another instance or a key not held.
  uint64_t Misdirected() const { return misdirected_; }
  bool Holds(uint32_t key) const;
  /// When the last acknowledgement of a heartbeat that said "draining" came.
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
  std::map<std::string, int> runs_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_SEALING_TARGET_H
