#include "connection_progress.h"

namespace bulrushway {

connection_state connection_progress::Judge(std::optional<instant> peer_progress,
                                            instant now) const {
  if (!waiting_since_) return connection_state::kWorking;
  const std::chrono::nanoseconds silence = now - *waiting_since_;
  if (silence >= settings_.dead_after) return connection_state::kSilent;
  const bool peer_answers_elsewhere = peer_progress && *peer_progress > *waiting_since_;
  if (silence >= settings_.silent_after && peer_answers_elsewhere) return connection_state::kSilent;
  if (silence >= settings_.probe_after) return connection_state::kProbe;
  return connection_state::kWorking;
}

}  // namespace bulrushway
