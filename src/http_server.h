#ifndef BULRUSHWAY_HTTP_SERVER_H
#define BULRUSHWAY_HTTP_SERVER_H

// HTTP towards callers and operators, on evhttp. An exchange may be answered at any later time, and
// tells when its caller went away.

#include <chrono>
#include <functional>
#include <memory>

#include "event_loop.h"
#include "http_message.h"
#include "socket_address.h"

struct event;
struct evhttp;
struct evhttp_request;
struct evhttp_connection;

namespace bulrushway {

/// One request of a caller and the way to answer it. Kept alive by whoever will answer.
class http_exchange {
 public:
  http_exchange(evhttp_request* raw, http_request request);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  /// The request, whole.
  const http_request& request() const { return request_; }
  /// Address at the caller's end of the connection.
  socket_address Peer() const;
  /// Sends the answer; later calls and calls after the caller went away do nothing.
  void Reply(const http_answer& answer);
  /// Closes the caller's connection without an answer. Not to be called from within the handler.
  void Drop();
  /// Calls `closed` once if the caller goes away before the answer is sent. A caller that closes
  /// only its sending side counts as gone.
  void OnClosed(std::function<void()> closed);
  /// True once answered or once the caller went away.
  bool Finished() const { return raw_ == nullptr; }

 private:
  static void ConnectionClosed(evhttp_connection*, void* self);
  static void Readable(int socket, short, void* self);
  void StopWatching();

  evhttp_request* raw_;
  http_request request_;
  event* watch_ = nullptr;
  std::function<void()> closed_;
};

/// Limits of a server.
struct http_limits {
  /// Longest body in bytes; a longer one is answered 413 by the server itself.
  size_t max_body = 1 << 20;
  /// Longest header block in bytes.
  size_t max_headers = 16 << 10;
  /// An idle connection is closed after this time.
  std::chrono::seconds idle_timeout{60};
};

/// Listens on one address and hands each request to one handler.
class http_server {
 public:
  using handler = std::function<void(std::shared_ptr<http_exchange>)>;

  http_server(event_loop& loop, http_limits limits, handler handle);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Starts to listen. Fails with the address in the error when it is taken.
  result<void> Listen(const socket_address& address);

 private:
  static void Received(evhttp_request* raw, void* self);

  evhttp* http_;
  handler handle_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_SERVER_H
