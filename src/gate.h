#ifndef BULRUSHWAY_GATE_H
#define BULRUSHWAY_GATE_H

// The gate beside a target: the only way to it. Whatever asks, a request is handed over only while
// this process holds the lease for its key, the rules allow it and the target bears it; a request
// that must not run twice is handed over once. Each refusal says truthfully whether the request
// ran.

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

/// Why the rules or the state of the process forbid a request now.
struct gate_refusal {
  refusal_reason reason = refusal_reason::kNone;
  std::chrono::milliseconds retry_after{0};
};

/// What the gate asks of the rest of the process.
struct gate_callbacks {
  /// Refuses by rule: configuration, home regions, data centre out, planned stop.
  std::function<std::optional<gate_refusal>(instant, const dispatch_request&)> check_rules;
  /// Whether the service of this target divides its keys between owners.
  std::function<bool()> keyed;
  /// Epoch of the slice if this node may serve it right now.
  std::function<std::optional<uint64_t>(instant, uint32_t slice)> serving_epoch;
  /// Until when the lease is good.
  std::function<instant(instant)> lease_expiry;
  /// Why the slice is not served here: not the owner, moving, or lapsed.
  std::function<gate_refusal(instant, uint32_t slice)> not_served_reason;
  /// Weight of a tenant's share and priority of a request.
  std::function<std::pair<double, uint8_t>(const dispatch_request&)> tenant_share;
  /// Regions that may know of the request; empty: all.
  std::function<std::vector<std::string>(const dispatch_request&)> home_regions;
  /// The target crashed or answers again.
  std::function<void(instant, bool up)> on_target_state;
  /// A request is quarantined from now on.
  std::function<void(instant, uint64_t fingerprint)> on_quarantined;
  /// The target crashed: what is known of suspect requests has changed.
  std::function<void(instant)> on_suspects_changed;
};

/// Fixed properties of the target.
struct gate_settings {
  socket_address target;
  uint32_t slots = 12;
  uint32_t connections = 130;
  size_t max_answer_bytes = 16 << 20;
  /// Longest time that a request waits for the target.
  std::chrono::milliseconds max_queue_wait{100};
};

/// Counts of what the gate did.
struct gate_counts {
  uint64_t sent_to_target = 0;
  uint64_t answered = 0;
  uint64_t mismatched_answers = 0;
  uint64_t aborted_by_lapse = 0;
  uint64_t answered_from_memory = 0;
};

/// Hands requests to one target.
class gate {
 public:
  using reply = std::function<void(dispatch_answer)>;
  using ticket = uint64_t;

  gate(event_loop& loop, metrics& counters, const gate_settings& settings,
       gate_callbacks callbacks);
  ~gate();

  /// Takes a request; `done` is called once, possibly at once.
  ticket Handle(instant now, dispatch_request request, reply done);
  /// The caller went away. A request that waits is dropped; one at the target is cancelled there,
  /// unless a repeat may still ask for its answer.
  void Cancel(instant now, ticket id);
  /// To be called every few milliseconds: expires queued requests and fences after a lapse.
  void Tick(instant now);
  /// The lease lapsed: cuts what is in flight and refuses what waits.
  void OnLeaseLapse(instant now);
  /// The node no longer owns the slice. What is remembered of it is kept for a while, for the next
  /// owner to ask for.
  void ReleaseSlice(instant now, uint32_t slice);
  /// The node owns the slice from now on, and nobody did before.
  void AcquireFreshSlice(uint32_t slice);
  /// The node owns the slice from now on; what the last owner remembered is lost.
  void AcquireSliceWithoutMemory(uint32_t slice);
  /// The node owns the slice, and the last owner has been asked for what it remembers. Until it
  /// comes, requests that may be repeats are refused as not run.
  void AwaitSliceMemory(instant now, uint32_t slice);
  /// The last owner's memory of the slice.
  void ImportSliceMemory(instant now, uint32_t slice, const slice_memory_export& memory);
  /// The last owner remembers nothing of a slice that is waited for.
  void OnNoSliceMemory(uint32_t slice);
  /// What is remembered of a slice that was lost not long ago.
  std::optional<slice_memory_export> ReleasedSliceMemory(uint32_t slice) const;
  /// Slices with requests at the target, or waiting.
  std::vector<uint32_t> BusySlices() const;
  /// Requests at the target.
  size_t InFlight() const { return running_.size(); }
  /// Requests waiting for the target.
  size_t Waiting() const { return queue_.size(); }
  /// Sets the target's slots and connections as the inventory has them.
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
