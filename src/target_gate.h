#ifndef BULRUSHWAY_TARGET_GATE_H
#define BULRUSHWAY_TARGET_GATE_H

// The gate in front of a target; all requests reach the target through it. It forwards a request,
// from whatever process, only while the target accepts requests, holds the key of the request and
// has a free slot. Each refusal states whether the target may have run the request. One fact
// decides this: whether bytes of the request were written to a connection of the target.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "body_queue.h"
#include "concurrency_limiter.h"
#include "crash_watch.h"
#include "decision_log.h"
#include "header_names.h"
#include "http_client.h"
#include "link_queue.h"
#include "metrics.h"
#include "own_target.h"
#include "peer_messages.h"
#include "slot_queue.h"
#include "target_limit.h"

namespace bulrushway {

/// Load that a target reports in an answer.
struct reported_load {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  /// Execution time on its machine at present, in percent of the average.
  uint32_t pace_percent = 100;
};

/// Callbacks into the rest of the process.
struct target_gate_ports {
  /// Whether the keys of the service are divided between targets.
  std::function<bool()> keyed;
  /// Whether the target holds the key at present, according to grants and lease.
  std::function<bool(instant, uint32_t key)> holds;
  /// Called for each request for a key that the target holds, even if it is then refused.
  std::function<void(instant, uint32_t key)> on_request;
  /// Called when the target reports that it does not hold a key that it was granted.
  std::function<void(instant, uint32_t key)> on_key_lost;
  /// Reason why the target does not hold the key, and the time until that may change.
  std::function<std::pair<refusal_reason, std::chrono::milliseconds>(instant, uint32_t key)>
      why_not_held;
  /// Node that owns a key when this one does not; empty when unknown.
  std::function<std::string(uint32_t key)> other_owner;
  /// Whether operators have taken the target's data centre out of service.
  std::function<bool(instant)> evacuated;
  /// Whether the target may serve keys that it holds although its data centre is out of service.
  std::function<bool(instant)> may_serve_keys;
  /// Called after the target crashed with requests in flight, so that peers receive the suspects.
  std::function<void(instant)> suspects_changed;
  /// Bytes of large answers that are queued for the machine's link.
  std::function<size_t()> unsent_bytes;
  /// Parses the value of the load header.
  std::function<std::optional<reported_load>(const std::string&)> parse_load;
  /// When a process that stops answers its last requests; instant::max() while it does not stop.
  std::function<instant()> latest_answer = [] { return instant::max(); };
};

/// The target and its machine's link.
struct target_gate_settings {
  socket_address address;
  std::string service;
  std::string region;
  header_names headers;
  /// Rate of the machine's link in each direction; zero means unknown, and the link is not limited.
  double link_bytes_per_second = 0;
  /// Share of that rate for large answers, in bytes per second; zero means unknown.
  double large_bytes_per_second = 0;
  /// Keeps slots free of long requests for more urgent ones.
  bool urgent_room = false;
  /// Learns how many requests the target handles well, instead of using all its slots.
  bool adaptive_concurrency = false;
  /// Budget of the process for large answers; null: not limited.
  const memory_budget* budget = nullptr;
};

/// Admits requests to one target and forwards them.
class target_gate {
 public:
  using reply = std::function<void(instant, dispatch_answer)>;
  /// Asks the sender for the separate body of a request.
  using permit = std::function<void()>;
  using ticket = uint64_t;

  target_gate(event_loop& loop, metrics& counters, decision_log& log, own_target& target,
              target_gate_settings settings, target_gate_ports ports, uint64_t seed);
  ~target_gate();

  /// Admits or refuses a request. `done` is called at most once, during the call or later: never
  /// after Cancel().
  ticket Handle(instant now, dispatch_request request, reply done, permit ask_for_body = {});
  /// Takes the separate body of a request, or the next piece of it.
  void OnBody(instant now, ticket id, std::string piece);
  /// Cancels a request whose caller has disconnected. A waiting request is dropped. A running one
  /// is cancelled at the target only if it is idempotent; another one has begun and runs to its
  /// end.
  void Cancel(instant now, ticket id);
  /// Refuses requests that waited too long, and takes over changes of the state of the target.
  void Tick(instant now);
  /// Applies the policy of the service from a new configuration.
  void SetPolicy(instant now, uint32_t connections, double cold_rate, double cold_burst);

