/// \file loop_thread_base.h A thread that runs an event loop.
#ifndef CRANBERRY_STANDIN_LOOP_THREAD_BASE_H
#define CRANBERRY_STANDIN_LOOP_THREAD_BASE_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>
#include <utility>

namespace cranberry::standin {

/// Runs a loop until it is destroyed; what belongs to the loop is reached by
/// call().
class LoopThread {
public:
  LoopThread()
      : Guard_(boost::asio::make_work_guard(Loop_)),
        Thread_([this] { Loop_.run(); }) {}

  ~LoopThread() { stop(); }

  /// Ends the loop; what it owned can then be destroyed.
  void stop() {
    Loop_.stop();
    if (Thread_.joinable())
      Thread_.join();
  }

  boost::asio::io_context &getLoop() { return Loop_; }

  /// Runs \p Action on the loop and waits for its result.
  template <typename F> auto call(F Action) {
    std::packaged_task<decltype(Action())()> Task(std::move(Action));
    auto Result = Task.get_future();
    boost::asio::post(Loop_, [&Task] { Task(); });
    return Result.get();
  }

private:
  boost::asio::io_context Loop_; ///< Loop.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard_;          ///< Keeps the loop running.
  std::thread Thread_; ///< Runs it.
};

} // namespace cranberry::standin

#endif
