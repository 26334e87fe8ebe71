/// \file quota_fleet_base.h Entry VMs that share a quota, on virtual time.
#ifndef CRANBERRY_TEST_SUPPORT_QUOTA_FLEET_BASE_H
#define CRANBERRY_TEST_SUPPORT_QUOTA_FLEET_BASE_H

#include "workspace/quota_holders_base.h"
#include "workspace/quota_ledger_base.h"
#include "workspace/workspace_quotas_base.h"

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace cranberry::test {

/// Faults of the links between VMs.
struct QuotaLinks {
  double Loss_ = 0;                     ///< Part of the messages that are lost.
  double Repeats_ = 0;                  ///< Part that arrive twice.
  Duration MinDelay_ = milliseconds(1); ///< Shortest way.
  Duration MaxDelay_ = milliseconds(60); ///< Longest way.
};

/// Entry VMs that serve one workspace and lease its quota from each other.
/// Requests that wait for the holder are decided again in each step.
class QuotaFleet {
public:
  static constexpr Duration Step = milliseconds(20);

  /// \param Vms Number of VMs.
  /// \param Terms Required accuracy.
  /// \param Workspace Workspace with a quota.
  QuotaFleet(unsigned Vms, const QuotaTerms &Terms, WorkspaceConfig Workspace,
             const QuotaLinks &Links, uint64_t Seed);

  /// Plays one step.
  /// \param Arrivals Requests per second, by VM.
  void play(const std::vector<double> &Arrivals);

  /// Cuts the VMs into two parts. VMs learn of it within a second.
  /// \param IsOther Whether a VM is in the second part.
  void split(const std::vector<bool> &IsOther);

  /// Restarts a VM. It knows the others after a while.
  void restart(unsigned Vm);

  /// Stops a VM for a time. The others suspect it within a second.
  void pause(unsigned Vm, Duration Length);

  /// Applies another quota at all VMs, at different times.
  void setQuota(const WorkspaceQuota &Quota);

  /// \return Requests admitted at \p Vm in the last \p Window.
  unsigned countAdmitted(Duration Window, int Vm = -1) const;

  /// \return Requests that any window may have.
  double getBound(double Excess) const;

  Time getTime() const { return Now_; }
  uint64_t getRefusedCount() const { return Refused_; }
  uint64_t getMessageCount() const { return Messages_; }

private:
  struct Node {
    WorkspaceConfig Workspace_; ///< Workspace as this VM knows it.
    std::unique_ptr<QuotaHolders> Holders_;
    std::unique_ptr<QuotaLedger> Ledger_;
    std::unique_ptr<WorkspaceQuotas> Quotas_;
    uint64_t Version_ = 1;
    uint64_t Incarnation_ = 0; ///< Start of the process.
    unsigned Process_ = 0;     ///< Increases with each restart.
    std::vector<bool> Sees_;   ///< VMs that it takes to be alive.
    Time PausedUntil_;         ///< End of the pause.
    Time LastRun_;             ///< Last step that it ran.
    std::deque<Time> Held_;    ///< Requests that wait.
  };

  struct Message {
    Time At_;          ///< Arrival.
    unsigned From_;    ///< Sender.
    unsigned To_;      ///< Receiver.
    unsigned Process_; ///< Process of the VM that asked.
    Time AskedAt_;     ///< Time of the ask.
    QuotaAsk Ask_;     ///< Request, if IsReply_ is false.
    bool IsReply_ = false;
    std::optional<QuotaLease> Lease_; ///< Answer, if any.
  };

  struct ViewChange {
    Time At_;
    unsigned Vm_;
    unsigned Other_;
    bool IsAlive_;
  };

  struct QuotaChange {
    Time At_;
    unsigned Vm_;
    WorkspaceQuota Quota_;
  };

  bool areInTouch(unsigned A, unsigned B) const;
  void start(unsigned Vm);
  void updateView(unsigned Vm);
  void see(unsigned Vm, unsigned Other, bool IsAlive, Duration Within);
  void send(Message Next);
  void deliver(Message &Next);
  void runVm(unsigned Vm, double Arrivals);
  void decide(unsigned Vm, const QuotaDecision &Decision, Time Since,
              std::deque<Time> &Waiting);
  Duration draw(Duration Least, Duration Most);

  QuotaTerms Terms_;
  WorkspaceConfig Workspace_;
  QuotaLinks Links_;
  std::mt19937_64 Random_;
  Time Now_{seconds(1000)};
  std::vector<Node> Nodes_;
  std::vector<bool> IsOther_;
  std::vector<Message> Flying_;
  std::vector<ViewChange> Views_;
  std::vector<QuotaChange> Changes_;
  std::deque<std::pair<Time, unsigned>> Admitted_;
  uint64_t Messages_ = 0;
  uint64_t Refused_ = 0;
  WorkspaceQuota Largest_; ///< Largest quota of the last window.
  Time LargestUntil_;
};

} // namespace cranberry::test

#endif
