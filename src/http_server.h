#ifndef BULRUSHWAY_HTTP_SERVER_H
#define BULRUSHWAY_HTTP_SERVER_H

// HTTP/1.1 server for callers, targets and operators: libevent does the I/O, Boost.Beast the
// parsing. An exchange may be answered asynchronously, and reports when its caller disconnects.

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "body_admission.h"
#include "bulk_pacer.h"
#include "event_loop.h"
#include "http_message.h"
#include "memory_budget.h"
#include "socket_address.h"

struct evconnlistener;

namespace bulrushway {

class http_server_connection;

/// A request and the means to answer it. The code that will answer holds a reference; an exchange
/// that is destroyed without an answer closes its connection.
class http_exchange {
 public:
  http_exchange(http_server_connection* connection, http_request request);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  /// The complete request.
  const http_request& request() const { return request_; }
  /// Moves the body out of the request.
  std::string TakeBody() { return std::move(request_.body); }
  /// Address of the caller; empty once finished.
  socket_address Peer() const;
  /// Sends the answer. Does nothing after the exchange is finished.
  void Reply(http_answer answer);
  /// Sends the head of the answer and the first `bytes` of its body, then closes the connection.
  /// Lets stand-in targets simulate truncated answers.
  void ReplyTruncated(const http_answer& answer, size_t bytes);
  /// Closes the caller's connection without an answer. Must not be called from within the handler.
  void Drop();
  /// Calls `closed` once if the caller disconnects before the exchange is answered. A half-close by
  /// the caller is treated as a disconnect.
  void OnClosed(std::function<void()> closed);
  /// Whether the exchange was answered or dropped, or the caller disconnected.
  bool Finished() const { return connection_ == nullptr; }

 private:
  friend class http_server_connection;

  void OnCallerDisconnected();

  http_server_connection* connection_;
  http_request request_;
  std::function<void()> on_closed_;
};

/// Limits of a server.
struct http_limits {
  /// Maximum size of a body in bytes; the server rejects a larger one with status 413.
  size_t max_body = 1 << 20;
  /// Maximum size of the headers in bytes; the server rejects larger ones with status 431.
  size_t max_headers = 16 << 10;
  /// An idle connection is closed after this time.
  std::chrono::milliseconds idle_timeout{60'000};
  /// A request whose head is incomplete this long after its first byte is rejected with status 408,
  /// and so is one of whose body nothing arrives for the longer of the two times.
  std::chrono::milliseconds request_timeout{60'000};
};

/// Why the server rejects a request.
enum class rejection_reason {
  kMalformed,
  kHeadersTooLarge,
  kBodyTooLarge,
  kHeadTimeout,
  kBodyTimeout,
  /// Other requests fill the memory of the process.
  kNoMemory
};

/// Name of the reason in logs and metrics.
std::string_view Name(rejection_reason reason);

/// A request that the server rejects without passing it to the handler.
struct rejected_request {
  /// Status of the answer: 400, 408, 413, 431 or 503.
  int status = 0;
  rejection_reason reason = rejection_reason::kMalformed;
  socket_address peer;
  /// The target and headers, once the whole head was received.
  std::string target;
  header_list headers;
  /// Bytes of the request that were received.
  size_t received = 0;
  /// Size limits under which the request was read.
  size_t max_headers = 0;
  size_t max_body = 0;
  /// Since its first byte.
  std::chrono::nanoseconds elapsed{0};
};

/// Listens on one address and passes each request to the handler.
class http_server {
 public:
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;
  using rejection_handler = std::function<http_answer(instant, const rejected_request&)>;
  using overlap_predicate = std::function<bool(const http_request&)>;

  /// `pacer`, if not null, paces large answers.
  http_server(event_loop& loop, const http_limits& limits, handler handle,
              bulk_pacer* pacer = nullptr);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Starts to listen. Fails when the address cannot be bound.
  result<void> Listen(const socket_address& address);
  /// Calls `rejected` for each request that the server rejects by itself, and sends the answer it
  /// returns; then closes the connection.
  void OnRejected(rejection_handler rejected) { rejected_ = std::move(rejected); }
  /// Handles up to `depth` pipelined requests of a connection at the same time, if `may_overlap`
  /// holds for each of them. By default they are handled one at a time.
  void EnablePipelining(size_t depth, overlap_predicate may_overlap) {
    pipeline_depth_ = std::max<size_t>(1, depth);
    may_overlap_ = std::move(may_overlap);
  }
  /// Lets callers wait whose requests do not fit in the budget, and ends requests that make no
  /// progress meanwhile. The budget includes HeldBytes().
  void SetBudget(const memory_budget* budget) { budget_ = budget; }
  /// Limits the open connections; zero means that they are not limited. At the limit, the
  /// connection without progress for the longest time is closed, if it has no request in flight.
  void SetMaxConnections(size_t connections) { max_connections_ = connections; }
  /// Bytes of requests, complete or not, and of answers.
  size_t HeldBytes() const { return bodies_.HeldBytes() + BufferedBytes(); }
  /// Applies new limits, to open connections as well. A request that is being read may use the
  /// largest limits in force since its first byte: its caller cannot know of the change.
  void SetLimits(const http_limits& limits);
  /// Starts draining: connections are closed after their next answer, or when idle for `idle`.
  void Drain(instant now, std::chrono::milliseconds idle);
  /// Whether output on any connection is still buffered.
  bool HasUnsent() const;
  /// Bytes that are buffered on all connections.
  size_t BufferedBytes() const;
  /// Number of connections that were closed or not accepted because too many were open.
  uint64_t Displaced() const { return displaced_; }
  /// Number of open connections.
  size_t Connections() const { return connections_.size(); }

 private:
  friend class http_server_connection;

  void Accept(int socket, const socket_address& peer);
  void Sweep(instant now);
  // Closes the connection that made no progress for the longest time. False if all have requests in
  // flight.
  bool CloseLeastActive();
  // Bytes that the process holds beside the requests of these callers.
  size_t HeldByOthers() const;
  // Ends requests for which there is no memory, and lets others go on.
  void ShareMemory(instant now);
  void ResumeWaiting(instant now);

  event_loop& loop_;
  http_limits limits_;
  handler handle_;
  rejection_handler rejected_;
  size_t pipeline_depth_ = 1;
  overlap_predicate may_overlap_;
  const memory_budget* budget_ = nullptr;
  body_admission bodies_;
  size_t max_connections_ = 0;
  uint64_t displaced_ = 0;
  bulk_pacer* pacer_;
  bool draining_ = false;
  instant last_sweep_;
  evconnlistener* listener_ = nullptr;
  std::map<http_server_connection*, std::unique_ptr<http_server_connection>> connections_;
  timer sweep_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_SERVER_H
