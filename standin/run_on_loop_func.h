/// \file run_on_loop_func.h Runs a function on an event loop and waits.
#ifndef CRANBERRY_STANDIN_RUN_ON_LOOP_FUNC_H
#define CRANBERRY_STANDIN_RUN_ON_LOOP_FUNC_H

#include "net/event_loop_base.h"

#include <future>
#include <utility>

namespace cranberry::standin {

/// Runs \p Function on the thread of \p Loop and blocks until it returns. Must
/// not be called on that thread.
/// \return Result of \p Function.
template <typename F> auto runOnLoop(EventLoop &Loop, F Function) {
  using Value = decltype(Function());
  auto Promise = std::make_shared<std::promise<Value>>();
  std::future<Value> Result = Promise->get_future();
  Loop.post([Promise, Function = std::move(Function)] {
    if constexpr (std::is_void_v<Value>) {
      Function();
      Promise->set_value();
    } else {
      Promise->set_value(Function());
    }
  });
  return Result.get();
}

} // namespace cranberry::standin

#endif
