#ifndef BULRUSHWAY_TARGET_GATE_H
#define BULRUSHWAY_TARGET_GATE_H

// The gate beside a target: the only way to it. Whatever process asks, the gate hands a request
// over only while the target takes requests, holds the request's key and has a slot. Each refusal
// says truthfully whether the target may have run the request; that is decided in one place, from
// one fact: whether bytes of the request were handed to a connection of the target.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "crash_watch.h"
#include "decision_log.h"
#include "header_names.h"
#include "http_client.h"
#include "link_queue.h"
#include "metrics.h"
#include "own_target.h"
#include "peer_messages.h"
#include "slot_queue.h"

namespace bulrushway {

/// Load that a target tells with an answer.
struct reported_load {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  /// How long work takes on its machine at the moment, in percent of the usual.
  uint32_t pace_percent = 100;
};

/// What the gate asks of the rest of the process.
struct target_gate_ports {
  /// Whether the service divides its keys between targets.
  std::function<bool()> keyed;
  /// Whether the target holds the key now, by grants and lease.
  std::function<bool(instant, uint32_t key)> holds;
  /// A request for the key came, whether it is served or not.
  std::function<void(instant, uint32_t key)> on_request;
  /// The target says that it does not hold a key that it was believed to hold.
  std::function<void(instant, uint32_t key)> on_key_lost;
  /// Why the key is not held, and when that may change.
  std::function<std::pair<refusal_reason, std::chrono::milliseconds>(instant, uint32_t key)>
      why_not_held;
  /// The node that owns a key that this one does not; empty when it is not known.
  std::function<std::string(uint32_t key)> other_owner;
  /// Whether operators have taken the target's data centre out of service.
  std::function<bool(instant)> evacuated;
  /// The target crashed while requests were at it: peers should know which.
  std::function<void(instant)> suspects_changed;
  /// Bytes of large answers that wait for the machine's link.
  std::function<size_t()> unsent_bytes;
  /// Reads the load header.
  std::function<std::optional<reported_load>(const std::string&)> parse_load;
};

/// Fixed properties of the gate.
struct target_gate_settings {
  socket_address address;
  std::string service;
  std::string region;
  header_names headers;
  /// What the machine's link carries each way; 0: unknown, taken for ample.
  double link_bytes_per_second = 0;
  /// What it carries of large answers.
  double large_bytes_per_second = 0;
};

/// Hands requests to one target.
class target_gate {
 public:
  using reply = std::function<void(instant, dispatch_answer)>;
  using ticket = uint64_t;

  target_gate(event_loop& loop, metrics& counters, decision_log& log, own_target& target,
              target_gate_settings settings, target_gate_ports ports, uint64_t seed);
  ~target_gate();

  /// Takes a request; `done` is called once, possibly at once.
  ticket Handle(instant now, dispatch_request request, reply done);
  /// The caller went away. A waiting request is dropped; a running one is cancelled at the target
  /// if it is idempotent, since others may as well end what has begun.
  void Cancel(instant now, ticket id);
  /// Expires waiting requests and follows changes of the target's state.
  void Tick(instant now);
  /// A policy of the service came with a configuration.
  void SetPolicy(uint32_t connections, double cold_rate, double cold_burst);

  /// Requests that crash targets, as this process and its peers know them.
  poison_registry& poison() { return poison_; }

  /// For reports to other processes.
  target_report Report(instant now) const;
  /// Whether the request is waiting or running.
  bool Contains(ticket id) const { return pending_requests_.contains(id); }
  size_t Running() const { return running_.size(); }
  size_t Waiting() const { return queue_.Waiting(); }

 private:
  struct pending_request;
  using pending_request_ptr = std::shared_ptr<pending_request>;

  std::optional<std::pair<refusal_reason, std::chrono::milliseconds>> CheckAdmission(
      instant now, const dispatch_request& request) const;
  // Why a large answer would leave too late, and when the link has room.
  std::optional<std::pair<refusal_reason, std::chrono::milliseconds>> CheckLink(
      instant now, const pending_request& pending) const;
  void RemoveRequest(const pending_request& pending);
  void SendToTarget(instant now, const pending_request_ptr& pending);
  void PopQueue(instant now);
  void OnAnswer(instant now, const pending_request_ptr& pending, http_answer answer);
  void OnFailure(instant now, const pending_request_ptr& pending, const http_failure& failure);
  // What an answer that says "not run" tells of the target.
  refusal_reason HandleNotRun(instant now, const pending_request& pending,
                              const http_answer& answer);
  void RecordLoad(const http_answer& answer);
  void ReleaseSlot(instant now, const pending_request_ptr& pending, std::chrono::nanoseconds work);
  void Refuse(instant now, const pending_request_ptr& pending, refusal_reason reason,
              run_state state, std::chrono::milliseconds retry_after, const std::string& detail);
  void Finish(instant now, const pending_request_ptr& pending, dispatch_answer answer);
  void OnCrash(instant now);
  http_request MakeTargetRequest(instant now, pending_request& pending) const;

  metrics& metrics_;
  decision_log& log_;
  own_target& target_;
  target_gate_settings settings_;
  target_gate_ports ports_;
  http_client client_;
  slot_queue queue_;
  link_queue link_;
  // Requests with large answers that wait or run.
  size_t large_requests_ = 0;
  crash_watch crash_watch_;
  poison_registry poison_{poison_settings{}};
  // Numbers of crashes, unique across processes.
  uint64_t next_crash_;
  target_incarnation last_incarnation_;
  double cold_rate_ = 0;
  uint32_t pace_percent_ = 100;
  // Usual bytes of an answer.
  double answer_bytes_ = 0;
  ticket next_ticket_ = 1;
  std::map<ticket, pending_request_ptr> pending_requests_;
  std::map<ticket, pending_request_ptr> running_;
  latency_summary& work_latency_;
  latency_summary& wait_latency_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_GATE_H
