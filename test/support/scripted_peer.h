#ifndef BULRUSHWAY_TEST_SCRIPTED_PEER_H
#define BULRUSHWAY_TEST_SCRIPTED_PEER_H

// A server that sends scripted bytes, valid HTTP or not, to test how the router handles faulty
// peers.

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <string>
#include <vector>

#include "event_loop.h"
#include "socket_address.h"

namespace bulrushway::testing {

/// A loopback server that answers the n-th chunk that it reads, over all connections, with the n-th
/// step of its script.
class scripted_server {
 public:
  struct step {
    std::string text;
    /// What follows the write: keep the connection, close it, reset it, or ignore further input.
    enum class end { kKeep, kClose, kReset, kIgnore } then = end::kKeep;
    /// Bytes that the server writes to its first connection before `text`.
    std::string stray = {};
  };

  scripted_server(event_loop& loop, std::vector<step> script) : script_(std::move(script)) {
    sockaddr_in bind_address{};
    bind_address.sin_family = AF_INET;
    bind_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(
        loop.Base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
          static_cast<scripted_server*>(self)->OnAccept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<sockaddr*>(&bind_address), sizeof bind_address);
    socklen_t length = sizeof bind_address;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&bind_address),
                &length);
    address_ = {"127.0.0.1", ntohs(bind_address.sin_port)};
  }
  ~scripted_server() {
    evconnlistener_free(listener_);
    for (bufferevent* connection : open_connections_) bufferevent_free(connection);
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  const socket_address& address() const { return address_; }
  size_t Connections() const { return connections_; }
  const std::string& Received() const { return received_; }
  /// Writes to the first connection at once, so that the bytes are in the peer's socket on return.
  void WriteNow(const std::string& text) {
    send(bufferevent_getfd(open_connections_.front()), text.data(), text.size(), MSG_NOSIGNAL);
  }
  /// Ends the first connection at once, in order.
  void EndNow() { shutdown(bufferevent_getfd(open_connections_.front()), SHUT_WR); }

 private:
  void OnAccept(evutil_socket_t socket) {
    ++connections_;
    bufferevent* connection =
        bufferevent_socket_new(evconnlistener_get_base(listener_), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        connection,
        [](bufferevent* source, void* self) {
          static_cast<scripted_server*>(self)->OnRead(source);
        },
        [](bufferevent* source, void* self) {
          static_cast<scripted_server*>(self)->OnWritten(source);
        },
        nullptr, this);
    bufferevent_enable(connection, EV_READ | EV_WRITE);
    open_connections_.push_back(connection);
  }

  void OnRead(bufferevent* connection) {
    evbuffer* input = bufferevent_get_input(connection);
    const size_t size = evbuffer_get_length(input);
    received_.append(reinterpret_cast<char*>(evbuffer_pullup(input, -1)), size);
    evbuffer_drain(input, size);
    if (next_step_ >= script_.size() || ignored_connection_ == connection) return;
    const step& reply = script_[next_step_++];
    if (reply.then == step::end::kIgnore) ignored_connection_ = connection;
    after_write_ = reply.then;
    if (!reply.stray.empty()) {
      bufferevent_write(open_connections_.front(), reply.stray.data(), reply.stray.size());
    }
    // Nothing to write, so that no callback follows.
    if (reply.text.empty()) return OnWritten(connection);
    bufferevent_write(connection, reply.text.data(), reply.text.size());
  }

  void OnWritten(bufferevent* connection) {
    if (after_write_ == step::end::kKeep || after_write_ == step::end::kIgnore) return;
    if (after_write_ == step::end::kReset) {
      const linger reset{1, 0};
      setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    after_write_ = step::end::kKeep;
    std::erase(open_connections_, connection);
    bufferevent_free(connection);
  }

  std::vector<step> script_;
  evconnlistener* listener_ = nullptr;
  socket_address address_;
  size_t next_step_ = 0;
  size_t connections_ = 0;
  step::end after_write_ = step::end::kKeep;
  std::string received_;
  bufferevent* ignored_connection_ = nullptr;
  std::vector<bufferevent*> open_connections_;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_SCRIPTED_PEER_H
