/// \file service_balancer_base.h Assigns requests to backend servers.
#ifndef CRANBERRY_REQUEST_SERVICE_BALANCER_BASE_H
#define CRANBERRY_REQUEST_SERVICE_BALANCER_BASE_H

#include "request/balancer_type.h"
#include "request/demand_meter_base.h"
#include "request/object_placement_base.h"
#include "request/region_divider_base.h"
#include "request/region_shift_limiter_base.h"
#include "request/server_state_base.h"
#include "request/service_time_history_base.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace cranberry {

/// Decides when and to which server each request is sent, and which requests
/// are refused.
///
/// Requests are queued here and not in the servers, so that the next free slot
/// goes to the request that gains the most from it. The caller passes in the
/// time.
class ServiceBalancer {
public:
  /// \param ShiftLimiter Limiter shared by all services; must outlive this
  /// object.
  explicit ServiceBalancer(RegionShiftLimiter &ShiftLimiter)
      : ShiftLimiter_(ShiftLimiter) {}

  /// Replaces the servers that accept requests. Attempts at other servers
  /// continue.
  void setServers(const std::vector<BackendServerConfig> &Servers);

  /// Adds a request to the queue.
  void submit(WaitingRequest Request) {
    Duration Work = getServiceTime(Request).get(FirstServerHitRatio_);
    Divider_.recordArrival(Request, Work);
    Demand_.recordArrival(Work, Request.Arrived_);
    Waiting_.push_back(std::move(Request));
  }

  /// Removes a request that the client no longer needs from the queue.
  /// \return Whether it was queued.
  bool cancelWaiting(FlowIndex Flow);

  /// Changes the home regions of a queued request, which keeps its place.
  /// \param Regions Allowed regions; empty for any.
  /// \return Whether it was queued.
  bool setHomeRegions(FlowIndex Flow, std::vector<std::string> Regions);

  /// Handles the end of an attempt that step() started.
  void endAttempt(const EndedAttempt &Ended, Time Now);

  /// Extends the cold phase of a server that stays cold for longer than it
  /// announced.
  void extendColdPhase(const std::string &Server, Time Until);

  /// Assigns and refuses queued requests, and looks for silent servers.
  /// \return Actions to execute now.
  std::vector<BalancerAction> step(Time Now);

  /// \return Time of the next call of step(), unless an event comes first.
  Time getNextWake(Time Now) const;

  size_t getWaiting() const { return Waiting_.size(); }
  unsigned getInFlight() const;

  /// \return Number of cold servers among those that accept requests.
  unsigned getColdServers(Time Now) const;

  /// Applies a server's statement about its request rate.
  /// \return Whether the limit differs from the known one.
  bool setRateLimit(const std::string &Server, const NamedRateLimit &Named);

  /// \return Use of the servers that limit their request rate.
  std::vector<RateUse> getRateUse(Time Now) const;

  /// \return Demands for the servers that limit their request rate, since the
  /// previous call.
  std::vector<RateDemand> takeRateDemands(Time Now);

  /// Sets this VM's share of a server's request rate.
  /// \param Named Limit that the share is part of; replaces an older one.
  void setRateShare(const std::string &Server, const NamedRateLimit &Named,
                    double Share, Time Now);

  const ServiceTimeHistory &getHistory() const { return History_; }

  /// \return Demand of the clients in slots, if known.
  std::optional<double> getDemand(Time Now) { return Demand_.getDemand(Now); }

  /// \return Division of the requests among the regions.
  RegionDivider &getDivider() { return Divider_; }

private:
  using ServerMap =
      absl::flat_hash_map<std::string, std::unique_ptr<ServerState>>;

  std::vector<WaitingRequest>::iterator findWaiting(FlowIndex Flow);

