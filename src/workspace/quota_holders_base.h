/// \file quota_holders_base.h Selects the entry VMs that hold quotas.
#ifndef CRANBERRY_WORKSPACE_QUOTA_HOLDERS_BASE_H
#define CRANBERRY_WORKSPACE_QUOTA_HOLDERS_BASE_H

#include "workspace/quota_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// What an entry VM sees of another one, or of itself.
struct QuotaPeer {
  std::string Vm_;           ///< Name.
  bool IsAlive_ = true;      ///< Whether it can hold quotas.
  bool IsLeaving_ = false;   ///< Whether it stops as planned.
  uint64_t Incarnation_ = 0; ///< Start of its process, in milliseconds.
};

/// Selects the holder of each quota by rendezvous hashing, and tells since when
/// this VM holds a quota and which part of it may be leased here.
class QuotaHolders {
public:
  /// A VM that failed counts for this long, as it may be on the other side of a
  /// network partition and use its part of the quotas there.
  static constexpr Duration LostRetention = std::chrono::minutes(10);

  /// \param Self Name of this VM.
  /// \param Start Start of this process.
  QuotaHolders(std::string Self, Time Start)
      : Self_(std::move(Self)), Start_(Start), Since_(Start) {}

  /// Applies the list of entry VMs, this one included.
  void setPeers(const std::vector<QuotaPeer> &Peers, Time Now);

  /// \param Count Number of VMs that have entries in the store. A VM that has
  /// just started knows no others.
  void setListedCount(size_t Count) { Listed_ = Count; }

  /// Records that this VM was paused. Others may have held its quotas since.
  void recordPause(Time Now);

  /// \return Name of the VM that holds the quota of \p Workspace.
  const std::string &getHolder(const std::string &Workspace) const;

  bool isHeldHere(const std::string &Workspace) const {
    return getHolder(Workspace) == Self_;
  }

  /// \return Since when this VM holds the quota of \p Workspace for certain.
  /// There is no predecessor if all VMs have just started, as after a power
  /// loss.
  QuotaTerm getTerm(const std::string &Workspace) const;

  /// \return Part of each quota that the VMs in touch may use.
  double getScale() const;

private:
  /// Name and hash of a VM that can hold quotas.
  struct Candidate {
    std::string Vm_;           ///< Name.
    uint64_t Hash_ = 0;        ///< Hash of the name.
    uint64_t Incarnation_ = 0; ///< Start of its process.
  };

  /// VMs that could hold quotas at some time.
  struct View {
    std::vector<Candidate> Candidates_; ///< VMs that can hold quotas.
    Time Since_;                        ///< Time of the change.
  };

  static const std::string *select(const std::vector<Candidate> &Candidates,
                                   const std::string &Workspace);

  bool haveAllStarted(Time HeldSince) const;

  std::string Self_;         ///< Name of this VM.
  Time Start_;               ///< Start of this process.
  Time Since_;               ///< Start, or end of the last pause.
  uint64_t Incarnation_ = 0; ///< Start of this process, as announced.
  bool WasPaused_ = false;   ///< Whether there was a pause.
  std::vector<View> Views_;  ///< Recent views; the last one is in force.
  size_t Listed_ = 0;        ///< See setListedCount().
  std::map<std::string, Time> Known_; ///< VMs that count, by last contact.
};

} // namespace cranberry

#endif
