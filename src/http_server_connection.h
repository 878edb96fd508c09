#ifndef BULRUSHWAY_HTTP_SERVER_CONNECTION_H
#define BULRUSHWAY_HTTP_SERVER_CONNECTION_H

// Internal to http_server: one connection of a caller. Pipelined requests are handled one at a
// time: the next is parsed only after the previous one is answered.

#include <memory>

#include "http_parser.h"
#include "http_server.h"

struct bufferevent;

namespace bulrushway {

class http_server_connection {
 public:
  http_server_connection(http_server& server, bufferevent* raw, const socket_address& peer);
  ~http_server_connection();
  http_server_connection(const http_server_connection&) = delete;
  http_server_connection& operator=(const http_server_connection&) = delete;

  /// Answers the current exchange and continues with the next request.
  void Reply(http_answer answer);
  /// Sends the head and the first `bytes` of the body, then closes the connection.
  void ReplyTruncated(const http_answer& answer, size_t bytes);
  /// Closes the connection immediately and destroys this object.
  void Abort();
  /// Reads the current request under these limits where they are larger than its own.
  void RaiseLimits(const http_limits& limits);
  /// Does not charge the caller for a time in which its bytes could not be read.
  void ExtendTimeouts(instant now, std::chrono::nanoseconds by);
  /// Rejects a request that is overdue, or closes a connection that was idle for too long.
  void CheckTimeouts(instant now);
  /// Closes the connection after its exchange was destroyed without an answer.
  void OnExchangeDestroyed();

  bool HasUnsent() const;
  /// Bytes of the answer that the caller has not read, and of the input that was not parsed yet.
  size_t BufferedBytes() const;

  const socket_address& peer() const { return peer_; }

 private:
  enum class progress { kReading, kHandling, kClosing };

  static void OnReadable(bufferevent*, void* self);
  static void OnWritten(bufferevent*, void* self);
  static void OnEvent(bufferevent*, short events, void* self);

  // Calls `call` for libevent. After an exception, the connection is closed.
  template <class Call>
  void Guard(std::string_view callback, Call call);
  void OnStateChange(short events);
  void Read(instant now);
  void DispatchRequest();
  void Reject(instant now, rejection_reason reason);
  void Send(http_answer answer, bool keep_alive);
  void CloseAfterWriting();

  http_server& server_;
  bufferevent* raw_;
  socket_address peer_;
  std::unique_ptr<http_request_parser> parser_;
  std::weak_ptr<http_exchange> exchange_;
  progress progress_ = progress::kReading;
  bool keep_alive_ = true;
  bool continue_sent_ = false;
  bool peer_closed_ = false;
  // Buffered output at the last timeout check.
  size_t last_unsent_bytes_ = 0;
  instant last_activity_;
  instant request_started_;
  // Limits and received bytes of the request being read. Each limit is the largest one in force
  // since its first byte.
  http_size_limits size_limits_;
  std::chrono::milliseconds request_timeout_{0};
  size_t request_bytes_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_SERVER_CONNECTION_H
