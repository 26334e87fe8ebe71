/// \file balanced_server_base.h What this entry VM knows of a backend server.
#ifndef CRANBERRY_REQUEST_BALANCED_SERVER_BASE_H
#define CRANBERRY_REQUEST_BALANCED_SERVER_BASE_H

#include "request/balancer_type.h"
#include "request/rate_gate_base.h"
#include "request/warm_set_base.h"
#include "request/work_history_base.h"

#include <vector>

namespace cranberry {

/// What an attempt told of the length of work.
struct WorkSample {
  Duration Ran_{0};       ///< Time at the server, interference left out.
  uint64_t Key_ = 0;      ///< Hash of its object; 0 for none.
  unsigned HomeRank_ = 0; ///< Server's rank among the object's in its zone.
  Warmth Before_ = Warmth::Unknown; ///< Of the object when it was sent.
};

/// Load, speed and health of one server, from this VM's own attempts and the
/// reports that come with their answers.
class ServerState {
public:
  explicit ServerState(BalancedServer Config) : Config_(std::move(Config)) {}

  /// Takes over what the registry tells now.
  void setConfig(BalancedServer Config);

  const BalancedServer &getConfig() const { return Config_; }

  /// An attempt was sent.
  /// \param HomeRank Server's rank among the object's in its zone.
  /// \param Expected Predicted time until its answer.
  void start(FlowIndex Flow, uint64_t Key, unsigned HomeRank, Duration Expected,
             Time Now);

  /// An attempt ended.
  /// \param Work Typical times of such a request.
  /// \return What it tells of the time at a server, if anything.
  std::optional<WorkSample> end(const EndedAttempt &Ended,
                                const WorkEstimate &Work, Time Now);

  /// \return Whether requests may go there now, if there is a free slot.
  bool isAvailable(Time Now);

  /// \return Expected wait for a slot, behind \p Planned requests that wait on
  /// this VM for the same server.
  Duration getWait(unsigned Planned, Time Now) const;

  /// \return Estimated requests there, those of other VMs included.
  double getBusy(Time Now) const;

  /// \return Estimated requests there of other VMs.
  double getForeign(Time Now) const;

  Duration getLoadAge(Time Now) const { return Now - ForeignAt_; }

  /// \return Expected length of work, relative to the usual.
  double getSlowness(Time Now) const;

  Warmth getWarmth(uint64_t Key) const { return Warm_.get(Key); }

  /// \return Whether another object would push a warm one out.
  bool isWarmSetFull() const { return Warm_.isFull(); }
  bool isCold(Time Now) const { return Now < Config_.ColdUntil_; }
  unsigned getInFlight() const {
    return static_cast<unsigned>(Attempts_.size());
  }

  /// \return Whether attempts there have waited so long, with no answer to any,
  /// that the server must be taken for dead.
  bool isSilent(Time Now) const;

  /// \return Attempts that became suspect since the last call.
  std::vector<FlowIndex> takeSuspects(Time Now);

  /// Extends the cold phase.
  void noteCold(Time Until);

private:
  struct Attempt {
    FlowIndex Flow_;          ///< Client's request.
    Time Started_;            ///< When it was sent.
    Duration Expected_;       ///< Predicted time until the answer.
    uint64_t Key_;            ///< Hash of its object.
    unsigned HomeRank_;       ///< See WorkSample.
    Warmth Before_;           ///< Of its object when it was sent.
    bool IsReported_ = false; ///< By takeSuspects().
  };

  void noteLoad(const LoadReport &Load, Time Now);
  WorkSample noteServed(const Attempt &Done, Duration Ran,
                        const WorkEstimate &Work);
  void rest(Time Now);

  BalancedServer Config_;                 ///< Newest record.
  std::vector<Attempt> Attempts_;         ///< Under way.
  WarmSet Warm_;                          ///< Objects sent there.
  Duration MeanWork_ = milliseconds(150); ///< Smoothed time at the server.
  RateGate ColdGate_;                     ///< Starts while it is cold.
  double Foreign_ = 0;                    ///< Requests of others at ForeignAt_.
  Time ForeignAt_;                        ///< Last load report.
  double Interference_ = 1;               ///< Of the last load report.
  double Slowness_ = 1;     ///< Smoothed ratio of actual to expected.
  double FailureShare_ = 0; ///< Smoothed share of attempts that failed.
  Time LastAnswer_;         ///< Last response of any kind.
  Time RestUntil_;          ///< No attempts before.
  Duration Rest_{0};        ///< Length of the last rest.
  bool IsOnTrial_ = false;  ///< One attempt at a time until it answers.
};

} // namespace cranberry

#endif
