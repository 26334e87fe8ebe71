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
  /// \param AsOf Time at which the store was known to hold no newer one.
  void setInForce(uint64_t Version, Time AsOf);

  /// Records that another VM has \p Version in force. That confirms nothing, as
  /// it doesn't tell what that VM knows of the store.
  void recordReport(uint64_t Version, Time Now);

  /// \return Whether a newer version than the one in force here is known to
  /// exist.
  bool isBehind(Time Now) const;

  /// \return Whether a newer version was reported at any time that some VM may
  /// supply.
  bool isNewerKnown() const;

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

  /// Records that another VM knows the store to have held nothing newer than
  /// \p Version at \p AsOf. Ignored unless that version is in force here, and
  /// while a newer one is known: that VM may have missed it, too.
  void recordConfirmation(uint64_t Version, Time AsOf);

  /// Records that another VM with \p Version in force has responded to a call.
  /// \param Asked Time at which the call was sent.
  void recordAnswer(uint64_t Version, Time Asked);

  /// \return Last time at which, by what other VMs told and by how the version
  /// in force here was read, the store held nothing newer.
  Time getLastConfirmation() const { return Confirmed_; }

  /// \return When the last call was sent to which another VM with the version
  /// in force here has responded.
  Time getLastAnswer() const { return Answered_; }

  /// \return Newest version that this VM or another one has in force.
  uint64_t getNewest() const;

  /// Time that the usual source has before a version is fetched elsewhere.
  static constexpr Duration FetchDelay = milliseconds(300);

  /// Minimum interval between two fetches.
  static constexpr Duration FetchInterval = milliseconds(500);

  /// Earlier than any time limit reaches back.
  static constexpr Time Never = Time(-std::chrono::hours(10000));

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
  Time Confirmed_ = Never;           ///< See getLastConfirmation().
  Time Answered_ = Never;            ///< See getLastAnswer().
};

} // namespace cranberry

#endif
