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

/// Runs an event loop on its own thread. State that the loop owns is accessed
/// through call().
class LoopThread {
public:
  LoopThread()
      : Guard_(boost::asio::make_work_guard(Loop_)),
        Thread_([this] { Loop_.run(); }) {}

  ~LoopThread() { stop(); }

  /// Stops the loop and joins its thread. State that the loop owns can then be
  /// destroyed.
  void stop() {
    Loop_.stop();
    if (Thread_.joinable())
      Thread_.join();
  }

  boost::asio::io_context &getLoop() { return Loop_; }

  /// Runs \p Action on the loop and blocks until it returns.
  /// \return Result of \p Action.
  template <typename F> auto call(F Action) {
    std::packaged_task<decltype(Action())()> Task(std::move(Action));
    auto Result = Task.get_future();
    boost::asio::post(Loop_, [&Task] { Task(); });
    return Result.get();
  }

private:
  boost::asio::io_context Loop_; ///< Event loop.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard_;          ///< Keeps the loop running.
  std::thread Thread_; ///< Runs Loop_.
};

} // namespace cranberry::standin

#endif
