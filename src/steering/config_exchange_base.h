/// \file config_exchange_base.h Configurations that other entry VMs have in
/// force.
#ifndef CRANBERRY_STEERING_CONFIG_EXCHANGE_BASE_H
#define CRANBERRY_STEERING_CONFIG_EXCHANGE_BASE_H

#include "net/http_client_base.h"
#include "net/ingress_server_base.h"
#include "observe/event_log_base.h"
#include "process/peer_version_tracker_base.h"
#include "steering/peer_exchange_base.h"
#include "steering/store_view_base.h"

#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Fetches a configuration from another entry VM if that one reports a newer
/// version than this VM's source of updates has supplied, or if neither the
/// source nor another VM is heard. Serves its own to others.
class ConfigExchange {
public:
  /// Path of requests for the configuration on the port for other entry VMs.
  static constexpr const char *Path = "/v1/config";

  /// \param Seed Differs between VMs, so that they ask different ones first.
  ConfigExchange(boost::asio::io_context &Loop, StoreView &View, EventLog &Log,
                 uint64_t Seed);

  /// \param Version Version that has taken effect here.
  /// \param AsOf Time at which the store was known to hold nothing newer.
  void setInForce(uint64_t Version, Time AsOf) {
    Versions_.setInForce(Version, AsOf);
    InForceSince_ = getNow();
  }

  /// \param Losses Times at which VMs that are missing were lost.
  void setLosses(std::vector<Time> Losses);

  /// \param Bound Time within which a version has to be in force on all VMs.
  void setBound(Duration Bound) { Bound_ = Bound; }

  /// \return Whether another VM is to be asked for a newer version, as this one
  /// has heard nothing for a part of the bound. True at most once per
  /// PeerVersionTracker::FetchInterval.
  bool shouldPoll();

  /// Asks one of the other VMs, another one each time.
  /// \param Peers Their peer addresses.
  void poll(const std::vector<std::string> &Peers);

  /// \return Whether a newer version has been known for so long that this VM
  /// must not go by its own.
  bool isOutdated(Time Now) const;

  /// \return Whether the homes in force here are known not to have changed
  /// within the bound.
  bool areHomesConfirmed(Time Now) const;

  /// Logs when homes begin or cease to be confirmed. Called regularly.
  void logHomes();

  /// \return Time since the store was known to hold nothing newer than the
  /// version in force here, by the source of updates or by other VMs.
  Duration getConfirmationAge(Time Now) const;

  /// \return The same for other VMs; nothing without a configuration, and while
  /// a newer one is known that the source hasn't supplied.
  std::optional<Duration> getReportedAge() const;

  /// Handles what another VM tells of its configuration.
  void onVersionReported(const VersionReport &Report);

  /// \return Versions that other VMs have reported.
  const PeerVersionTracker &getVersions() const { return Versions_; }

  /// \return Number of configurations that were fetched and applied.
  uint64_t getAppliedCount() const { return AppliedCount_; }

  /// Handles a request for the configuration.
  /// \return Whether \p Exchange is one.
  bool handleRequest(const IngressExchangePtr &Exchange) const;

private:
  /// \param Version Version that the other VM has reported, or 0.
  void fetch(const std::string &Peer, uint64_t Version);
  static Time getAsOf(Time Asked, std::optional<Duration> Age);
  void recordAnswer(uint64_t Version, Time Asked, std::optional<Duration> Age);
  void setReportedAge(ResponseMessage &Response) const;

  StoreView &View_;                ///< Configuration in force.
  EventLog &Log_;                  ///< Event log.
  PeerVersionTracker Versions_;    ///< Versions of other VMs.
  HttpClient Client_;              ///< Connections to other VMs.
  uint64_t AppliedCount_ = 0;      ///< See getAppliedCount().
  Duration Bound_{0};              ///< See setBound().
  Time InForceSince_;              ///< When the version came into force.
  std::vector<Time> Losses_;       ///< See setLosses().
  std::optional<Time> LastLoss_;   ///< Last one of them.
  bool WereHomesConfirmed_ = true; ///< As last logged.
  size_t NextPolled_;              ///< Counts polls, for the choice of a VM.
  unsigned FetchCount_ = 0;        ///< Fetches without a response so far.
  unsigned PollCount_ = 0;         ///< Polls without a response so far.
};

} // namespace cranberry

#endif
