/// \file membership_base.h Group membership and failure detection of entry VMs.
#ifndef CRANBERRY_PROCESS_MEMBERSHIP_BASE_H
#define CRANBERRY_PROCESS_MEMBERSHIP_BASE_H

#include "process/member_type.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cranberry {

/// Body of a heartbeat and of its response.
struct HeartbeatBody {
  Member Sender_;                    ///< Current record of the sender.
  std::vector<Member> Updates_;      ///< Membership changes to disseminate.
  bool IsFullListRequested_ = false; ///< Whether to respond with all members.
  /// Time since the store was known to hold nothing newer than the sender's
  /// configuration. Unknown if the sender can't tell.
  std::optional<Duration> ConfigAge_;
};

/// Detects failed entry VMs by heartbeats and disseminates membership changes
/// by gossip, in the manner of the SWIM protocol.
///
/// In each period this VM sends heartbeats to a fixed number of peers, so that
/// the cost does not grow with the fleet. A peer that does not respond becomes
/// suspect. Unless it refutes the suspicion with a higher sequence number, it
/// is considered gone after SuspectTimeout. Each VM that learns of a change
/// piggybacks it on its next few heartbeats.
class Membership {
public:
  /// \param Self Record of this entry VM.
  /// \param Seeds Initial peer addresses.
  /// \param Seed Seed of the random order in which peers are contacted.
  Membership(Member Self, std::vector<std::string> Seeds, uint64_t Seed);

  /// Adds an initial peer address unless a member with it is known.
  void addSeed(const std::string &Address);

  /// Selects the next targets of the current round; each round contacts every
  /// peer and seed once, in random order.
  /// \return Peer addresses to send a heartbeat to in this period.
  std::vector<std::string> selectHeartbeatTargets(Time Now);

  /// \return Body of a heartbeat to \p Address. Includes a suspicion of the
  /// recipient, so that it can refute it.
  HeartbeatBody makeHeartbeat(const std::string &Address);

  /// Processes a heartbeat from a peer.
  /// \return Body of the response.
  HeartbeatBody handleHeartbeat(const HeartbeatBody &Body, Time Now);

  /// Processes the response to a heartbeat.
  void handleHeartbeatResponse(const HeartbeatBody &Body, Time Now);

  /// Records that a heartbeat to \p Address failed or timed out. An alive peer
  /// becomes suspect and a leaving one gone.
  void recordHeartbeatFailure(const std::string &Address, Time Now);

  /// Marks peers as gone that have been suspect for SuspectTimeout, and removes
  /// peers that have been gone for GoneRetention.
  void expireMembers(Time Now);

  /// Announces that this VM is shutting down.
  void announceLeaving();

  /// Announces whether this VM is busy.
  void setBusy(bool IsBusy);

  /// \return Number of periods in which this VM contacts every peer once.
  size_t getRoundPeriods() const;

  /// Sets the demand of the clients that heartbeats report.
  void setDemand(std::vector<ServiceDemand> Demand) {
    Self_.Demand_ = std::move(Demand);
  }

  /// Sets the configuration revision that heartbeats report; never decreases.
  void setRevision(Revision Value);

  /// Sets the idempotency key epoch that heartbeats report.
  void setKeyEpoch(uint64_t Epoch);

  const Member &getSelf() const { return Self_; }

  /// \return This VM and all peers that are not gone, ordered by name.
  MemberList getMembers() const;

  /// \return Peers that are gone, ordered by name.
  MemberList getGoneMembers() const;

  /// \return Times at which the VMs were lost that are suspect now, or gone
  /// without having announced it.
  std::vector<Time> getLosses() const;

  /// \return Version of the member list. Increases when a member is added or
  /// its address, location or state changes, but not with configuration
  /// revisions and key epochs.
  uint64_t getViewVersion() const { return ViewVersion_; }

  /// \return Whether the member list has changed since the previous call,
  /// configuration revisions and key epochs included.
  bool testAndClearChanged();

private:
  /// State of another entry VM.
  struct Peer {
    Member Member_;   ///< Newest record received.
    Time StateSince_; ///< Local time of the last state change.
    /// Local time since which the VM is suspect, or gone without notice.
    std::optional<Time> LostAt_;
    unsigned RetransmitsLeft_ =
        0; ///< Remaining heartbeats to add the record to.
  };

  Peer *findByAddress(const std::string &Address);
  void merge(const Member &Update, Time Now);
  static void updateLoss(Peer &Known, bool IsNew, MemberState Next, Time Now);
  void updateSenderVersions(const Member &Sender);
  static void appendSuspicion(const Member &Known, HeartbeatBody &Body);
  void announceSelf();
  std::vector<Member> collectUpdates();
  unsigned getRetransmitCount() const;
  void startRound();

  Member Self_;                      ///< Record of this entry VM.
  unsigned SelfRetransmitsLeft_ = 0; ///< Set with each change of Self_.
  std::set<std::string> Seeds_;      ///< Addresses without a known member.
  std::map<std::string, std::string> ByAddress_; ///< Names by peer address.
  std::vector<std::string>
      PendingUpdates_;                    ///< Peers with RetransmitsLeft_ > 0.
  std::map<std::string, Peer> Peers_;     ///< Other entry VMs by name.
  std::vector<std::string> RoundTargets_; ///< Targets left in this round.
  std::mt19937_64 Random_;                ///< Shuffles each round.
  uint64_t ViewVersion_ = 0;              ///< Version of the member list.
  unsigned HeartbeatCount_ = 0;           ///< Heartbeats sent to known peers.
  bool HasChanged_ = true;                ///< See testAndClearChanged().
  /// Last loss of a member whose record was removed.
  std::optional<Time> RemovedLostAt_;
};

/// FNV-1a hash with a final mix. Unlike std::hash, it has the same value on
/// every entry VM.
uint64_t hashText(const std::string &Text);

/// Selects the owner of a key by rendezvous hashing, so that the removal of a
/// candidate moves only the keys that it owned.
/// \param Candidates Names; their order does not affect which one is selected.
/// \return Index of the owner, or std::nullopt if there are no candidates.
std::optional<size_t> pickOwner(const std::vector<std::string> &Candidates,
                                const std::string &Key);

} // namespace cranberry

#endif
