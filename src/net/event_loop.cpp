/// \file event_loop.cpp Per-thread event loop: tasks, timers, HTTP calls.
#include "net/event_loop_base.h"

#include "net/ingress_server_base.h"

#include <boost/asio/post.hpp>

using boost::asio::steady_timer;
using boost::system::error_code;

namespace cranberry {

namespace {

/// Interval at which the loop records that it is running; a small fraction of
/// the time after which a thread is considered hung.
constexpr Duration TickPeriod = milliseconds(200);

} // namespace

EventLoop::EventLoop() : Client_(Context_), TickTimer_(Context_) {
  LastTick_ = now().time_since_epoch().count();
}

Time EventLoop::now() { return getNow(); }

void EventLoop::post(Task Run) { boost::asio::post(Context_, std::move(Run)); }

void EventLoop::addTimer(Time At, Task Run) {
  auto Timer = std::make_shared<steady_timer>(Context_, At);
  Timer->async_wait([Timer, Run = std::move(Run)](error_code Cancelled) {
    if (!Cancelled)
      Run();
  });
}

void EventLoop::tick() {
  LastTick_ = now().time_since_epoch().count();
  TickTimer_.expires_after(TickPeriod);
  TickTimer_.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      tick();
  });
}

void EventLoop::run() {
  tick();
  Context_.run();
}

Time EventLoop::getLastTick() const { return Time(Duration(LastTick_)); }

} // namespace cranberry
