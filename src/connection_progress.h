#ifndef BULRUSHWAY_CONNECTION_PROGRESS_H
#define BULRUSHWAY_CONNECTION_PROGRESS_H

// Finds connections that went silent for good. TCP notices this after many minutes, so a connection
// is judged by whether anything came back after something that asks for an answer was sent.

#include <chrono>
#include <optional>

#include "clock.h"

namespace bulrushway {

/// Time limits of one kind of connection.
struct progress_settings {
  /// Silence after which a probe is sent, where the protocol has probes.
  std::chrono::nanoseconds probe_after = std::chrono::milliseconds(100);
  /// Silence after which the connection is replaced if the peer answers on a newer one.
  std::chrono::nanoseconds silent_after = std::chrono::milliseconds(250);
  /// Silence after which the connection is replaced in any case.
  std::chrono::nanoseconds dead_after = std::chrono::milliseconds(1000);
};

/// Judgement on a connection.
enum class connection_verdict {
  kWorking,
  /// Ask the peer for a sign of life, and open a second connection to compare with.
  kProbe,
  /// Close it, and send what is proven not run over another one.
  kReplace,
};

/// Progress of one connection.
class connection_progress {
 public:
  connection_progress(progress_settings settings, instant opened)
      : settings_(settings), last_received_(opened) {}

  /// Something that asks for an answer was sent.
  void OnSent(instant now) {
    if (!waiting_since_) waiting_since_ = now;
  }

  /// Bytes came back. `still_waiting`: some answer is outstanding.
  void OnReceived(bool still_waiting, instant now) {
    last_received_ = now;
    waiting_since_.reset();
    if (still_waiting) waiting_since_ = now;
  }

  /// Judges the connection. `peer_progress` is the last time at which the same peer was heard on
  /// any other connection.
  connection_verdict Evaluate(std::optional<instant> peer_last_received, instant now) const;

  instant last_received() const { return last_received_; }

 private:
  progress_settings settings_;
  instant last_received_;
  std::optional<instant> waiting_since_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONNECTION_PROGRESS_H
