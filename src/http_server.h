#ifndef BULRUSHWAY_HTTP_SERVER_H
#define BULRUSHWAY_HTTP_SERVER_H

// HTTP/1.1 towards callers, targets and operators: libevent moves the bytes, Boost.Beast parses
// them. An exchange may be answered at any later time, and tells when its caller went away.

#include <chrono>
#include <functional>
#include <map>
#include <memory>

#include "bulk_pacer.h"
#include "event_loop.h"
#include "http_message.h"
#include "socket_address.h"

struct evconnlistener;

namespace bulrushway {

class http_server_connection;

/// One request of a caller and the way to answer it. Kept alive by whoever will answer.
class http_exchange {
 public:
  http_exchange(http_server_connection* connection, http_request request);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  /// The request, whole.
  const http_request& request() const { return request_; }
  /// Moves the body out, for whoever forwards it.
  std::string TakeBody() { return std::move(request_.body); }
  /// Address at the caller's end of the connection.
  socket_address Peer() const;
  /// Sends the answer; later calls and calls after the caller went away do nothing.
  void Reply(const http_answer& answer);
  /// Sends the head of the answer and `bytes` of its body, then closes the connection: for
  /// stand-ins of targets that break off.
  void ReplyTruncated(const http_answer& answer, size_t bytes);
  /// Closes the caller's connection without an answer. Not to be called from within the handler.
  void Drop();
  /// Calls `closed` once if the caller goes away before the answer is sent. A caller that closes
  /// only its sending side counts as gone.
  void OnClosed(std::function<void()> closed);
  /// True once answered or once the caller went away.
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
  /// Longest body in bytes; a longer one is answered 413 by the server itself.
  size_t max_body = 1 << 20;
  /// Longest header block in bytes; a longer one is answered 431.
  size_t max_headers = 16 << 10;
  /// An idle connection is closed after this time.
  std::chrono::milliseconds idle_timeout{60'000};
  /// A request that is not whole this long after its first byte is answered 408.
  std::chrono::milliseconds request_timeout{60'000};
};

/// Listens on one address and hands each request to one handler.
class http_server {
 public:
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;

  /// `pacer`, if any, paces large answers.
  http_server(event_loop& loop, const http_limits& limits, handler handle,
              bulk_pacer* pacer = nullptr);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Starts to listen. Fails with the address in the error when it is taken.
  result<void> Listen(const socket_address& address);
  /// Takes new limits over, for open connections too.
  void SetLimits(const http_limits& limits) { limits_ = limits; }
  /// From now on each answer closes its connection, and idle connections are closed after `idle`.
  void Drain(instant now, std::chrono::milliseconds idle);
  /// Whether bytes of answers wait to be sent.
  bool HasUnsent() const;
  /// Open connections.
  size_t Connections() const { return connections_.size(); }

 private:
  friend class http_server_connection;

  void Accept(int socket, const socket_address& peer);
  void Sweep(instant now);

  event_loop& loop_;
  http_limits limits_;
  handler handle_;
  bulk_pacer* pacer_;
  bool draining_ = false;
  evconnlistener* listener_ = nullptr;
  std::map<http_server_connection*, std::unique_ptr<http_server_connection>> connections_;
  timer sweep_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_SERVER_H
