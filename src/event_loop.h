#ifndef BULRUSHWAY_EVENT_LOOP_H
#define BULRUSHWAY_EVENT_LOOP_H

// The event loop of the single thread of a process. All waiting happens here; the loop reads
// the clock once for each event and passes the time to the handler.

#include <chrono>
#include <exception>
#include <functional>
#include <memory>
#include <string_view>

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
  /// Calls `call` on behalf of libevent, and returns whether it returned without an exception.
  /// libevent is C code that no exception may pass through, and one must not end the process with
  /// the requests of all callers: it is reported, and the caller of Guard ends what failed.
  template <class Call>
  bool Guard(std::string_view callback, Call call) {
    try {
      call();
      return true;
    } catch (const std::exception& exception) {
      ReportException(callback, exception.what());
    } catch (...) {
      ReportException(callback, "an exception of an unknown type");
    }
    return false;
  }
  /// Sets a function that is called with each exception that Guard has caught. Without one, they
  /// are written to standard error.
  void OnException(std::function<void(std::string_view callback, std::string_view what)> observer) {
    exception_observer_ = std::move(observer);
  }
  /// The libevent base.
  event_base* Base() const { return base_; }

 private:
  void ReportException(std::string_view callback, std::string_view what) noexcept;

  event_base* base_;
  event* terminate_ = nullptr;
  event* interrupt_ = nullptr;
  event* hang_up_ = nullptr;
  std::function<void()> stop_;
  std::function<void()> reload_;
  std::function<void(std::string_view, std::string_view)> exception_observer_;
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

  event_loop& loop_;
  event* event_;
  callback expired_;
  std::chrono::nanoseconds interval_{0};
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_EVENT_LOOP_H
