#include "connection_progress.h"

namespace bulrushway {

connection_verdict connection_progress::Evaluate(std::optional<instant> peer_last_received,
                                                 instant now) const {
  if (!waiting_since_) return connection_verdict::kWorking;
  const std::chrono::nanoseconds silence = now - *waiting_since_;
  if (silence >= settings_.dead_after) return connection_verdict::kReplace;
  const bool peer_answers_elsewhere = peer_last_received && *peer_last_received > *waiting_since_;
  if (silence >= settings_.silent_after && peer_answers_elsewhere)
    return connection_verdict::kReplace;
  if (silence >= settings_.probe_after) return connection_verdict::kProbe;
  return connection_verdict::kWorking;
}

}  // namespace bulrushway
