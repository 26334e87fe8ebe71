/// \file object_cache_model_base.h Model of a backend server's object cache.
#ifndef CRANBERRY_REQUEST_OBJECT_CACHE_MODEL_BASE_H
#define CRANBERRY_REQUEST_OBJECT_CACHE_MODEL_BASE_H

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>
#include <list>

namespace cranberry {

/// Likely state of an object in a server's cache.
enum class CacheState : uint8_t {
  Unknown, ///< Not requested there recently, or the request has no object.
  Evicted, ///< Requested there, but many other objects since.
  Warm,    ///< Requested there recently.
};

/// Models a server's object cache as an LRU list with an estimated capacity.
/// The capacity is estimated because it differs by service and because other
/// entry VMs fill the cache as well.
class ObjectCacheModel {
public:
  CacheState get(uint64_t Key) const {
    auto Found = ByKey_.find(Key);
    if (Key == 0 || Found == ByKey_.end())
      return CacheState::Unknown;
    return Found->second.IsWarm_ ? CacheState::Warm : CacheState::Evicted;
  }

  /// Records that a request for \p Key was sent.
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

  /// Adjusts the capacity after a request.
  /// \param Before State of the object when the request was sent.
  /// \param WasHit Whether its service time indicates a cache hit.
  void recordHitOrMiss(CacheState Before, bool WasHit) {
    // Stragglers look like misses; the small step for hits compensates for
    // them.
    constexpr double MissStep = 0.3;
    constexpr double EvictedHitStep = 0.5;
    constexpr double HitStep = 0.03;
    if (Before == CacheState::Warm)
      Capacity_ += WasHit ? HitStep : -MissStep;
    else if (Before == CacheState::Evicted && WasHit)
      Capacity_ += EvictedHitStep;
    Capacity_ = std::clamp(Capacity_, MinCapacity, MaxCapacity);
    trim();
  }

  /// \return Whether another object would evict one.
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
    KeyList::iterator Place_; ///< Position in Warm_ or Evicted_.
    bool IsWarm_ = false;     ///< Whether it is in Warm_.
  };

  /// Initial estimate: servers cache a few dozen objects.
  static constexpr double FirstCapacity = 24;
  static constexpr double MinCapacity = 2;
  static constexpr double MaxCapacity = 256;

  /// Number of evicted objects to keep; hits on them show that the capacity is
  /// larger than estimated.
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

  KeyList Warm_;                               ///< Cached, newest first.
  KeyList Evicted_;                            ///< Evicted, newest first.
  absl::flat_hash_map<uint64_t, Entry> ByKey_; ///< Position of each object.
  double Capacity_ = FirstCapacity; ///< Estimated capacity in objects.
};

} // namespace cranberry

#endif
