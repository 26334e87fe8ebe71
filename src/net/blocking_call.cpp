/// \file blocking_call.cpp One HTTP call that is waited for.
#include "net/blocking_call_func.h"

#include "net/event_loop_base.h"

namespace cranberry {

HttpResult callAndWait(HttpCall Call) {
  EventLoop Loop;
  HttpResult Ended;
  Loop.startCall(std::move(Call), [&](HttpResult Result) {
    Ended = std::move(Result);
    Loop.stop();
  });
  Loop.run();
  return Ended;
}

} // namespace cranberry
