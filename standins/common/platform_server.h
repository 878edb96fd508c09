#ifndef BULRUSHWAY_PLATFORM_SERVER_H
#define BULRUSHWAY_PLATFORM_SERVER_H

// HTTP server of the platform stand-in. One address serves the table, the objects, the faults and
// the statistics; an optional control address serves faults and statistics also during an outage.

#include <memory>
#include <optional>
#include <random>
#include <string>

#include "delayed_calls.h"
#include "event_loop.h"
#include "http_server.h"
#include "platform_faults.h"
#include "platform_store.h"
#include "rate_meter.h"

namespace bulrushway::standin {

/// Settings of a platform stand-in.
struct platform_settings {
  socket_address listen;
  /// Address that serves only /faults and /stats, also while `listen` refuses connections.
  std::optional<socket_address> control;
  /// File that preserves table and objects across restarts; empty means none.
  std::string state_file;
  platform_faults faults;
  uint64_t seed = 1;
};

/// Server of one platform.
class platform_server {
 public:
  platform_server(event_loop& loop, platform_settings settings);

  /// Loads the saved state and starts listening.
  result<void> Start(instant now);
  /// Saves the state.
  void Stop(instant now);

 private:
  using exchange_pointer = std::shared_ptr<http_exchange>;

  void Handle(const exchange_pointer& caller, bool control);
  void HandleFaults(const exchange_pointer& caller);
  void HandleData(const exchange_pointer& caller);
  http_answer Serve(const http_request& request, instant now);
  http_answer ServeTransaction(const http_request& request, instant now);
  http_answer ServeRows(const http_request& request, instant now) const;
  http_answer ServeObject(const http_request& request);
  http_answer Stats(instant now);
  result<void> ListenForData();

  event_loop& loop_;
  platform_settings settings_;
  platform_store store_;
  platform_faults faults_;
  std::mt19937_64 random_;
  rate_meter reads_;
  rate_meter writes_;
  rate_meter conflicts_;
  uint64_t lost_answers_ = 0;
  uint64_t outage_requests_ = 0;
  delayed_calls delayed_;
  timer outage_timer_;
  std::unique_ptr<http_server> data_;
  std::unique_ptr<http_server> control_;
};

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_PLATFORM_SERVER_H
