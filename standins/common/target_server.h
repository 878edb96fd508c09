#ifndef BULRUSHWAY_TARGET_SERVER_H
#define BULRUSHWAY_TARGET_SERVER_H

// Server of the target stand-in: runs requests in slots and simulates faults of targets.

#include <deque>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "delayed_calls.h"
#include "event_loop.h"
#include "execution_log.h"
#include "http_server.h"
#include "open_sockets.h"
#include "service_times.h"
#include "target_faults.h"
#include "target_request.h"

namespace bulrushway::standin {

/// Settings of a target stand-in.
struct target_settings {
  std::string name = "target";
  /// Identifies the incarnation of the target.
  std::string boot_id;
  socket_address listen;
  uint64_t slots = 12;
  /// Maximum number of requests that wait for a slot; further ones are shed as not run.
  uint64_t queue = 100;
  /// Maximum number of open connections; requests beyond it are refused as not run.
  uint64_t connections = 130;
  service_settings service;
  bool check_grants = false;
  /// Padding in each answer, in bytes.
  uint64_t padding = 200;
  uint64_t seed = 1;
};

/// Server of one target.
class target_server {
 public:
  target_server(event_loop& loop, target_settings settings, instant now);

  /// Starts listening.
  result<void> Start(instant now);
  /// Does nothing: a target keeps no state across restarts.
  void Stop(instant) {}

 private:
  struct pending_request;
  struct load_sample {
    instant at;
    uint64_t running = 0;
    uint64_t waiting = 0;
  };
  struct counters {
    uint64_t arrivals = 0;
    uint64_t done = 0;
    uint64_t cancelled = 0;
    uint64_t shed = 0;
    uint64_t refused_grants = 0;
    uint64_t over_connections = 0;
    uint64_t past_deadline = 0;
    uint64_t largest_running = 0;
  };
  using exchange_pointer = std::shared_ptr<http_exchange>;
  using pending_pointer = std::shared_ptr<pending_request>;

  void Handle(const exchange_pointer& caller);
  void HandleControl(const exchange_pointer& caller, const std::string& path, instant now);
  void HandleFaults(const exchange_pointer& caller, instant now);
  void AdmitWhenNotFrozen(const pending_pointer& pending, instant now);
  void Admit(const pending_pointer& pending, instant now);
  bool RefuseBeforeQueueing(const pending_pointer& pending);
  void StartWaitingRequests(instant now);
  void Run(const pending_pointer& pending, instant now);
  void Finish(const pending_pointer& pending, instant now);
  void OnCancelled(const pending_pointer& pending);
  void ReleaseSlot(const pending_pointer& pending, instant now);
  void SendAnswer(const pending_pointer& pending);
  void Refuse(const pending_pointer& pending, int status, const std::string& reason);
  http_answer WithBootId(http_answer answer) const;
  std::string HealthReport(instant now) const;
  std::string LoadReport(instant now) const;
  std::string ExecutionReport(bool all_ids, instant now) const;
  void SampleLoad(instant now);

  event_loop& loop_;
  target_settings settings_;
  target_faults faults_;
  service_times times_;
  std::mt19937_64 random_;
  grant_checker grant_checker_;
  execution_log executions_;
  counters counters_;
  std::deque<pending_pointer> waiting_;
  uint64_t running_ = 0;
  std::set<socket_address> seen_connections_;
  std::set<socket_address> silent_connections_;
  std::list<exchange_pointer> unanswered_;
  std::deque<load_sample> samples_;
  std::string last_request_id_;
  delayed_calls delayed_;
  timer sample_timer_;
  open_sockets sockets_;
  std::unique_ptr<http_server> server_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_TARGET_SERVER_H
