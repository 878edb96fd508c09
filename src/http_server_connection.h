#ifndef BULRUSHWAY_HTTP_SERVER_CONNECTION_H
#define BULRUSHWAY_HTTP_SERVER_CONNECTION_H

// Internal to http_server: one connection of a caller. Pipelined requests that may overlap are
// handled at the same time, up to the depth of the server, and answered in the order in which they
// arrived. A request that may not overlap is handled alone: once the connection closes, its caller
// takes the requests behind the last answer as not read, so that nothing may have run of those that
// must not be repeated.

#include <deque>
#include <memory>
#include <optional>

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

  /// Answers an exchange, once those before it are answered.
  void Reply(const http_exchange& exchange, http_answer answer);
  /// Sends the head and the first `bytes` of the body, then closes the connection. The exchange has
  /// to be the only one.
  void ReplyTruncated(const http_exchange& exchange, const http_answer& answer, size_t bytes);
  /// Closes the connection immediately and destroys this object.
  void Abort();
  /// Reads the current request under these limits where they are larger than its own.
  void RaiseLimits(const http_limits& limits);
  /// Does not charge the caller for a time in which its bytes could not be read.
  void ExtendTimeouts(instant now, std::chrono::nanoseconds by);
  /// Rejects a request that is overdue, or closes a connection that was idle for too long.
  void CheckTimeouts(instant now);
  /// Rejects the request that is being read.
  void RejectUnfinished(instant now, rejection_reason reason);
  /// Continues reading a request that waited for memory, if there is enough now.
  void ReadAfterWait(instant now);
  /// Continues reading from the loop, if the next request may be read.
  void ReadLater();
  /// Closes the connection, after the answers before it, since an exchange was destroyed without an
  /// answer.
  void OnExchangeDestroyed(const http_exchange& exchange);

  bool HasUnsent() const;
  /// Bytes of the answers that the caller has not read, and of the input that was not parsed yet.
  size_t BufferedBytes() const;

  bool HasRequestInFlight() const { return !pending_.empty() || held_; }
  instant last_activity() const { return last_activity_; }
  const socket_address& peer() const { return peer_; }

 private:
  // A request that was handed over, or rejected, and the state of its answer.
  struct pending_answer {
    const http_exchange* id = nullptr;
    std::weak_ptr<http_exchange> exchange;
    bool may_overlap = false;
    bool keep_alive = true;
    // Destroyed without an answer.
    bool lost = false;
    size_t body_bytes = 0;
    std::optional<http_answer> answer;
  };

  static void OnReadable(bufferevent*, void* self);
  static void OnWritten(bufferevent*, void* self);
  static void OnEvent(bufferevent*, short events, void* self);

  // Calls `call` for libevent. After an exception, the connection is closed.
  template <class Call>
  void Guard(std::string_view callback, Call call);
  void OnStateChange(short events);
  void Read(instant now);
  // Whether the next request may be read now.
  bool MayRead() const;
  // Handles the complete request in the parser, or keeps it until it may be handled.
  void TakeRequest();
  void Dispatch(http_request request, bool keep_alive, bool may_overlap);
  pending_answer* FindPending(const http_exchange& exchange);
  // Sends the answers whose turn it is, and continues reading.
  void SendReady();
  // Whether there is memory for the request that is being read.
  bool ReserveMemory(instant now);
  // Asks for the body of a request whose caller waits for that.
  void SendContinue();
  void Reject(instant now, rejection_reason reason);
  void Send(http_answer answer, bool keep_alive);
  void CloseAfterWriting();

  http_server& server_;
  bufferevent* raw_;
  socket_address peer_;
  std::unique_ptr<http_request_parser> parser_;
  // In the order of the requests.
  std::deque<pending_answer> pending_;
  // A complete request that has to wait until all before it are answered.
  std::optional<http_request> held_;
  bool held_keep_alive_ = true;
  bool closing_ = false;
  // Nothing is read until there is memory.
  bool paused_ = false;
  bool continue_sent_ = false;
  bool peer_closed_ = false;
  // Buffered output at the last timeout check, and when less of it was left for the last time.
  size_t last_unsent_bytes_ = 0;
  instant last_output_;
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
