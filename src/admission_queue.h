#ifndef BULRUSHWAY_ADMISSION_QUEUE_H
#define BULRUSHWAY_ADMISSION_QUEUE_H

// Weighted fair queue in front of a target, bounded by expected waiting time instead of length.
// Tenants share the target by weight. Within a tenant, the earliest deadline is served first and
// the lowest priority is shed first. A request that cannot be answered before its deadline is
// refused on arrival, when it certainly has not run. Every operation is O(log n).

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

/// Identifier of a queued request, chosen by the user of the queue.
using queued_id = uint64_t;

/// A request to be queued.
struct queue_request {
  queued_id id = 0;
  std::string tenant;
  /// Weight of the tenant relative to the others, above zero. Takes effect while the tenant has no
  /// queued request.
  double weight = 1;
  /// Larger is more important.
  uint8_t priority = 0;
  /// Time at which the caller stops waiting.
  instant deadline{};
};

/// A request that the queue refused; it has not run.
struct queue_refusal {
  queued_id id = 0;
  refusal_reason reason = refusal_reason::kNone;
  /// Expected time until the queue has room again.
  std::chrono::nanoseconds retry_after{0};
};

/// Result of Push().
struct push_result {
  /// The refused request: the new one or one that it displaced. None if there was room.
  std::optional<queue_refusal> refused;
  /// Expected waiting time of the new request if it was queued.
  std::chrono::nanoseconds expected_wait{0};
};

/// Result of Pop(): the next request to run, and the requests that are too close to their deadline.
struct pop_result {
  std::optional<queued_id> id;
  std::vector<queue_refusal> expired;
};

/// Limits of the queue.
struct queue_settings {
  /// Maximum expected waiting time of a queued request.
  std::chrono::nanoseconds max_wait = std::chrono::milliseconds(100);
  /// Service time of a request, assumed until the first one is measured.
  std::chrono::nanoseconds initial_service_time = std::chrono::milliseconds(5);
};

/// Queue of one target.
class admission_queue {
 public:
  explicit admission_queue(queue_settings settings);
  ~admission_queue();
  admission_queue(const admission_queue&) = delete;
  admission_queue& operator=(const admission_queue&) = delete;

  /// Queues the request, refuses it, or queues it and refuses a request of lower priority.
  push_result Push(const queue_request& request, instant now);

  /// Removes and returns the next request to run.
  pop_result Pop(instant now);

  /// Removes a cancelled request; false if it is not queued.
  bool Cancel(queued_id id);

  /// Reports the service time of a request and the concurrency of the target.
  void OnServed(std::chrono::nanoseconds service_time, uint32_t concurrency);

  /// Sets the number of requests that the target executes at the same time.
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
