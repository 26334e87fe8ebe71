/// \file warm_set_base.h Objects that a backend server keeps warm.
#ifndef CRANBERRY_REQUEST_WARM_SET_BASE_H
#define CRANBERRY_REQUEST_WARM_SET_BASE_H

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>
#include <list>

namespace cranberry {

/// Whether a server is likely to have an object warm.
enum class CacheState : uint8_t {
  Unknown, ///< Not sent there lately, or the request has no object.
  Evicted, ///< Sent there, but many others since.
  Warm,    ///< Sent there lately.
};

/// Models a server's cache of objects as a least-recently-used list whose size
/// is learnt: other entry VMs fill it as well, and it differs by service.
class ObjectCacheModel {
public:
  CacheState get(uint64_t Key) const {
    auto Found = ByKey_.find(Key);
    if (Key == 0 || Found == ByKey_.end())
      return CacheState::Unknown;
    return Found->second.IsWarm_ ? CacheState::Warm : CacheState::Evicted;
  }

  /// A request for \p Key was sent.
  void touch(uint64_t Key) {
    if (Key == 0)
      return;
    if (auto Found = ByKey_.find(Key); Found != ByKey_.end()) {
      (Found->second.IsWarm_ ? Warm_ : Evicted_).erase(Found->second.Place_);
      ByKey_.erase(Found);
    }
    Warm_.push_front(Key);
    ByKey_[Key] = {Warm_.begin(), true};
    trim();
  }

  /// A request that found \p Before turned out to be fast or not.
  void recordHitOrMiss(CacheState Before, bool WasFast) {
    // Stragglers look like misses, which the small gain of hits makes up for.
    constexpr double MissStep = 0.3;
    constexpr double EvictedHitStep = 0.5;
    constexpr double HitStep = 0.03;
    if (Before == CacheState::Warm)
      Capacity_ += WasFast ? HitStep : -MissStep;
    else if (Before == CacheState::Evicted && WasFast)
      Capacity_ += EvictedHitStep;
    Capacity_ = std::clamp(Capacity_, MinCapacity, MaxCapacity);
    trim();
  }

  /// \return Whether another object would push one out.
  bool isFull() const {
    return static_cast<double>(Warm_.size()) + 1 > Capacity_;
  }

  double getCapacity() const { return Capacity_; }

  void clear() {
    Warm_.clear();
    Evicted_.clear();
    ByKey_.clear();
    Capacity_ = FirstCapacity;
  }

private:
  using KeyList = std::list<uint64_t>;

  struct Entry {
    KeyList::iterator Place_; ///< In Warm_ or Evicted_.
    bool IsWarm_ = false;     ///< In which of them.
  };

  /// Before anything is learnt; servers keep some dozens.
  static constexpr double FirstCapacity = 24;
  static constexpr double MinCapacity = 2;
  static constexpr double MaxCapacity = 256;

  /// Evicted objects remembered, which tell whether the capacity is larger.
  static constexpr size_t MaxEvicted = 64;

  void trim() {
    while (static_cast<double>(Warm_.size()) > Capacity_) {
      uint64_t Key = Warm_.back();
      Warm_.pop_back();
      Evicted_.push_front(Key);
      ByKey_[Key] = {Evicted_.begin(), false};
    }
    while (Evicted_.size() > MaxEvicted) {
      ByKey_.erase(Evicted_.back());
      Evicted_.pop_back();
    }
  }

  KeyList Warm_;                               ///< Newest first.
  KeyList Evicted_;                            ///< Newest first.
  absl::flat_hash_map<uint64_t, Entry> ByKey_; ///< Place of each.
  double Capacity_ = FirstCapacity;            ///< Learnt size.
};

} // namespace cranberry

#endif
