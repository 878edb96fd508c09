#ifndef BULRUSHWAY_EVENT_LOOP_H
#define BULRUSHWAY_EVENT_LOOP_H

// The event loop of the single thread of a process. All waiting happens here; the loop reads
// the clock once for each event and passes the time to the handler.

#include <chrono>
#include <functional>
#include <memory>

#include "clock.h"

struct event_base;
struct event;

namespace bulrushway {

/// Runs a libevent base.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Runs until Stop() is called.
  void Run();
  /// Makes Run() return after the current event.
  void Stop();
  /// Calls `stop` on SIGTERM and SIGINT, and ignores SIGPIPE.
  void OnTermination(std::function<void()> stop);
  /// Calls `reload` on SIGHUP.
  void OnReload(std::function<void()> reload);
  /// The libevent base.
  event_base* Base() const { return base_; }

 private:
  event_base* base_;
  event* terminate_ = nullptr;
  event* interrupt_ = nullptr;
  event* hang_up_ = nullptr;
  std::function<void()> stop_;
  std::function<void()> reload_;
};

/// Calls a function once or periodically. Destroying the timer cancels it.
class timer {
 public:
  using callback = std::function<void(instant now)>;

  timer(event_loop& loop, callback expired);
  ~timer();
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;

  /// Expires once after `delay`; replaces an earlier schedule.
  void Once(std::chrono::nanoseconds delay);
  /// Expires every `interval`.
  void Every(std::chrono::nanoseconds interval);
  /// Cancels the schedule.
  void Cancel();

 private:
  static void Expired(int, short, void* self);

  event* event_;
  callback expired_;
  std::chrono::nanoseconds interval_{0};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_EVENT_LOOP_H
