#ifndef BULRUSHWAY_GATE_H
#define BULRUSHWAY_GATE_H

// The gate runs beside a target and is the only path to it. It sends a request to the target only
// while this process holds the lease for the key, the rules allow the request and the target has
// capacity. It sends a non-idempotent request with an idempotency key at most once. Each refusal
// states whether the request may have run.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission_queue.h"
#include "concurrency_cap.h"
#include "http_client.h"
#include "idempotency_memory.h"
#include "metrics.h"
#include "peer_messages.h"
#include "poison_registry.h"

namespace bulrushway {

/// Why the rules or the state of the process do not allow a request.
struct gate_refusal {
  refusal_reason reason = refusal_reason::kNone;
  std::chrono::milliseconds retry_after{0};
};

/// Queries and notifications that the rest of the process provides to the gate.
struct gate_callbacks {
  /// Returns a refusal if a rule forbids the request: missing configuration, home regions, data
  /// centre taken out, planned stop.
  std::function<std::optional<gate_refusal>(instant, const dispatch_request&)> check_rules;
  /// Whether the service of this target is keyed: each key has one owner.
  std::function<bool()> keyed;
  /// Epoch (fencing token) of the slice if this node may serve it; nullopt otherwise.
  std::function<std::optional<uint64_t>(instant, uint32_t slice)> serving_epoch;
  /// Time at which the lease of this node expires.
  std::function<instant(instant)> lease_expiry;
  /// Why this node does not serve the slice: not the owner, slice moving, or lease lapsed.
  std::function<gate_refusal(instant, uint32_t slice)> not_served_reason;
  /// Weight of the tenant in the queue, and priority of the request.
  std::function<std::pair<double, uint8_t>(const dispatch_request&)> tenant_share;
  /// Regions that may learn the fingerprint of the request; empty means all.
  std::function<std::vector<std::string>(const dispatch_request&)> home_regions;
  /// Called when the target becomes unreachable (`up` is false) or answers again.
  std::function<void(instant, bool up)> on_target_state;
  /// Called when requests with this fingerprint are quarantined.
  std::function<void(instant, uint64_t fingerprint)> on_quarantined;
  /// Called after a crash of the target, which updates the suspect requests.
  std::function<void(instant)> on_suspects_changed;
};

/// Address and limits of the target.
struct gate_settings {
  socket_address target;
  uint32_t slots = 12;
  uint32_t connections = 130;
  size_t max_answer_bytes = 16 << 20;
  /// Maximum time that a request waits in the queue.
  std::chrono::milliseconds max_queue_wait{100};
};

/// Event counters of the gate.
struct gate_counts {
  uint64_t sent_to_target = 0;
  uint64_t answered = 0;
  uint64_t mismatched_answers = 0;
  uint64_t aborted_by_lapse = 0;
  uint64_t answered_from_memory = 0;
};

/// Admits, queues and sends the requests of one target.
class gate {
 public:
  using reply = std::function<void(dispatch_answer)>;
  using ticket = uint64_t;

  gate(event_loop& loop, metrics& counters, const gate_settings& settings,
       gate_callbacks callbacks);
  ~gate();

  /// Handles a request. Calls `done` exactly once, possibly before this returns, unless the request
  /// is cancelled first.
  ticket Handle(instant now, dispatch_request request, reply done);
  /// Cancels a request whose caller disconnected. A queued request is removed unless repeats have
  /// joined it. A running request is cancelled at the target only if it is idempotent and no repeat
  /// can ask for its answer.
  void Cancel(instant now, ticket id);
  /// Call every few milliseconds: sends or expires queued requests and expires slice memories.
  void Tick(instant now);
  /// Aborts the running keyed requests and refuses the queued ones after the lease has lapsed.
  void OnLeaseLapse(instant now);
  /// Ends the ownership of a slice. Its idempotency memory is kept for a limited time so that the
  /// next owner can fetch it.
  void ReleaseSlice(instant now, uint32_t slice);
  /// Begins the ownership of a slice that had no owner before.
  void AcquireFreshSlice(uint32_t slice);
  /// Begins the ownership of a slice when the idempotency memory of the previous owner is lost.
  void AcquireSliceWithoutMemory(uint32_t slice);
  /// Begins waiting for the slice memory requested from the previous owner. Until it arrives,
  /// requests that cannot be proven new are refused. After a timeout the slice is acquired without
  /// it.
  void AwaitSliceMemory(instant now, uint32_t slice);
  /// Imports the previous owner's memory of a slice that awaits it; otherwise does nothing.
  void ImportSliceMemory(instant now, uint32_t slice, const slice_memory_export& memory);
  /// The previous owner has no memory of a slice that awaits it: acquires the slice without it.
  void OnNoSliceMemory(uint32_t slice);
  /// Memory of a recently released slice; nullopt if there is none or it has expired.
  std::optional<slice_memory_export> ReleasedSliceMemory(uint32_t slice) const;
  /// Slices with running or queued requests.
  std::vector<uint32_t> BusySlices() const;
  /// Number of requests running at the target.
  size_t InFlight() const { return running_.size(); }
  /// Number of queued requests.
  size_t Waiting() const { return queue_.size(); }
  /// Sets the number of slots of the target; a change restarts the concurrency cap cold.
  void SetSlots(uint32_t slots);

  const concurrency_cap& cap() const { return cap_; }
  poison_registry& poison() { return poison_; }
  const gate_counts& counts() const { return counts_; }

 private:
  struct job;
  struct target_answer;

  std::optional<gate_refusal> CheckAllowed(instant now, job& pending);
  void ExpireSliceMemories(instant now);
  bool ResolveFromMemory(instant now, const std::shared_ptr<job>& pending);
  void Admit(instant now, const std::shared_ptr<job>& pending);
  void SendToTarget(instant now, const std::shared_ptr<job>& pending);
  void PopQueue(instant now);
  void OnAnswer(instant now, const std::shared_ptr<job>& pending, http_answer answer);
  void OnFailure(instant now, const std::shared_ptr<job>& pending, const http_failure& failure);
  void OnCrash(instant now);
  void Refuse(const std::shared_ptr<job>& pending, refusal_reason reason, run_state state,
              std::chrono::milliseconds retry_after = std::chrono::milliseconds{0});
  void Finish(const std::shared_ptr<job>& pending, const dispatch_answer& answer);
  void RemoveJob(const std::shared_ptr<job>& pending);
  http_request MakeTargetRequest(instant now, const job& pending) const;

  metrics& metrics_;
  gate_settings settings_;
  gate_callbacks callbacks_;
  http_client client_;
  admission_queue queue_;
  concurrency_cap cap_;
  idempotency_memory memory_;
  poison_registry poison_;
  gate_counts counts_;
  ticket next_ticket_ = 1;
  std::map<ticket, std::shared_ptr<job>> jobs_;
  std::map<ticket, std::shared_ptr<job>> running_;
  std::map<uint32_t, size_t> jobs_per_slice_;
  std::map<uint32_t, instant> awaiting_memory_;
  struct released_memory {
    instant until;
    slice_memory_export memory;
  };
  std::map<uint32_t, released_memory> released_;
  uint64_t crash_seed_;
  uint64_t crash_count_ = 0;
  instant last_crash_at_;
  bool target_up_ = true;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_GATE_H
