/// \file peer_exchange_base.h Heartbeats between entry VMs.
#ifndef CRANBERRY_STEERING_PEER_EXCHANGE_BASE_H
#define CRANBERRY_STEERING_PEER_EXCHANGE_BASE_H

#include "net/http_client_base.h"
#include "net/ingress_server_base.h"
#include "observe/event_log_base.h"
#include "process/membership_base.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// What a VM tells of its configuration in a heartbeat.
struct VersionReport {
  std::string Peer_;     ///< Its peer address.
  uint64_t Version_ = 0; ///< Version that it has in force.
  /// When the call was sent to which it has responded; unknown if it has called
  /// itself, as nobody knows how long the heartbeat was on the way.
  std::optional<Time> Asked_;
  /// Time since the store was known to hold nothing newer, if it can tell.
  std::optional<Duration> Age_;
};

/// Sends heartbeats, responds to them, and reports changes of the member list.
class PeerExchange {
public:
  /// \param Period Time between two rounds of heartbeats.
  /// \param OnChange Called after the member list has changed.
  PeerExchange(boost::asio::io_context &Loop, const Member &Self,
               Duration Period, EventLog &Log, std::function<void()> OnChange);

  /// Opens the port for other entry VMs and starts sending heartbeats.
  /// \param Address Address to listen on.
  /// \param[out] Why PortUnavailable if the result is false.
  bool open(const std::string &Address, Reason &Why);

  /// \param Handler Handles requests of other entry VMs that aren't heartbeats.
  void setRequestHandler(IngressHandler Handler) {
    RequestHandler_ = std::move(Handler);
  }

  /// Sends the next heartbeats at once.
  void contactNow() { sendHeartbeats(); }

  /// Adds the peer address of an entry VM that was discovered in another way.
  void addSeed(const std::string &Address) { Membership_.addSeed(Address); }

  /// \param Period Time between two rounds of heartbeats, from the next one on.
  void setPeriod(Duration Period) { Period_ = Period; }

  /// Announces whether this VM is busy.
  void setBusy(bool IsBusy) { Membership_.setBusy(IsBusy); }

  /// \return Time in which this VM hears from every other one.
  Duration getRoundLength() const {
    return Period_ * Membership_.getRoundPeriods();
  }

  /// Reports the demand of the clients with the next heartbeats.
  void setDemand(std::vector<ServiceDemand> Demand) {
    Membership_.setDemand(std::move(Demand));
  }

  /// Reports the version of the configuration in force with the next
  /// heartbeats.
  void setConfigVersion(uint64_t Version) { Membership_.setRevision(Version); }

  /// \param Handler Called for each VM that sends or answers a heartbeat.
  void setVersionHandler(std::function<void(const VersionReport &)> Handler) {
    OnVersion_ = std::move(Handler);
  }

  /// \param Query Supplies the age of this VM's configuration.
  void setConfigAgeQuery(std::function<std::optional<Duration>()> Query) {
    GetConfigAge_ = std::move(Query);
  }

  /// \return See Membership::getLosses().
  std::vector<Time> getLosses() const { return Membership_.getLosses(); }

  /// Announces to all members that this VM is leaving.
  void announceLeave();

  /// \return Peer addresses of the other VMs that may serve, or of those that
  /// are gone if there are none.
  std::vector<std::string> getPeerAddresses() const;

  /// \return This VM and all others that may serve.
  MemberList getMembers() const { return Membership_.getMembers(); }

  const Member &getSelf() const { return Membership_.getSelf(); }

private:
  void sendHeartbeats();
  void sendHeartbeat(const std::string &Address);
  void handleRequest(const IngressExchangePtr &Exchange);
  void notifyIfChanged();
  void notifyVersion(const HeartbeatBody &Body,
                     std::optional<Time> Asked) const;
  std::string encode(HeartbeatBody Body) const;

  Duration Period_;                ///< Time between two rounds.
  EventLog &Log_;                  ///< Event log.
  std::function<void()> OnChange_; ///< See the constructor.
  IngressHandler RequestHandler_;  ///< Handles other requests.
  std::function<void(const VersionReport &)>
      OnVersion_; ///< See setVersionHandler().
  std::function<std::optional<Duration>()>
      GetConfigAge_;                 ///< See setConfigAgeQuery().
  Membership Membership_;            ///< Tracks the state of members.
  uint64_t NotifiedViewVersion_ = 0; ///< Last version reported.
  /// States that were reported, by VM.
  std::map<std::string, MemberState> NotifiedStates_;
  IngressServer Server_;            ///< Port for other entry VMs.
  HttpClient Client_;               ///< Connections to other entry VMs.
  boost::asio::steady_timer Timer_; ///< Timer of the next round.
};

} // namespace cranberry

#endif
