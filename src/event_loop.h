#ifndef BULRUSHWAY_EVENT_LOOP_H
#define BULRUSHWAY_EVENT_LOOP_H

// The one loop on the one thread of a process. Everything that waits, waits here; the loop reads
// the clock once for each event and hands the time on.

#include <chrono>
#include <functional>
#include <memory>

#include "clock.h"

struct event_base;
struct event;

namespace bulrushway {

/// Owns the libevent base.
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
  /// Calls `stop` once when the process gets SIGTERM or SIGINT, and ignores SIGPIPE.
  void OnTermination(std::function<void()> stop);
  /// Calls `reload` at each SIGHUP.
  void OnReload(std::function<void()> reload);
  /// The libevent base, for the transports.
  event_base* Base() const { return base_; }

 private:
  event_base* base_;
  event* terminate_ = nullptr;
  event* interrupt_ = nullptr;
  event* hang_up_ = nullptr;
  std::function<void()> stop_;
  std::function<void()> reload_;
};

/// Calls a function once or again and again until destroyed or cancelled.
class timer {
 public:
  using callback = std::function<void(instant now)>;

  timer(event_loop& loop, callback expired);
  ~timer();
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;

  /// Expires once after `delay`; replaces an earlier setting.
  void Once(std::chrono::nanoseconds delay);
  /// Expires every `interval`.
  void Every(std::chrono::nanoseconds interval);
  /// Does not expire any more.
  void Cancel();

 private:
  static void Expired(int, short, void* self);

  event* event_;
  callback expired_;
  std::chrono::nanoseconds interval_{0};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_EVENT_LOOP_H
