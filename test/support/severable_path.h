#ifndef BULRUSHWAY_TEST_SEVERABLE_PATH_H
#define BULRUSHWAY_TEST_SEVERABLE_PATH_H

// A path between two processes whose open connections can fall silent for good, while new ones
// work, and which can change the answers that it forwards.

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <list>
#include <string>
#include <utility>

#include "event_loop.h"
#include "socket_address.h"
#include "socket_options.h"

namespace bulrushway::testing {

/// Forwards connections from one address to another.
class severable_path {
 public:
  severable_path(event_loop& loop, const socket_address& from, socket_address to)
      : loop_(loop), to_(std::move(to)) {
    const sockaddr_in raw = ToSockaddr(from);
    listener_ = evconnlistener_new_bind(
        loop.Base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
          static_cast<severable_path*>(self)->OnAccept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<const sockaddr*>(&raw), sizeof raw);
  }
  ~severable_path() {
    if (listener_ != nullptr) evconnlistener_free(listener_);
    for (const pair& each : pairs_) Free(each);
  }
  severable_path(const severable_path&) = delete;
  severable_path& operator=(const severable_path&) = delete;

  bool Listening() const { return listener_ != nullptr; }
  /// The open connections deliver nothing any more. With `answers_only`, requests still arrive.
  void Silence(bool answers_only = false) {
    for (pair& each : pairs_) {
      each.answers_lost = true;
      each.requests_lost = each.requests_lost || !answers_only;
    }
  }
  /// Changes each piece of an answer that is forwarded, as it was read; null: changes nothing.
  void EditAnswers(std::function<std::string(std::string)> edit) { edit_ = std::move(edit); }
  /// New connections are refused as well.
  void Close() {
    evconnlistener_free(listener_);
    listener_ = nullptr;
  }

 private:
  struct pair {
    bufferevent* near = nullptr;
    bufferevent* far = nullptr;
    const severable_path* path = nullptr;
    bool requests_lost = false;
    bool answers_lost = false;
  };

  static void Free(const pair& each) {
    bufferevent_free(each.near);
    bufferevent_free(each.far);
  }
  static void Move(bufferevent* from, bufferevent* to, bool lost) {
    evbuffer* input = bufferevent_get_input(from);
    if (lost) {
      evbuffer_drain(input, evbuffer_get_length(input));
    } else {
      bufferevent_write_buffer(to, input);
    }
  }
  void MoveAnswer(const pair& each) const {
    if (!edit_ || each.answers_lost) return Move(each.far, each.near, each.answers_lost);
    evbuffer* input = bufferevent_get_input(each.far);
    std::string answer(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, answer.data(), answer.size());
    answer = edit_(std::move(answer));
    bufferevent_write(each.near, answer.data(), answer.size());
  }
  void OnAccept(evutil_socket_t socket) {
    pair& added = pairs_.emplace_back();
    added.path = this;
    added.near = bufferevent_socket_new(loop_.Base(), socket, BEV_OPT_CLOSE_ON_FREE);
    added.far = bufferevent_socket_new(loop_.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in raw = ToSockaddr(to_);
    bufferevent_socket_connect(added.far, reinterpret_cast<sockaddr*>(&raw), sizeof raw);
    // The ends of connections are not forwarded: only silence is of interest here.
    bufferevent_setcb(
        added.near,
        [](bufferevent* from, void* self) {
          const auto* each = static_cast<pair*>(self);
          Move(from, each->far, each->requests_lost);
        },
        nullptr, nullptr, &added);
    bufferevent_setcb(
        added.far,
        [](bufferevent*, void* self) {
          const auto* each = static_cast<pair*>(self);
          each->path->MoveAnswer(*each);
        },
        nullptr, nullptr, &added);
    bufferevent_enable(added.near, EV_READ | EV_WRITE);
    bufferevent_enable(added.far, EV_READ | EV_WRITE);
  }

  event_loop& loop_;
  socket_address to_;
  std::function<std::string(std::string)> edit_;
  evconnlistener* listener_ = nullptr;
  std::list<pair> pairs_;
};

}  // namespace bulrushway::testing

#endif  // BULRUSHWAY_TEST_SEVERABLE_PATH_H
