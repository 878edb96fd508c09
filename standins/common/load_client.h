#ifndef BULRUSHWAY_LOAD_CLIENT_H
#define BULRUSHWAY_LOAD_CLIENT_H

// Sends a planned load to the entries at the planned times, then reads the execution logs of the
// targets.

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "event_loop.h"
#include "http_client.h"
#include "load_output.h"
#include "load_plan.h"
#include "load_report.h"
#include "plan_player.h"

namespace bulrushway::standin {

/// Settings of a load client.
struct load_client_settings {
  std::vector<socket_address> entries;
  std::vector<socket_address> targets;
  std::chrono::milliseconds window{1000};
  uint64_t connections = 512;
  uint64_t body_bytes = 100;
};

/// Runs one load.
class load_client {
 public:
  load_client(event_loop& loop, load_plan plan, load_client_settings settings);

  /// Starts sending. Stops the event loop when all requests are finished and the execution logs of
  /// the targets are read.
  result<void> Start(instant now);
  /// Stops sending.
  void Stop(instant) { player_.Stop(); }

  const load_report& Report() const { return report_; }
  load_sender_figures SenderFigures();

 private:
  struct entry_state {
    socket_address address;
    instant skip_until{};
  };

  void Send(const planned_request& planned, size_t refusals, instant now);
  void Finish(load_result finished);
  void FinishIfDone();
  void ReadTarget(size_t index, int attempt);
  void OnTargetRead(size_t index, const std::string& body);
  size_t PickEntry(instant now);
  http_request Compose(const planned_request& planned) const;
  std::string KeyName(const planned_request& planned) const;
  std::string PathSuffix(const planned_request& planned) const;

  event_loop& loop_;
  load_client_settings settings_;
  std::vector<entry_state> entries_;
  size_t next_entry_ = 0;
  uint64_t pending_requests_ = 0;
  bool all_sent_ = false;
  load_report report_;
  std::unordered_map<std::string, uint64_t> runs_by_id_;
  uint64_t executions_ = 0;
  uint64_t targets_read_ = 0;
  uint64_t targets_unread_ = 0;
  http_client http_;
  plan_player player_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_LOAD_CLIENT_H
