/// \file peer_exchange_base.h Heartbeats among the entry VMs.
#ifndef CRANBERRY_STEERING_PEER_EXCHANGE_BASE_H
#define CRANBERRY_STEERING_PEER_EXCHANGE_BASE_H

#include "net/http_client_base.h"
#include "net/ingress_server_base.h"
#include "observe/event_log_base.h"
#include "process/membership_base.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cranberry {

/// Sends and answers heartbeats, and tells when the list of members changes.
class PeerExchange {
public:
  /// \param OnChange Called after the list of members has changed.
  PeerExchange(boost::asio::io_context &Loop, const Member &Self,
               Duration Period, EventLog &Log, std::function<void()> OnChange);

  /// Opens the port for other entry VMs and starts to send.
  /// \param Address Where to listen.
  /// \param[out] Why PortUnavailable if the result is false.
  bool open(const std::string &Address, Reason &Why);

  /// \param Handler Gets what other entry VMs ask beside heartbeats.
  void setRequestHandler(IngressHandler Handler) {
    RequestHandler_ = std::move(Handler);
  }

  /// Adds an entry VM that was found elsewhere.
  void addSeed(const std::string &Address) { Membership_.addSeed(Address); }

  /// \param Period Time between heartbeats from the next one on.
  void setPeriod(Duration Period) { Period_ = Period; }

  /// Announces that this VM is leaving.
  void announceLeave();

  /// \return This VM and all others that serve or may serve.
  MemberList getMembers() const { return Membership_.getMembers(); }

  const Member &getSelf() const { return Membership_.getSelf(); }

private:
  void sendHeartbeats();
  void sendHeartbeat(const std::string &Address);
  void handleRequest(const IngressExchangePtr &Exchange);
  void notifyIfChanged();

  Duration Period_;                  ///< Between heartbeats.
  EventLog &Log_;                    ///< Log.
  std::function<void()> OnChange_;   ///< See the constructor.
  IngressHandler RequestHandler_;    ///< See setOnQuestion().
  Membership Membership_;            ///< Decides who is alive.
  uint64_t NotifiedViewVersion_ = 0; ///< Last one that was told.
  IngressServer Server_;             ///< Port for other entry VMs.
  HttpClient Client_;                ///< Connections to other entry VMs.
  boost::asio::steady_timer Timer_;  ///< Next round.
};

} // namespace cranberry

#endif
