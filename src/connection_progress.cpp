#include "connection_progress.h"

namespace bulrushway {

connection_state connection_progress::Evaluate(std::optional<instant> peer_last_received,
                                               instant now) const {
  if (!waiting_since_) return connection_state::kWorking;
  const std::chrono::nanoseconds silence = now - *waiting_since_;
  if (silence >= settings_.dead_after) return connection_state::kReplace;
  const bool peer_answers_elsewhere = peer_last_received && *peer_last_received > *waiting_since_;
  if (silence >= settings_.silent_after && peer_answers_elsewhere)
    return connection_state::kReplace;
  if (silence >= settings_.probe_after) return connection_state::kProbe;
  return connection_state::kWorking;
}

}  // namespace bulrushway
