/// \file peer_version_tracker_base.h Configuration versions that other entry
/// VMs have in force.
#ifndef CRANBERRY_PROCESS_PEER_VERSION_TRACKER_BASE_H
#define CRANBERRY_PROCESS_PEER_VERSION_TRACKER_BASE_H

#include "core/time_type.h"

#include <cstdint>
#include <map>

namespace cranberry {

/// Tells from the versions that other entry VMs report whether this one has
/// missed a newer configuration. Answers the case of a source of updates that
/// is silent, or as late as this VM.
///
/// A report is a hint and never a configuration: what this VM applies has to be
/// fetched and decoded. A version that nobody supplies counts for a limited
/// time, so that a wrong report doesn't leave the VM in doubt for good.
class PeerVersionTracker {
public:
  /// \param Version Version in force here from now on; versions never decrease.
  void setInForce(uint64_t Version, Time Now);

  /// Records that another VM has \p Version in force.
  void recordReport(uint64_t Version, Time Now);

  /// \return Whether a newer version than the one in force here is known to
  /// exist.
  bool isBehind(Time Now) const;

  /// \return Whether a newer version was reported \p Limit ago or earlier and
  /// still isn't in force here, although some VM may supply it.
  bool isOverdue(Time Now, Duration Limit) const;

  /// Records that the VM that reported \p Version has responded without it.
  void recordUnavailable(uint64_t Version);

  /// Decides whether to fetch a version from the VM that has just reported it.
  /// The usual source of updates comes first: it has had FetchDelay to supply
  /// the version.
  /// \return True at most once per FetchInterval, and then counts as a fetch.
  bool startFetch(uint64_t Version, Time Now);

  /// Decides whether to ask another VM for its version, without a report.
  /// \return True at most once per FetchInterval, and then counts as a poll.
  bool startPoll(Time Now);

  /// Records that another VM has the version in force here as well. Ignored
  /// while a newer one is known: that VM may have missed it, too.
  void recordConfirmation(Time Now);

  /// \return Last time at which another VM confirmed the version in force here,
  /// or at which it came into force.
  Time getLastConfirmation() const { return Confirmed_; }

  /// \return Newest version that this VM or another one has in force.
  uint64_t getNewest() const;

  /// Time that the usual source has before a version is fetched elsewhere.
  static constexpr Duration FetchDelay = milliseconds(300);

  /// Minimum interval between two fetches.
  static constexpr Duration FetchInterval = milliseconds(500);

  /// Time after which a reported version that nobody has supplied is ignored.
  static constexpr Duration MaxDoubt = seconds(10);

private:
  /// Limits the memory that reports take.
  static constexpr size_t MaxVersions = 32;

  uint64_t InForce_ = 0; ///< Version in force here.
  /// What is known of a newer version.
  struct Report {
    Time First_;                 ///< First report.
    bool IsUnavailable_ = false; ///< See recordUnavailable().
  };

  std::map<uint64_t, Report> Newer_; ///< Newer versions.
  Time LastFetch_;                   ///< Start of the last fetch.
  Time LastPoll_;                    ///< Start of the last poll.
  Time Confirmed_;                   ///< See getLastConfirmation().
};

} // namespace cranberry

#endif
