#ifndef BULRUSHWAY_HTTP_CLIENT_CONNECTION_H
#define BULRUSHWAY_HTTP_CLIENT_CONNECTION_H

// Internal to http_client: one connection, which handles one request at a time.

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "http_client.h"
#include "http_parser.h"

struct bufferevent;

namespace bulrushway {

// A request that waits for a connection or is in flight.
struct http_client::pending {
  request_id id = 0;
  http_request request;
  callback done;
  instant deadline;
  session_check may_send = {};
};

class http_client_connection {
 public:
  http_client_connection(http_client& client, const socket_address& address, instant now);
  ~http_client_connection();
  http_client_connection(const http_client_connection&) = delete;
  http_client_connection& operator=(const http_client_connection&) = delete;

  /// Sends the request as soon as the connection is established.
  void Start(std::unique_ptr<http_client::pending> request, instant now);
  /// The request in flight, or null.
  const http_client::pending* current() const { return current_.get(); }
  /// Whether the connection can take a request: established, idle, without stray input, and not
  /// idle for too long.
  bool Usable(instant now) const;
  /// Whether the socket holds bytes, or the end of the stream, that the event loop has not read
  /// yet.
  bool HasUnreadInput() const;
  /// Whether the server has certainly not closed the connection yet.
  bool ServerHoldsOpen() const;
  /// The session, if the client tracks them; 0 until the connection is established.
  uint64_t session() const { return session_; }
  /// Whether a request with the same id was refused on this connection.
  bool HasRefused(const http_request& request) const;
  /// Drops the request in flight without calling back, and closes the connection.
  void Abandon();
  /// Ends the request in flight and closes the connection, after processing its input has failed.
  void FailAfterException();
  /// Fails a request past its deadline, or closes a connection that was idle for too long.
  void CheckTimeouts(instant now);

  const socket_address& address() const { return address_; }

 private:
  static void OnReadable(bufferevent*, void* self);
  static void OnEvent(bufferevent*, short events, void* self);

  // Calls `call` for libevent. After an exception, the connection fails.
  template <class Call>
  void Guard(std::string_view callback, Call call);
  // What waits in the socket; an error counts as its end.
  enum class socket_input { kNone, kBytes, kEnd };
  socket_input PeekInput() const;
  void OnStateChange(short events);
  void Write();
  // Counts received bytes; false when they are more than the connection may buffer.
  bool CountReceived(size_t bytes);
  // Counts bytes that are held, or will be, for the answer.
  void Expect(size_t bytes);
  // Whether an answer that is being received can be held. One that announces its length is held
  // whole, or waits in the socket until it can be.
  enum class admission { kAccepted, kWait, kRefused };
  admission Admit();
  // Goes on with an answer that waits, if it can be held now.
  void Resume();
  void ForgetReceived();
  void Read();
  // Which request an answer names: that in flight, none although that in flight has an id, or
  // another one.
  enum class echoed_id { kOwn, kMissing, kOther };
  echoed_id EchoOf(const http_answer& answer) const;
  // Fails the request in flight, whose answer cannot be told from that to another one.
  void FailUnmatched(echoed_id id);
  void OnDisconnect(bool orderly);
  void Complete(http_answer answer, bool reusable);
  // Notes the refusal of a request; false when the connection can take no further one.
  bool RecordRefusal(const http_request& request, const http_answer& answer);
  // Fails the request in flight. The connection may be kept if nothing was written.
  void Fail(http_failure failure, bool keep_connection = false);
  void RecordKeepAlive(const http_answer& answer);

  http_client& client_;
  socket_address address_;
  bufferevent* raw_ = nullptr;
  std::unique_ptr<http_client::pending> current_;
  std::unique_ptr<http_answer_parser> parser_;
  bool established_ = false;
  uint64_t session_ = 0;
  // Bytes received since the request was sent, interim and skipped answers included.
  size_t answer_bytes_ = 0;
  // The same, or the length that the answer announces if that is more.
  size_t expected_bytes_ = 0;
  bool admitted_ = false;
  bool awaits_memory_ = false;
  bool written_ = false;
  bool withheld_ = false;
  bool skipped_answer_ = false;
  bool closed_ = false;
  // Ids of the requests that the server said it has not run.
  std::set<std::string> refused_ids_;
  instant connect_started_;
  instant idle_since_;
  std::optional<std::chrono::milliseconds> announced_limit_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HTTP_CLIENT_CONNECTION_H
