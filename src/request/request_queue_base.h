/// \file request_queue_base.h Order in which waiting requests are started.
#ifndef CRANBERRY_REQUEST_REQUEST_QUEUE_BASE_H
#define CRANBERRY_REQUEST_REQUEST_QUEUE_BASE_H

#include "request/request_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <set>
#include <utility>
#include <variant>

namespace cranberry {

/// First come, first served.
struct FifoOrder {};

/// Shortest expected running time first, with ageing: a request of expected
/// length L yields to those that arrive up to AgeFactor_ * L after it.
struct ShortFirstOrder {
  int AgeFactor_ = 8; ///< Multiple of the expected length.
};

/// Order of a queue.
using QueueOrder = std::variant<FifoOrder, ShortFirstOrder>;

/// Waiting requests of one service.
class RequestQueue {
public:
  explicit RequestQueue(QueueOrder Order) : Order_(Order) {}

  /// \param Request Request that starts to wait.
  /// \param Arrived When it reached this VM; kept over a retry.
  /// \param Estimate Expected running time.
  void push(RequestIndex Request, Time Arrived, Duration Estimate);

  /// Puts \p Request before all others.
  void pushFront(RequestIndex Request);

  /// \return Next request, which leaves the queue; nothing if it is empty.
  std::optional<RequestIndex> pop();

  /// Takes \p Request out, wherever it stands.
  void remove(RequestIndex Request);

  /// \return Next request, which stays; the queue must not be empty.
  RequestIndex getNext() const { return Entries_.begin()->second; }

  bool isEmpty() const { return Entries_.empty(); }
  size_t getSize() const { return Entries_.size(); }

private:
  using Entry = std::pair<Time, RequestIndex>;

  QueueOrder Order_;                                   ///< Policy.
  std::set<Entry> Entries_;                            ///< By start priority.
  absl::flat_hash_map<RequestIndex, Time> Priorities_; ///< Key by request.
};

} // namespace cranberry

#endif
