/// \file request_queue.cpp Priority queue of waiting requests.
#include "request/request_queue_base.h"

#include "core/overload_type.h"

namespace cranberry {

void RequestQueue::push(RequestIndex Request, Time Arrived, Duration Estimate) {
  Duration Yield =
      std::visit(Overload{[](const FifoOrder &) { return Duration::zero(); },
                          [&](const ShortFirstOrder &Order) {
                            return Estimate * Order.AgeFactor_;
                          }},
                 Order_);
  Time Priority = Arrived + Yield;
  Entries_.emplace(Priority, Request);
  Priorities_[Request] = Priority;
}

void RequestQueue::pushFront(RequestIndex Request) {
  Entries_.emplace(Time::min(), Request);
  Priorities_[Request] = Time::min();
}

std::optional<RequestIndex> RequestQueue::pop() {
  if (Entries_.empty())
    return std::nullopt;
  RequestIndex Request = Entries_.begin()->second;
  Entries_.erase(Entries_.begin());
  Priorities_.erase(Request);
  return Request;
}

void RequestQueue::remove(RequestIndex Request) {
  auto Found = Priorities_.find(Request);
  if (Found == Priorities_.end())
    return;
  Entries_.erase({Found->second, Request});
  Priorities_.erase(Found);
}

} // namespace cranberry
