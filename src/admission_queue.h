#ifndef BULRUSHWAY_ADMISSION_QUEUE_H
#define BULRUSHWAY_ADMISSION_QUEUE_H

// The queue in front of a target. It is bounded by the time that a request would wait, not by a
// length. Tenants share the target by weight; within a tenant the earliest deadline goes first and
// the lowest priority is shed first. A request that cannot be answered in time is refused at its
// arrival, while "not run" is certain. Every operation is O(log n).

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "refusal.h"

namespace bulrushway {

/// Number of a request in the queue, chosen by the owner of the queue.
using queued_id = uint64_t;

/// A request that asks to be queued.
struct queue_request {
  queued_id id = 0;
  std::string tenant;
  /// Share of the tenant relative to the others, above zero. The last value given counts.
  double weight = 1;
  /// Larger is more important.
  uint8_t priority = 0;
  /// When the caller stops waiting.
  instant deadline{};
};

/// A request that was refused; it was not run.
struct queue_refusal {
  queued_id id = 0;
  refusal_reason reason = refusal_reason::kNone;
  /// When the queue is expected to have room again.
  std::chrono::nanoseconds retry_after{0};
};

/// What the arrival of a request led to.
struct push_result {
  /// The new request or one that it displaced; none if there was room.
  std::optional<queue_refusal> refused;
  /// Expected wait of the new request if it was queued.
  std::chrono::nanoseconds expected_wait{0};
};

/// The next request to hand over, and those whose time ran out before it.
struct pop_result {
  std::optional<queued_id> id;
  std::vector<queue_refusal> expired;
};

/// Limits of the queue.
struct queue_settings {
  /// A request is not queued when it would wait longer than this.
  std::chrono::nanoseconds max_wait = std::chrono::milliseconds(100);
  /// Time for one request, assumed before the first one is measured.
  std::chrono::nanoseconds initial_service_time = std::chrono::milliseconds(5);
};

/// Queue of one target.
class admission_queue {
 public:
  explicit admission_queue(queue_settings settings);
  ~admission_queue();
  admission_queue(const admission_queue&) = delete;
  admission_queue& operator=(const admission_queue&) = delete;

  /// Queues a request or refuses it, or another one in its place.
  push_result Push(const queue_request& request, instant now);

  /// Removes the next request to hand over.
  pop_result Pop(instant now);

  /// Removes a request that its caller withdrew; false if it is not queued.
  bool Cancel(queued_id id);

  /// Tells how long the target took for a request, and how many it executes at the same time.
  void OnServed(std::chrono::nanoseconds service_time, uint32_t concurrency);

  /// Tells that the concurrency changed.
  void SetConcurrency(uint32_t concurrency);

  size_t size() const { return flow_by_id_.size(); }

 private:
  struct flow;

  flow& FlowOf(const queue_request& request);
  std::chrono::nanoseconds ServiceInterval(const flow& tenant_flow) const;
  std::optional<queue_refusal> MakeRoom(const queue_request& request, flow& tenant_flow,
                                        instant now);
  void Insert(const queue_request& request, flow& tenant_flow);
  void Remove(flow& tenant_flow, queued_id id);
  void Activate(flow& tenant_flow);
  void Deactivate(flow& tenant_flow);
  void RemoveIdleFlows();
  flow* NextFlow();
  queue_refusal Refusal(queued_id id, refusal_reason reason, const flow& tenant_flow) const;

  queue_settings settings_;
  double service_time_ns_;
  uint32_t concurrency_ = 1;
  double active_weight_ = 0;
  double virtual_time_ = 0;
  uint64_t flows_created_ = 0;
  std::unordered_map<std::string, std::unique_ptr<flow>> flows_;
  std::unordered_map<queued_id, flow*> flow_by_id_;
  struct active_flows;
  std::unique_ptr<active_flows> active_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_ADMISSION_QUEUE_H
