/// \file event_loop_base.h Per-thread event loop: tasks, timers, HTTP calls.
#ifndef CRANBERRY_NET_EVENT_LOOP_BASE_H
#define CRANBERRY_NET_EVENT_LOOP_BASE_H

#include "core/time_type.h"
#include "net/http_client_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>

namespace cranberry {

/// Runs posted tasks, timers and outgoing HTTP calls on one thread.
///
/// Only post(), stop() and getLastTick() are thread-safe; all other functions
/// must be called on the thread that runs the loop.
class EventLoop {
public:
  using Task = std::function<void()>;

  EventLoop();

  /// \return Current time of the monotonic clock.
  static Time now();

  /// Queues \p Run to be executed on the loop's thread. Thread-safe.
  void post(Task Run);

  /// Runs \p Run once at \p At, or as soon as possible afterwards.
  void addTimer(Time At, Task Run);

  /// Starts an HTTP call. \p OnComplete is called once, asynchronously on this
  /// thread, unless the call is cancelled.
  CallIndex startCall(HttpCall Call, HttpClient::CompletionHandler OnComplete) {
    return Client_.startCall(std::move(Call), std::move(OnComplete));
  }

  /// Cancels a call and closes its connection. Its completion handler is not
  /// called.
  void cancelCall(CallIndex Call) { Client_.cancelCall(Call); }

  /// Runs the loop on the current thread until stop() is called.
  void run();

  /// Makes run() return. Thread-safe.
  void stop() { Context_.stop(); }

  /// \return Time of the last tick, to detect a hung thread. Thread-safe.
  Time getLastTick() const;

  /// \return Context for sockets and timers that this thread handles.
  boost::asio::io_context &getContext() { return Context_; }

private:
  /// Records the current time and schedules the next tick.
  void tick();

  boost::asio::io_context Context_;     ///< Boost.Asio event loop.
  HttpClient Client_;                   ///< Makes the outgoing HTTP calls.
  boost::asio::steady_timer TickTimer_; ///< Fires every TickPeriod.
  std::atomic<int64_t> LastTick_{0};    ///< Last tick, in clock units.
};

} // namespace cranberry

#endif
