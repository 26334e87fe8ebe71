/// \file event_loop_base.h A thread's loop: messages, timers and HTTP calls.
#ifndef CRANBERRY_NET_EVENT_LOOP_BASE_H
#define CRANBERRY_NET_EVENT_LOOP_BASE_H

#include "core/time_type.h"
#include "net/http_client_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>

namespace cranberry {

/// Runs posted functions, timers and outgoing HTTP calls on one thread.
///
/// All but post(), stop() and getLastTick() belong to the thread that runs the
/// loop.
class EventLoop {
public:
  using Task = std::function<void()>;

  EventLoop();

  /// \return Monotonic time.
  static Time now();

  /// Queues \p Run for the loop's thread. Safe from any thread.
  void post(Task Run);

  /// Runs \p Run at \p At or soon after.
  void addTimer(Time At, Task Run);

  /// Starts an HTTP call. \p Ended runs later on this thread, once, unless the
  /// call is cancelled.
  CallIndex startCall(HttpCall Call, HttpClient::CompletionHandler Ended) {
    return Client_.startCall(std::move(Call), std::move(Ended));
  }

  /// Drops a call and closes its connection; its end is not reported.
  void cancelCall(CallIndex Call) { Client_.cancelCall(Call); }

  /// Runs until stop().
  void run();

  /// Ends run(). Safe from any thread.
  void stop() { Context_.stop(); }

  /// \return When the loop last turned. Safe from any thread.
  Time getLastTick() const;

  /// \return What sockets of this thread belong to.
  boost::asio::io_context &getContext() { return Context_; }

private:
  void tick();

  boost::asio::io_context Context_;     ///< Library's loop.
  HttpClient Client_;                   ///< Outgoing calls.
  boost::asio::steady_timer TickTimer_; ///< Notes that the loop turns.
  std::atomic<int64_t> LastTick_{0};    ///< Time of the last tick.
};

} // namespace cranberry

#endif