  /// A server considered for a request, with its cost.
  struct Candidate {
    ServerState *Server_ = nullptr; ///< Server, or null.
    Duration Wait_{0};     ///< Predicted wait for a slot and the rate limit.
    Duration RateWait_{0}; ///< Predicted wait for the rate limit alone.
    Duration Finish_{0};   ///< Predicted time until the response.
    /// Finish_ plus penalties; the lowest cost wins.
    Duration Cost_{0};
    unsigned PreferenceRank_ = 0; ///< Rank among the preferred servers.
  };

  /// Number of queued requests on this VM by the server that they wait for.
  using Plan = absl::flat_hash_map<const ServerState *, unsigned>;

  ServiceTimeEstimate getServiceTime(const WaitingRequest &Request) const;
  double getPriority(const WaitingRequest &Request, Time Now) const;
  void sortWaiting(Time Now);
  double getHitProbability(const PreferredServer &Where, uint64_t Key) const;
  Candidate evaluateServer(const WaitingRequest &Request,
                           const PreferredServer &Where,
                           const ServiceTimeEstimate &Work, unsigned Planned,
                           Time Now) const;
  static bool isCheaper(const Candidate &Next, const Candidate &Known);
  bool shouldWarmFirstServer(const WaitingRequest &Request,
                             const Candidate &FirstServer,
                             const Candidate &Best, Time Now);
  /// The cheapest servers for a request.
  struct Choice {
    Candidate Best_;                ///< In this region.
    Candidate BestOtherRegion_;     ///< Within the limit of shifts.
    Candidate CheapestOtherRegion_; ///< Regardless of the limit.
    /// In a region whose share of requests falls too fast.
    Candidate BestFallingRegion_;
    /// First server of the object in this region.
    Candidate FirstServer_;
    /// Server of the lowest cost if servers had no rate limits.
    ServerState *Wanted_ = nullptr;
    Duration WantedCost_ = Duration::max(); ///< Cost of Wanted_.

    bool isEmpty() const {
      return !Best_.Server_ && !CheapestOtherRegion_.Server_;
    }
  };

  Choice evaluateServers(const WaitingRequest &Request,
                         const std::vector<PreferredServer> &Servers,
                         const Plan &Planned, Time Now);
  Candidate chooseServer(const WaitingRequest &Request, const Plan &Planned,
                         Time Now);
  Duration getTimeUntilAvailable(const WaitingRequest &Request, Time Now) const;
  void removeUnlisted(Time Now);
  static bool hasLostItsTime(const WaitingRequest &Request,
                             const Candidate &Best, Time Now);
  bool hasServer(const WaitingRequest &Request) const;
  std::optional<RefuseRequest> checkRefusal(const WaitingRequest &Request,
                                            const Candidate &Best,
                                            Time Now) const;
  void startAttempt(const WaitingRequest &Request, const Candidate &Where,
                    Time Now, std::vector<BalancerAction> &Out);
  void reportSuspects(Time Now, std::vector<BalancerAction> &Out);

  RegionShiftLimiter &ShiftLimiter_; ///< Limits moves to other regions.
  RegionDivider Divider_; ///< Divides the requests among the regions.
  DemandMeter Demand_;    ///< Demand of this VM's clients.
  ServerMap Servers_;     ///< All known servers by instance id.
  std::vector<ServerState *> Usable_; ///< Servers that accept requests.
  /// Servers that no longer accept requests but are still needed.
  std::vector<std::string> Unlisted_;
  /// Until then, requests don't search all servers in vain.
  Time NoServerUntil_;
  ObjectPlacement Placement_; ///< Preferred servers of objects.
  /// Cache hit ratio at an object's first server, for objects that this VM has
  /// not sent there recently.
  double FirstServerHitRatio_ = 0.5;
  /// Number of requests that bypassed an idle first server in this
  /// region.
  unsigned BypassedFirstServer_ = 0;
  std::vector<WaitingRequest> Waiting_; ///< Queued requests.
  ServiceTimeHistory History_;          ///< Service times by route.
};

} // namespace cranberry

#endif
