#ifndef BULRUSHWAY_HTTP_CLIENT_H
#define BULRUSHWAY_HTTP_CLIENT_H

// HTTP/1.1 towards targets and the platform over kept-open connections: libevent moves the bytes,
// Boost.Beast parses them. A failure tells whether the request may have reached the other side,
// because only then it may have run.

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

class http_client_connection;

/// Why an HTTP request has no answer.
struct http_failure {
  /// False when the connection was never made: the request has certainly not run.
  bool may_have_run = true;
  /// The time limit passed.
  bool timed_out = false;
  /// The other side refused the connection: no process listens there.
  bool refused = false;
  /// The other side closed or reset the connection before the first byte of an answer.
  bool closed_before_answer = false;
  /// A full sentence.
  std::string message = {};
};

/// How connections are used.
struct http_client_settings {
  /// Open connections to one address; requests beyond wait in order.
  size_t max_connections = 8;
  /// Longest body of an answer in bytes.
  size_t max_answer_bytes = 16 << 20;
  /// A connection that takes longer to open counts as failed.
  std::chrono::milliseconds connect_timeout{1000};
  /// An idle connection is closed after this time, or after this share of the time that the other
  /// side announced as its own limit, whichever is less. Reuse close to the limit races with the
  /// other side's close.
  std::chrono::milliseconds idle_limit{60'000};
  double keep_alive_share = 0.6;
  /// An answer without a stated length ends with its connection, so that a truncated one cannot be
  /// told from a whole one by its bytes. True: such an answer is a failure.
  bool require_length = false;
  /// Header in which the other side echoes the request's value. An answer with another value
  /// belongs to an earlier request and is skipped. Empty: not checked.
  std::string echo_header = {};
};

/// Keeps connections open per address and reuses them.
class http_client {
 public:
  using callback = std::function<void(tl::expected<http_answer, http_failure>)>;
  /// Names a request that is under way.
  using request_id = uint64_t;

  http_client(event_loop& loop, http_client_settings settings);
  /// At most `max_connections` to one address at a time; answers must state their length.
  http_client(event_loop& loop, size_t max_connections)
      : http_client(loop, http_client_settings{.max_connections = max_connections,
                                               .require_length = true}) {}
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request; `done` is called once, never before Send returns.
  request_id Send(const socket_address& address, http_request request,
                  std::chrono::milliseconds timeout, callback done);
  /// Closes the connection of the request, so that the other side sees the cancellation. `done` is
  /// not called any more. Unknown ids are ignored.
  void Cancel(request_id id);
  /// Closes the idle connections to the address.
  void CloseIdle(const socket_address& address);
  void SetMaxConnections(size_t max_connections) { settings_.max_connections = max_connections; }
  /// Open connections to the address, busy or idle.
  size_t Connections(const socket_address& address) const;
  /// Connections opened since the start, to all addresses.
  uint64_t ConnectionsOpened() const { return connections_opened_; }
  /// Answers that belonged to another request than the one under way, and were skipped.
  uint64_t CrossedAnswers() const { return crossed_answers_; }

 private:
  friend class http_client_connection;
  struct pending;
  struct pool;

  void Dispatch(const socket_address& address);
  void OnConnectionClosed(http_client_connection* connection);
  void Sweep(instant now);

  event_loop& loop_;
  http_client_settings settings_;
  request_id next_id_ = 1;
  uint64_t connections_opened_ = 0;
  uint64_t crossed_answers_ = 0;
  std::map<socket_address, std::unique_ptr<pool>> pools_;
  std::vector<std::unique_ptr<http_client_connection>> closed_;
  timer sweep_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_CLIENT_H
