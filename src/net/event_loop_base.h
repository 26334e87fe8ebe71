/// \file event_loop_base.h A thread's loop: messages, timers and HTTP calls.
#ifndef CRANBERRY_NET_EVENT_LOOP_BASE_H
#define CRANBERRY_NET_EVENT_LOOP_BASE_H

#include "core/strong_index_type.h"
#include "core/time_type.h"
#include "net/http_type.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace cranberry {

/// An HTTP call that has not ended.
using CallIndex = StrongIndex<struct CallTag, uint64_t>;

/// Runs posted functions, timers and outgoing HTTP calls on one thread.
///
/// All but post(), stop() and getLastTurn() belong to the thread that runs the
/// loop.
class EventLoop {
public:
  using Task = std::function<void()>;
  using CallEnded = std::function<void(HttpResult)>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// \return Monotonic time.
  static Time now();

  /// Queues \p Run for the loop's thread. Safe from any thread.
  void post(Task Run);

  /// Runs \p Run at \p At or soon after.
  void addTimer(Time At, Task Run);

  /// Starts an HTTP call. \p Ended runs later on this thread, once, unless the
  /// call is cancelled.
  CallIndex startCall(HttpCall Call, CallEnded Ended);

  /// Drops a call and closes its connection; its end is not reported.
  void cancelCall(CallIndex Call);

  /// Runs until stop().
  void run();

  /// Ends run(). Safe from any thread.
  void stop();

  /// \return When the loop last turned. Safe from any thread.
  Time getLastTurn() const;

private:
  struct Transfer;

  void runTasks();
  void runTimers();
  void collectEndedCalls();
  int getPollTimeoutMs() const;

  void *Multi_;                      ///< curl multi handle.
  std::mutex Mutex_;                 ///< Guards Tasks_.
  std::vector<Task> Tasks_;          ///< Posted and not run.
  std::multimap<Time, Task> Timers_; ///< By due time.
  std::map<CallIndex, std::unique_ptr<Transfer>> Transfers_; ///< Calls out.
  uint64_t NextCall_ = 1;             ///< Number of the next call.
  std::atomic<bool> Stopping_{false}; ///< Set by stop().
  std::atomic<int64_t> LastTurn_{0};  ///< Time of the last turn.
};

} // namespace cranberry

#endif
