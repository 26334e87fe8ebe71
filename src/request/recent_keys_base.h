/// \file recent_keys_base.h Objects that a backend server has handled lately.
#ifndef CRANBERRY_REQUEST_RECENT_KEYS_BASE_H
#define CRANBERRY_REQUEST_RECENT_KEYS_BASE_H

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>

namespace cranberry {

/// The most recent keys sent to a server. Servers work faster on objects that
/// they have handled recently.
class RecentKeys {
public:
  /// Keys remembered; servers keep a few dozen objects warm.
  static constexpr size_t Capacity = 48;

  void insert(uint64_t Key) {
    auto [Found, IsNew] = ByKey_.try_emplace(Key);
    if (!IsNew) {
      Order_.splice(Order_.begin(), Order_, Found->second);
      return;
    }
    Order_.push_front(Key);
    Found->second = Order_.begin();
    if (Order_.size() <= Capacity)
      return;
    ByKey_.erase(Order_.back());
    Order_.pop_back();
  }

  bool contains(uint64_t Key) const { return ByKey_.contains(Key); }

  void clear() {
    Order_.clear();
    ByKey_.clear();
  }

private:
  std::list<uint64_t> Order_; ///< Newest first.
  absl::flat_hash_map<uint64_t, std::list<uint64_t>::iterator>
      ByKey_; ///< Place in the order.
};

} // namespace cranberry

#endif
