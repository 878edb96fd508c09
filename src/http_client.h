#ifndef BULRUSHWAY_HTTP_CLIENT_H
#define BULRUSHWAY_HTTP_CLIENT_H

// HTTP towards targets and the platform, on evhttp, over kept-open connections. A failure tells
// whether the request may have reached the other side, because only then it may have run.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "event_loop.h"
#include "http_message.h"
#include "socket_address.h"

namespace bulrushway {

/// Why an HTTP request has no answer.
struct http_failure {
  /// False when the connection was never made: the request has certainly not run.
  bool may_have_run = true;
  /// The time limit passed.
  bool timed_out = false;
  /// A full sentence.
  std::string message;
};

/// Keeps connections open per address and reuses them.
class http_client {
 public:
  using callback = std::function<void(tl::expected<http_answer, http_failure>)>;
  /// Names a request that is under way.
  using request_id = uint64_t;

  /// At most `max_connections` to one address at a time; requests beyond wait in order.
  http_client(event_loop& loop, size_t max_connections);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request; `done` is called once, never before Send returns.
  request_id Send(const socket_address& address, http_request request,
                  std::chrono::milliseconds timeout, callback done);
  /// Closes the connection of the request, so that the other side sees the cancellation. `done` is
  /// not called any more. Unknown ids are ignored.
  void Cancel(request_id id);
  /// Open connections to the address, busy or idle.
  size_t Connections(const socket_address& address) const;
  /// Connections opened since the start, to all addresses.
  uint64_t Opened() const { return opened_; }

 private:
  struct connection;
  struct pending;
  struct pool;

  void Dispatch(const socket_address& address);
  void Start(connection& link, std::unique_ptr<pending> request);
  void Finish(connection& link, bool reusable, tl::expected<http_answer, http_failure> outcome);
  connection* IdleConnection(pool& connections, const socket_address& address);
  void Sweep();

  event_loop& loop_;
  size_t max_connections_;
  request_id next_id_ = 1;
  uint64_t opened_ = 0;
  std::map<socket_address, std::unique_ptr<pool>> pools_;
  std::vector<std::unique_ptr<connection>> closed_;
  timer sweep_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_CLIENT_H
