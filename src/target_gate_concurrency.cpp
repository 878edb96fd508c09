// The number of requests that the gate lets run at its target.

#include "gate_request.h"

namespace bulrushway {

void target_gate::RecordConcurrency(instant now, const pending_request& pending,
                                    std::chrono::nanoseconds work) {
  if (!settings_.adaptive_concurrency || pending.incarnation != target_.incarnation()) return;
  // The answered request no longer counts as running.
  const auto running = static_cast<uint32_t>(running_.size()) + 1;
  limiter_.OnAnswer(now, {work, pending.request.expected_work, pending.running_at_start, running,
                          pace_percent_, pending.sent_at});
  ApplySlots(now);
}

void target_gate::RecordTargetFull(instant now, const pending_request& pending) {
  if (!settings_.adaptive_concurrency || pending.incarnation != target_.incarnation()) return;
  // A target that names a rate refuses by it, however few requests run.
  if (limit_.rate()) return;
  limiter_.OnRefused(now, static_cast<uint32_t>(running_.size()));
  ApplySlots(now);
}

void target_gate::ApplySlots(instant now) {
  if (!settings_.adaptive_concurrency) return queue_.SetSlots(target_.slots());
  limiter_.SetSlots(target_.slots());
  limiter_.Tick(now);
  queue_.SetSlots(limiter_.limit());
  metrics_.Gauge("bulrushway_target_slots_used") = limiter_.limit();
}

}  // namespace bulrushway
