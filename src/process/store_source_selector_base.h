/// \file store_source_selector_base.h Selects a VM's source of store updates
/// over time.
#ifndef CRANBERRY_PROCESS_STORE_SOURCE_SELECTOR_BASE_H
#define CRANBERRY_PROCESS_STORE_SOURCE_SELECTOR_BASE_H

#include "process/store_reader_func.h"

#include <map>
#include <random>
#include <set>
#include <string>

namespace cranberry {

/// Present source of store updates and what is known of it.
struct StoreSourceStatus {
  StoreSource Source_ = StoreSource::None; ///< Kind of the source.
  std::string Peer_; ///< Peer address of the VM that is followed.
  bool IsStoreUnavailable_ = false; ///< Whether the last read has failed.
  /// Time since the store is known to have held no newer configuration, by this
  /// VM's own source or by what others tell.
  Duration ConfirmationAge_{0};
};

/// Source of store updates to use from now on.
struct StoreSourceTarget {
  StoreSource Source_ = StoreSource::Store; ///< Kind of the source.
  std::string Peer_;      ///< Peer address of the VM to follow, or empty.
  bool IsDirect_ = false; ///< Whether that VM has to read the store itself.
};

/// Selects the source of store updates of one VM: remembers which other VMs
/// failed as a source, for how long a substitute is kept, and when to try the
/// store again. Reads no clock.
class StoreSourceSelector {
public:
  /// Time between two calls of select().
  static constexpr Duration Period = milliseconds(200);

  /// \param Seed Seed of the attempts at the store that are drawn at random.
  explicit StoreSourceSelector(uint64_t Seed);

  /// \param Bound Time within which a configuration has to be in force on all
  /// VMs.
  void setBound(Duration Bound) { Bound_ = Bound; }

  /// Records that a VM failed as a source.
  /// \param Peer Its peer address.
  /// \param IsBehind Whether it answered that it can't read the store.
  void recordFailure(const std::string &Peer, bool IsBehind, Time Now);

  /// Records that another VM asked for objects, which this one then has to read
  /// from the store.
  void recordRequest(Time Now);

  /// \param Members The VMs, this one included.
  /// \param Self Record of this VM.
  /// \return The source to use until the next call.
  StoreSourceTarget select(MemberList Members, const Member &Self,
                           const StoreSourceStatus &Status, Time Now);

private:
  void forgetFailures(Time Now);
  StoreSourceChoice selectSource(const MemberList &Members, const Member &Self,
                                 Time Now) const;
  bool drawProbe(const MemberList &Members, const Member &Self);
  bool isAttemptDue(const StoreSourceStatus &Status, Time Now) const;

  std::map<std::string, Time>
      Silent_; ///< VMs that gave no answer, by peer address, and until when
               ///< others are used.
  std::set<std::string> Behind_; ///< VMs that can't read the store.
  Time LastBehindTime_;          ///< When one was added to them.
  bool HasSubstitute_ = false;   ///< Whether updates come from another source
                                 ///< than the zone's readers.
  Time LastStoreReadTime_;       ///< When the store was last the source and
                                 ///< could be read.
  Time LastAttempt_;             ///< When the store was last the source, or
                                 ///< an attempt began.
  Time EarlierFailureUntil_;     ///< Until then, a failed read is older than
                                 ///< the attempt.
  Time WantedUntil_;             ///< Reads the store until then.
  Time FallbackUntil_;           ///< Until then, follows any other VM.
  std::mt19937_64 Random_;       ///< Draws attempts at the store.
  Duration Bound_{0};            ///< See setBound(); zero for none.
  double AttemptDelayShare_;     ///< Share of the bound by which this VM's own
                                 ///< attempt is later than the first ones.
};

} // namespace cranberry

#endif
