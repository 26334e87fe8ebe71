/// \file blocking_call.cpp Blocking HTTP call.
#include "net/blocking_call_func.h"

#include "net/event_loop_base.h"

namespace cranberry {

HttpResult callAndWait(HttpCall Call) {
  EventLoop Loop;
  HttpResult CallResult;
  Loop.startCall(std::move(Call), [&](HttpResult Result) {
    CallResult = std::move(Result);
    Loop.stop();
  });
  Loop.run();
  return CallResult;
}

} // namespace cranberry
