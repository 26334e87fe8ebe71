/// \file ask_loop_func.h Runs a function on a loop's thread and waits for it.
#ifndef CRANBERRY_STANDIN_ASK_LOOP_FUNC_H
#define CRANBERRY_STANDIN_ASK_LOOP_FUNC_H

#include "net/event_loop_base.h"

#include <future>
#include <utility>

namespace cranberry::standin {

/// \return What \p Ask returned on the thread of \p Loop.
template <typename Function> auto askLoop(EventLoop &Loop, Function Ask) {
  using Value = decltype(Ask());
  auto Promise = std::make_shared<std::promise<Value>>();
  std::future<Value> Result = Promise->get_future();
  Loop.post([Promise, Ask = std::move(Ask)] {
    if constexpr (std::is_void_v<Value>) {
      Ask();
      Promise->set_value();
    } else {
      Promise->set_value(Ask());
    }
  });
  return Result.get();
}

} // namespace cranberry::standin

#endif
