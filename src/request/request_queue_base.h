/// \file request_queue_base.h Priority queue of waiting requests.
#ifndef CRANBERRY_REQUEST_REQUEST_QUEUE_BASE_H
#define CRANBERRY_REQUEST_REQUEST_QUEUE_BASE_H

#include "request/request_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <set>
#include <utility>
#include <variant>

namespace cranberry {

/// Order by arrival.
struct FifoOrder {};

/// Shortest expected running time first, with aging: a request yields to
/// shorter ones that arrive later by up to AgeFactor_ times its expected
/// running time.
struct ShortFirstOrder {
  int AgeFactor_ = 8; ///< Multiple of the expected running time.
};

/// Scheduling policy of a queue.
using QueueOrder = std::variant<FifoOrder, ShortFirstOrder>;

/// Holds the waiting requests of one service in the order of a policy.
class RequestQueue {
public:
  explicit RequestQueue(QueueOrder Order) : Order_(Order) {}

  /// Adds a request.
  /// \param Request Request to add.
  /// \param Arrived Its arrival at this VM; a retry keeps it.
  /// \param Estimate Expected running time.
  void push(RequestIndex Request, Time Arrived, Duration Estimate);

  /// Adds \p Request before all others.
  void pushFront(RequestIndex Request);

  /// Removes the next request.
  /// \return The request, or nothing if the queue is empty.
  std::optional<RequestIndex> pop();

  /// Removes \p Request if it is queued.
  void remove(RequestIndex Request);

  /// \return Next request, without removing it; the queue must not be empty.
  RequestIndex getNext() const { return Entries_.begin()->second; }

  bool isEmpty() const { return Entries_.empty(); }
  size_t getSize() const { return Entries_.size(); }

private:
  using Entry = std::pair<Time, RequestIndex>;

  QueueOrder Order_;        ///< Scheduling policy.
  std::set<Entry> Entries_; ///< Requests by priority, earliest first.
  absl::flat_hash_map<RequestIndex, Time> Priorities_; ///< By request.
};

} // namespace cranberry

#endif
