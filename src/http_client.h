#ifndef BULRUSHWAY_HTTP_CLIENT_H
#define BULRUSHWAY_HTTP_CLIENT_H

// HTTP/1.1 client for targets and the platform, with persistent connections: libevent does the I/O,
// Boost.Beast the parsing. A failure states whether the request may have reached the server, since
// only then it may have run.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "event_loop.h"
#include "http_message.h"
#include "memory_budget.h"
#include "socket_address.h"

namespace bulrushway {

class http_client_connection;

/// Why an HTTP request has no answer.
struct http_failure {
  /// False when the request was not sent and has certainly not run.
  bool may_have_run = true;
  /// The time limit passed.
  bool timed_out = false;
  /// The connection was refused: no process listens on the address.
  bool refused = false;
  /// Start of the attempt to connect that was refused: no process that listened earlier runs.
  instant refused_attempt{};
  /// The check of the session did not permit to send the request.
  bool withheld = false;
  /// The server closed or reset the connection before the first byte of an answer.
  bool closed_before_answer = false;
  /// The answer is larger than permitted, or than can be held at present.
  bool too_large = false;
  /// Description as a full sentence.
  std::string message = {};
};

/// Limits and policies of connections.
struct http_client_settings {
  /// Maximum number of connections to one address; further requests wait in order of arrival.
  size_t max_connections = 8;
  /// Maximum size of an answer's body.
  size_t max_answer_bytes = 16 << 20;
  /// Maximum bytes of all answers that are being received together, but for those that `budget` has
  /// accepted whole. Beyond it, a connection whose answer has taken more than `small_answer_bytes`
  /// fails: servers in trouble may send without end.
  size_t max_buffered_bytes = 32 << 20;
  size_t small_answer_bytes = 1 << 20;
  /// Answers of more than `kSmallMessageBytes` have to fit in this budget. One that announces its
  /// length waits in its socket until it does; another one fails. Null: not limited.
  const memory_budget* budget = nullptr;
  /// A connection that is not established within this time has failed.
  std::chrono::milliseconds connect_timeout{1000};
  /// An idle connection is closed after `idle_limit`, or after this fraction of the timeout that
  /// the server announced in its Keep-Alive header, whichever is less. Reusing a connection close
  /// to the server's timeout would race with the server closing it.
  std::chrono::milliseconds idle_limit{60'000};
  double keep_alive_share = 0.6;
  /// Closes the idle connections to an address after a request there was not answered in time: they
  /// may be as dead as the connection of that request.
  bool close_idle_after_timeout = false;
  /// Treats an answer without a length as a failure. Such an answer ends when the connection is
  /// closed, so that a truncated one looks like a complete one.
  bool require_length = false;
  /// Header whose value the server copies from the request to the answer. An answer with another
  /// value belongs to an earlier request and is skipped. One without it may belong to any request:
  /// the request has no answer. Empty disables the check.
  std::string echo_header = {};
  /// Whether an answer says that the request has not run. A connection on which one was received
  /// takes no other request with the same value of `echo_header`, since a copy of that answer could
  /// not be told from the next one; without that header, it takes no further request. May be empty.
  std::function<bool(const http_answer&)> says_not_run = {};
  /// Called when a server closes an idle connection that it had not announced to close. May be
  /// empty.
  std::function<void()> on_idle_closed = {};
  /// Numbers the sessions of a server, see `http_client::session_check`.
  bool track_sessions = false;
};

/// Sends requests over a pool of persistent connections per address.
class http_client {
 public:
  using callback = std::function<void(tl::expected<http_answer, http_failure>)>;
  /// Identifies a request in flight.
  using request_id = uint64_t;
  /// Called with the session of the connection before a request is written to it; returns whether
  /// it may be. A session comprises connections that certainly reach the same process: each was
  /// established while another one was open. Connections of earlier sessions take no further
  /// request. Sessions of an address are numbered from 1.
  using session_check = std::function<bool(uint64_t session)>;

  http_client(event_loop& loop, http_client_settings settings);
  /// Opens at most `max_connections` to one address and requires answers with a length.
  http_client(event_loop& loop, size_t max_connections)
      : http_client(loop, http_client_settings{.max_connections = max_connections,
                                               .require_length = true}) {}
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Sends a request and calls `done` once, after Send has returned. `may_send` requires
  /// `track_sessions`, and may be empty.
  request_id Send(const socket_address& address, http_request request,
                  std::chrono::milliseconds timeout, callback done, session_check may_send = {});
  /// Closes the connection of the request, so that the server notices the cancellation. `done` is
  /// not called. Unknown ids are ignored.
  void Cancel(request_id id);
  /// Closes the idle connections to the address.
  void CloseIdle(const socket_address& address);
  void SetMaxConnections(size_t max_connections) { settings_.max_connections = max_connections; }
  /// Number of open connections to the address, busy or idle.
  size_t Connections(const socket_address& address) const;
  /// Total connections opened since the start, to all addresses.
  uint64_t ConnectionsOpened() const { return connections_opened_; }
  /// Bytes received of the answers that are being received.
  size_t BufferedBytes() const { return buffered_bytes_; }
  /// The same with the bytes that these answers announce and that are still to come.
  size_t ExpectedBytes() const { return expected_bytes_; }
  /// Number of answers that were skipped because they belonged to another request.
  uint64_t CrossedAnswers() const { return crossed_answers_; }

 private:
  friend class http_client_connection;
  struct pending;
  struct pool;

  void Dispatch(const socket_address& address);
  // The session of a connection that has just been established.
  uint64_t JoinSession(const http_client_connection& established);
  uint64_t LatestSession(const socket_address& address) const;
  // Closes an idle connection to make room for a new one; false when there is none.
  static bool CloseOneIdle(pool& connections);
  void OnConnectionClosed(http_client_connection* connection);
  // Called after an exception while input of the connection was processed, which may be closed.
  void OnException(const socket_address& address, const http_client_connection* connection);
  // Called when a request that was sent was not answered in time.
  void OnUnanswered(const socket_address& address);
  void Sweep(instant now);

  event_loop& loop_;
  http_client_settings settings_;
  request_id next_id_ = 1;
  uint64_t connections_opened_ = 0;
  uint64_t crossed_answers_ = 0;
  size_t buffered_bytes_ = 0;
  size_t expected_bytes_ = 0;
  std::map<socket_address, std::unique_ptr<pool>> pools_;
  std::vector<std::unique_ptr<http_client_connection>> closed_;
  timer sweep_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_CLIENT_H
