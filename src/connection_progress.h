#ifndef BULRUSHWAY_CONNECTION_PROGRESS_H
#define BULRUSHWAY_CONNECTION_PROGRESS_H

// Detects dead connections. TCP takes many minutes to detect one, so a connection is judged by the
// time that it has been waiting for an answer without receiving any bytes.

#include <chrono>
#include <optional>

#include "clock.h"

namespace bulrushway {

/// Time limits, measured while an answer is outstanding.
struct progress_settings {
  /// Silence after which a probe is sent, if the protocol has probes.
  std::chrono::nanoseconds probe_after = std::chrono::milliseconds(100);
  /// Silence after which the connection is replaced if the peer answers on another one.
  std::chrono::nanoseconds silent_after = std::chrono::milliseconds(250);
  /// Silence after which the connection is replaced in any case.
  std::chrono::nanoseconds dead_after = std::chrono::milliseconds(1000);
};

/// Assessment of a connection.
enum class connection_verdict {
  kWorking,
  /// Send a probe, and open a second connection for comparison.
  kProbe,
  /// Close the connection, and resend requests that certainly have not run over another one.
  kReplace,
};

/// Tracks whether one connection makes progress.
class connection_progress {
 public:
  connection_progress(progress_settings settings, instant opened)
      : settings_(settings), last_received_(opened) {}

  /// Records that a message that expects an answer was sent.
  void OnSent(instant now) {
    if (!waiting_since_) waiting_since_ = now;
  }

  /// Records that bytes were received. `still_waiting`: further answers are outstanding.
  void OnReceived(bool still_waiting, instant now) {
    last_received_ = now;
    waiting_since_.reset();
    if (still_waiting) waiting_since_ = now;
  }

  /// Evaluates the connection. `peer_last_received` is the last time at which bytes from the same
  /// peer were received on any other connection.
  connection_verdict Evaluate(std::optional<instant> peer_last_received, instant now) const;

  instant last_received() const { return last_received_; }

 private:
  progress_settings settings_;
  instant last_received_;
  std::optional<instant> waiting_since_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONNECTION_PROGRESS_H