  /// Requests that crash targets, observed here or reported by peers.
  poison_registry& poison() { return poison_; }

  /// State of the target for reports to other processes.
  target_report Report(instant now) const;
  /// Whether the request has no answer yet.
  bool Contains(ticket id) const { return pending_requests_.contains(id); }
  /// Whether the request may have reached the target.
  bool MayHaveRun(ticket id) const { return running_.contains(id); }
  size_t Running() const { return running_.size(); }
  size_t Waiting() const { return queue_.Waiting(); }

  /// Bytes of the bodies of all requests here, and of the answers that the target is sending.
  size_t HeldBytes() const { return body_bytes_ + client_.ExpectedBytes(); }
  /// Most connections to the target.
  uint32_t MaxConnections() const { return max_connections_; }

 private:
  struct pending_request;
  using pending_request_ptr = std::shared_ptr<pending_request>;

  std::optional<std::pair<refusal_reason, std::chrono::milliseconds>> CheckAdmission(
      instant now, const dispatch_request& request) const;
  // Reason to refuse a large answer because it would leave too late, and the time until the link
  // has room.
  std::optional<std::pair<refusal_reason, std::chrono::milliseconds>> CheckLink(
      instant now, const pending_request& pending) const;
  // Checks a request that is here in full, and gives it a slot or queues it.
  void Admit(instant now, const pending_request_ptr& pending);
  // Waits for the body of a request, or refuses it when the body would arrive too late.
  void AwaitBody(instant now, const pending_request_ptr& pending);
  void PermitBodies(instant now);
  // Counts the memory for the body of a request, which has arrived or was permitted.
  void CountBody(pending_request& pending, size_t bytes);
  // Whether there is memory for the next body.
  bool MayPermitBody() const;
  void RemoveRequest(const pending_request& pending);
  void SendToTarget(instant now, const pending_request_ptr& pending);
  void PopQueue(instant now);
  void OnAnswer(instant now, const pending_request_ptr& pending, http_answer answer);
  void OnFailure(instant now, const pending_request_ptr& pending, const http_failure& failure);
  // Handles an answer that says "not run": updates the state of the target and returns the reason
  // for the refusal.
  refusal_reason HandleNotRun(instant now, const pending_request& pending,
                              const http_answer& answer);
  void RecordLoad(const http_answer& answer);
  // Keeps and shows the limit that the target names at present.
  void ApplyLimit(instant now);
  // Takes over the limit that the target names, and whether it says that it is leaving.
  void RecordNotices(instant now, const pending_request& pending, const http_answer& answer);
  // Records an answer, or that the target refused a request or reset its connection, for the
  // number of requests that it handles well.
  void RecordConcurrency(instant now, const pending_request& pending,
                         std::chrono::nanoseconds work);
  void RecordTargetFull(instant now, const pending_request& pending);
  // Sets the slots of the queue: those of the target, or fewer if it handles fewer well.
  void ApplySlots(instant now);
  void RecordSlowness(const pending_request& pending, std::chrono::nanoseconds work);
  uint32_t SlownessPercent() const;
  std::chrono::milliseconds ExpectedWork(const dispatch_request& request) const {
    return WorkAt(SlownessPercent(), request.expected_work);
  }
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
  concurrency_limiter limiter_;
  link_queue link_;
  body_queue bodies_;
  // Requests with large answers that wait or run.
  size_t large_requests_ = 0;
  size_t body_bytes_ = 0;
  uint32_t max_connections_ = 0;
  crash_watch crash_watch_;
  poison_registry poison_{poison_settings{}};
  // Identifier of the next crash; unique across processes.
  uint64_t next_crash_;
  target_incarnation last_incarnation_;
  double cold_rate_ = 0;
  target_limit limit_;
  uint32_t pace_percent_ = 100;
  // EWMA of the time that requests took, relative to what they take at a typical target. Senders
  // divide the times that they measure by it, which separates the work of a route from the speed
  // of its targets.
  double slowness_ = 1;
  // EWMA of the bytes of an answer.
  double answer_bytes_ = 0;
  ticket next_ticket_ = 1;
  std::map<ticket, pending_request_ptr> pending_requests_;
  std::map<ticket, pending_request_ptr> running_;
  latency_summary& work_latency_;
  latency_summary& wait_latency_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TARGET_GATE_H
