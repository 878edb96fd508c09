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
  };

  scripted_server(event_loop& loop, std::vector<step> script) : script_(std::move(script)) {
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(
        loop.Base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
          static_cast<scripted_server*>(self)->Adopt(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16, reinterpret_cast<sockaddr*>(&any),
        sizeof any);
    socklen_t length = sizeof any;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&any), &length);
    address_ = {"127.0.0.1", ntohs(any.sin_port)};
  }
  ~scripted_server() {
    evconnlistener_free(listener_);
    for (bufferevent* each : open_) bufferevent_free(each);
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  const socket_address& address() const { return address_; }
  size_t Connections() const { return connections_; }
  const std::string& Received() const { return received_; }

 private:
  void Adopt(evutil_socket_t socket) {
    ++connections_;
    bufferevent* raw =
        bufferevent_socket_new(evconnlistener_get_base(listener_), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        raw, [](bufferevent* from, void* self) { static_cast<scripted_server*>(self)->Play(from); },
        [](bufferevent* from, void* self) { static_cast<scripted_server*>(self)->Written(from); },
        nullptr, this);
    bufferevent_enable(raw, EV_READ | EV_WRITE);
    open_.push_back(raw);
  }

  void Play(bufferevent* from) {
    evbuffer* input = bufferevent_get_input(from);
    const size_t size = evbuffer_get_length(input);
    received_.append(reinterpret_cast<char*>(evbuffer_pullup(input, -1)), size);
    evbuffer_drain(input, size);
    if (next_ >= script_.size() || ignored_ == from) return;
    const step& now = script_[next_++];
    if (now.then == step::end::kIgnore) ignored_ = from;
    ending_ = now.then;
    bufferevent_write(from, now.text.data(), now.text.size());
  }

  void Written(bufferevent* from) {
    if (ending_ == step::end::kKeep || ending_ == step::end::kIgnore) return;
    if (ending_ == step::end::kReset) {
      const linger at_once{1, 0};
      setsockopt(bufferevent_getfd(from), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    ending_ = step::end::kKeep;
    std::erase(open_, from);
    bufferevent_free(from);
  }

  std::vector<step> script_;
  evconnlistener* listener_ = nullptr;
  socket_address address_;
  size_t next_ = 0;
  size_t connections_ = 0;
  step::end ending_ = step::end::kKeep;
  std::string received_;
  bufferevent* ignored_ = nullptr;
  std::vector<bufferevent*> open_;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_SCRIPTED_PEER_H
