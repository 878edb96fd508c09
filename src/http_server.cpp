#include "http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace bulrushway {
namespace {

std::string MethodName(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    default:
      return "GET";
  }
}

http_request ReadRequest(evhttp_request* raw) {
  http_request request;
  request.method = MethodName(evhttp_request_get_command(raw));
  request.target = evhttp_request_get_uri(raw);
  const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
  for (const evkeyval* pair = headers->tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
    request.headers.emplace_back(pair->key, pair->value);
  }
  evbuffer* body = evhttp_request_get_input_buffer(raw);
  request.body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, request.body.data(), request.body.size());
  return request;
}

}  // namespace

http_exchange::http_exchange(evhttp_request* raw, http_request request)
    : raw_(raw), request_(std::move(request)) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(raw), &ConnectionClosed, this);
}

http_exchange::~http_exchange() {
  StopWatching();
  if (raw_ == nullptr) return;
  Reply({500, {}, "The request was dropped without an answer.\n"});
}

socket_address http_exchange::Peer() const {
  if (raw_ == nullptr) return {};
  char* ip = nullptr;
  uint16_t port = 0;
  evhttp_connection_get_peer(evhttp_request_get_connection(raw_), &ip, &port);
  return {ip == nullptr ? "" : ip, port};
}

void http_exchange::Reply(const http_answer& answer) {
  if (raw_ == nullptr) return;
  StopWatching();
  evhttp_request* raw = raw_;
  raw_ = nullptr;
  closed_ = nullptr;
  evhttp_connection_set_closecb(evhttp_request_get_connection(raw), nullptr, nullptr);
  for (const auto& [key, value] : answer.headers) {
    evhttp_add_header(evhttp_request_get_output_headers(raw), key.c_str(), value.c_str());
  }
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, answer.body.data(), answer.body.size());
  evhttp_send_reply(raw, answer.status, nullptr, body);
  evbuffer_free(body);
}

void http_exchange::Drop() {
  if (raw_ == nullptr) return;
  StopWatching();
  evhttp_connection* connection = evhttp_request_get_connection(raw_);
  raw_ = nullptr;
  closed_ = nullptr;
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  evhttp_connection_free(connection);
}

// evhttp stops reading from a connection while its request is answered, so that it would notice
// that the caller went away only when it writes the answer.
void http_exchange::OnClosed(std::function<void()> closed) {
  closed_ = std::move(closed);
  if (raw_ == nullptr || watch_ != nullptr) return;
  evhttp_connection* connection = evhttp_request_get_connection(raw_);
  const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  watch_ = event_new(evhttp_connection_get_base(connection), socket, EV_READ, &Readable, this);
  event_add(watch_, nullptr);
}

void http_exchange::Readable(int socket, short, void* self) {
  char byte = 0;
  const ssize_t read = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A byte here is the caller's next request, which evhttp reads after this one is answered.
  if (read > 0 || (read < 0 && (errno == EAGAIN || errno == EINTR))) return;
  auto* exchange = static_cast<http_exchange*>(self);
  // Calls ConnectionClosed.
  evhttp_connection_free(evhttp_request_get_connection(exchange->raw_));
}

void http_exchange::StopWatching() {
  if (watch_ != nullptr) event_free(watch_);
  watch_ = nullptr;
}

void http_exchange::ConnectionClosed(evhttp_connection*, void* self) {
  auto* exchange = static_cast<http_exchange*>(self);
  exchange->StopWatching();
  exchange->raw_ = nullptr;
  if (auto closed = std::move(exchange->closed_)) closed();
}

http_server::http_server(event_loop& loop, http_limits limits, handler handle)
    : http_(evhttp_new(loop.Base())), handle_(std::move(handle)) {
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(limits.max_body));
  evhttp_set_max_headers_size(http_, static_cast<ev_ssize_t>(limits.max_headers));
  evhttp_set_timeout(http_, static_cast<int>(limits.idle_timeout.count()));
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
  evhttp_set_gencb(http_, &Received, this);
}

http_server::~http_server() { evhttp_free(http_); }

result<void> http_server::Listen(const socket_address& address) {
  if (evhttp_bind_socket(http_, address.ip.c_str(), address.port) == 0) return {};
  return Failure(
      error_kind::kUser, "listen for HTTP", ToString(address),
      "The address " + ToString(address) + " cannot be bound: " + std::strerror(errno) + ".");
}

void http_server::Received(evhttp_request* raw, void* self) {
  auto* server = static_cast<http_server*>(self);
  server->handle_(std::make_shared<http_exchange>(raw, ReadRequest(raw)));
}

}  // namespace bulrushway
