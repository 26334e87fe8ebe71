/// \file balanced_server_base.h What this entry VM knows of a backend server.
#ifndef CRANBERRY_REQUEST_BALANCED_SERVER_BASE_H
#define CRANBERRY_REQUEST_BALANCED_SERVER_BASE_H

#include "request/balancer_type.h"
#include "request/rate_gate_base.h"
#include "request/recent_keys_base.h"

#include <vector>

namespace cranberry {

/// Load, speed and health of one server, from this VM's own attempts and the
/// reports that come with their answers.
class ServerState {
public:
  explicit ServerState(BalancedServer Config) : Config_(std::move(Config)) {}

  /// Takes over what the registry tells now.
  void setConfig(BalancedServer Config);

  const BalancedServer &getConfig() const { return Config_; }

  /// An attempt was sent.
  void start(FlowIndex Flow, uint64_t Key, Duration Expected, Time Now);

  /// An attempt ended.
  /// \param Expected Typical time at a server for such a request.
  /// \return Time at the server, if the attempt tells it.
  std::optional<Duration> end(FlowIndex Flow, ServerVerdict Verdict,
                              Duration Ran,
                              const std::optional<LoadReport> &Load, Time Now);

  /// \return Whether a request may be sent there now.
  bool hasRoom(Time Now);

  /// \return Estimated requests there, those of other VMs included.
  double getBusy(Time Now) const;

  /// \return Estimated requests there of other VMs.
  double getForeign(Time Now) const;

  /// \return Expected length of work, relative to the usual.
  double getSlowness(Time Now) const;

  bool isWarm(uint64_t Key) const { return Key != 0 && Recent_.contains(Key); }
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
    FlowIndex Flow_;         ///< Client's request.
    Time Started_;           ///< When it was sent.
    Duration Expected_;      ///< Predicted time until the answer.
    bool IsReported_ = false; ///< By takeSuspects().
  };

  void noteLoad(const LoadReport &Load, Time Now);
  void rest(Time Now);

  BalancedServer Config_;         ///< Newest record.
  std::vector<Attempt> Attempts_; ///< Under way.
  RecentKeys Recent_;             ///< Objects sent there.
  RateGate ColdGate_;             ///< Starts while it is cold.
  double Foreign_ = 0;            ///< Requests of others at ForeignAt_.
  Time ForeignAt_;                ///< Last load report.
  double Interference_ = 1;       ///< Of the last load report.
  double Slowness_ = 1;           ///< Smoothed ratio of actual to expected.
  double FailureShare_ = 0;       ///< Smoothed share of attempts that failed.
  Time LastAnswer_;               ///< Last response of any kind.
  Time RestUntil_;                ///< No attempts before.
  Duration Rest_{0};              ///< Length of the last rest.
  bool IsOnTrial_ = false;        ///< One attempt at a time until it answers.
};

} // namespace cranberry

#endif
