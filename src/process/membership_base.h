/// \file membership_base.h Which entry VMs are alive.
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

/// Body of a heartbeat and of its answer.
struct HeartbeatBody {
  Member Sender_;               ///< Who sends it.
  std::vector<Member> Updates_; ///< Changes that are still being spread.
  bool IsFullListRequested_ =
      false; ///< Whether the answer is to list everyone.
};

/// Finds failures by heartbeats and spreads changes along with them.
///
/// Each period this VM sends a heartbeat to a few others in turn, so that its
/// cost does not grow with the fleet. One that does not answer is suspected;
/// unless it refutes that with a higher sequence number, it is gone after
/// SuspectTime. A change travels with the next few heartbeats of everyone who
/// learns of it.
class Membership {
public:
  /// \param Self This entry VM.
  /// \param Seeds Peer addresses to start from.
  /// \param Seed Seed of the order in which peers are contacted.
  Membership(Member Self, std::vector<std::string> Seeds, uint64_t Seed);

  /// Adds a peer address to start from, unless it is known.
  void addSeed(const std::string &Address);

  /// \return Peer addresses to send a heartbeat to in this period.
  std::vector<std::string> selectHeartbeatTargets(Time Now);

  /// \return Body of a heartbeat to \p Address.
  HeartbeatBody makeHeartbeat(const std::string &Address);

  /// A heartbeat has come in.
  /// \return Body of the answer.
  HeartbeatBody handleHeartbeat(const HeartbeatBody &Body, Time Now);

  /// A heartbeat was answered.
  void handleHeartbeatResponse(const HeartbeatBody &Body, Time Now);

  /// A heartbeat was not answered in time.
  void recordHeartbeatFailure(const std::string &Address, Time Now);

  /// Ends suspicions that have lasted.
  void expireMembers(Time Now);

  /// Announces that this VM is leaving.
  void announceLeaving();

  /// Set what the next heartbeats tell of this VM.
  void setRevision(Revision Value);
  void setKeyEpoch(uint64_t Epoch);

  const Member &getSelf() const { return Self_; }

  /// \return This VM and all others that are not gone, ordered by name.
  MemberList getMembers() const;

  /// \return Others that are gone, ordered by name.
  MemberList getGoneMembers() const;

  /// \return Grows with each change of who is a member, where and in what
  /// state; not with revisions and key epochs.
  uint64_t getViewVersion() const { return ViewVersion_; }

  /// \return Whether the list differs from the one at the last call.
  bool testAndClearChanged();

private:
  struct Peer {
    Member Member_;                ///< Newest known record.
    Time StateSince_;              ///< When its state last changed here.
    unsigned RetransmitsLeft_ = 0; ///< Heartbeats that still carry the record.
  };

  Peer *findByAddress(const std::string &Address);
  void merge(const Member &Update, Time Now);
  void updateSenderVersions(const Member &Sender);
  static void appendSuspicion(const Member &Known, HeartbeatBody &Body);
  void announceSelf();
  std::vector<Member> collectUpdates();
  unsigned getRetransmitCount() const;
  void startRound();

  Member Self_;                      ///< This entry VM.
  unsigned SelfRetransmitsLeft_ = 0; ///< Heartbeats that carry our change.
  std::set<std::string> Seeds_;      ///< Addresses not yet seen as members.
  std::map<std::string, std::string> ByAddress_; ///< Name by peer address.
  std::vector<std::string>
      PendingUpdates_;                    ///< Others with SendsLeft_ over zero.
  std::map<std::string, Peer> Peers_;     ///< Others by name.
  std::vector<std::string> RoundTargets_; ///< Addresses left in this round.
  std::mt19937_64 Random_;                ///< Orders each round.
  uint64_t ViewVersion_ = 0;              ///< See getViewVersion().
  unsigned HeartbeatCount_ = 0;           ///< Sent so far.
  bool HasChanged_ = true;                ///< Since the last takeChanged().
};

/// Picks the owner of a key among candidates by rendezvous hashing.
/// \param Candidates Names; order does not matter.
/// \return Index of the owner, or nothing if there are no candidates.
std::optional<size_t> pickOwner(const std::vector<std::string> &Candidates,
                                const std::string &Key);

} // namespace cranberry

#endif
