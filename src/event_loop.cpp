#include "event_loop.h"

#include <event2/event.h>

#include <csignal>
#include <cstdio>

namespace bulrushway {
namespace {

timeval ToTimeval(std::chrono::nanoseconds delay) {
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(delay);
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(micros);
  timeval value{};
  value.tv_sec = seconds.count();
  value.tv_usec = (micros - seconds).count();
  return value;
}

}  // namespace

event_loop::event_loop() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  base_ = event_base_new_with_config(config);
  event_config_free(config);
}

event_loop::~event_loop() {
  if (terminate_ != nullptr) event_free(terminate_);
  if (interrupt_ != nullptr) event_free(interrupt_);
  if (hang_up_ != nullptr) event_free(hang_up_);
  event_base_free(base_);
}

void event_loop::Run() { event_base_dispatch(base_); }

void event_loop::Stop() { event_base_loopbreak(base_); }

void event_loop::OnTermination(std::function<void()> stop) {
  stop_ = std::move(stop);
  std::signal(SIGPIPE, SIG_IGN);
  const auto call = [](evutil_socket_t, short, void* self) {
    auto* loop = static_cast<event_loop*>(self);
    loop->Guard("request to stop", loop->stop_);
  };
  terminate_ = evsignal_new(base_, SIGTERM, call, this);
  interrupt_ = evsignal_new(base_, SIGINT, call, this);
  event_add(terminate_, nullptr);
  event_add(interrupt_, nullptr);
}

void event_loop::OnReload(std::function<void()> reload) {
  reload_ = std::move(reload);
  const auto call = [](evutil_socket_t, short, void* self) {
    auto* loop = static_cast<event_loop*>(self);
    loop->Guard("request to reload", loop->reload_);
  };
  hang_up_ = evsignal_new(base_, SIGHUP, call, this);
  event_add(hang_up_, nullptr);
}

void event_loop::ReportException(std::string_view callback, std::string_view what) noexcept {
  try {
    if (exception_observer_) return exception_observer_(callback, what);
  } catch (...) {
    // There may be no memory for the report; the one below needs none.
    std::fputs("An exception could not be reported.\n", stderr);
  }
  std::fprintf(stderr, "An exception ended a callback (%.*s): %.*s.\n",
               static_cast<int>(callback.size()), callback.data(), static_cast<int>(what.size()),
               what.data());
}

timer::timer(event_loop& loop, callback expired)
    : loop_(loop),
      event_(event_new(loop.Base(), -1, 0, &timer::Expired, this)),
      expired_(std::move(expired)) {}

timer::~timer() { event_free(event_); }

void timer::Once(std::chrono::nanoseconds delay) {
  interval_ = std::chrono::nanoseconds{0};
  const timeval value = ToTimeval(delay);
  event_add(event_, &value);
}

void timer::Every(std::chrono::nanoseconds interval) {
  interval_ = interval;
  const timeval value = ToTimeval(interval);
  event_add(event_, &value);
}

void timer::Cancel() {
  interval_ = std::chrono::nanoseconds{0};
  event_del(event_);
}

void timer::Expired(int, short, void* self) {
  auto* expired_timer = static_cast<timer*>(self);
  if (expired_timer->interval_.count() > 0) {
    const timeval value = ToTimeval(expired_timer->interval_);
    event_add(expired_timer->event_, &value);
  }
  // The callback may destroy the timer, so a copy is called.
  event_loop& loop = expired_timer->loop_;
  loop.Guard("timer", [call = expired_timer->expired_] { call(boot_clock::now()); });
}

}  // namespace bulrushway
