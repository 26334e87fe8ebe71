/// \file virtual_region_base.h Real dispatchers with simulated servers and
/// links.
#ifndef CRANBERRY_TEST_SUPPORT_VIRTUAL_REGION_BASE_H
#define CRANBERRY_TEST_SUPPORT_VIRTUAL_REGION_BASE_H

#include "request/dispatcher_base.h"
#include "virtual_time_base.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cranberry::test {

/// Parameters of a simulated request.
struct FakeRequest {
  Duration Length_{0};                ///< Run time at a server of normal speed.
  std::string Route_ = "r";           ///< Route name.
  bool IsRepeatable_ = true;          ///< Whether it may run twice.
  Duration Deadline_ = seconds(3600); ///< Time from its arrival.
  bool IsShort_ = true;               ///< Whether its wait is measured.
};

/// Result of a simulated request.
struct FakeEnd {
  ResultCode Code_ = ResultCode::Ok; ///< Result code.
  Duration Latency_{0};              ///< Time from arrival to end.
  Duration Wait_{0};                 ///< Latency without its run time.
  bool IsShort_ = true;              ///< As in the request.
  unsigned Runs_ = 0;                ///< How often a server ran it.
  size_t Zone_ = 0;                  ///< Index of the zone of its arrival.
  Time Ended_;                       ///< Time of its end.
};

/// One availability zone with its dispatcher and servers.
struct FakeZone {
  std::string Name_;                       ///< Name of its entry VM.
  std::string Region_;                     ///< Region of the zone.
  std::unique_ptr<Dispatcher> Dispatcher_; ///< Dispatcher under test.
  std::vector<std::string> Servers_;       ///< Addresses of its servers.
  bool IsCut_ = false;    ///< Whether all its messages are lost.
  bool IsPaused_ = false; ///< Whether timers are ignored.
};

/// Simulates zones that grant each other slots in virtual time, with faults.
class VirtualRegion {
public:
  /// Chooses the result of an attempt at a server when the attempt starts.
  using Fault = std::function<ResultCode(const std::string &Server)>;

  explicit VirtualRegion(uint64_t Seed) : Random_(Seed) {}

  FakeZone &addZone(const std::string &Name, const std::string &Region,
                    unsigned Servers, unsigned Slots,
                    const DispatcherLimits &Limits);

  /// Makes every zone a peer of the others.
  /// \param NearHop One-way delay within a region.
  /// \param FarHop One-way delay between regions.
  void connect(Duration NearHop, Duration FarHop);

  /// Adds a client request at \p Zone at the current time.
  void arrive(size_t Zone, const FakeRequest &Request);

  void setSlow(const std::string &Server, double Factor) {
    Slow_[Server] = Factor;
  }
  /// Makes the next \p Runs forwarded requests at each server of \p Zone find a
  /// cold cache and take \p Factor times as long.
  void setCold(size_t Zone, unsigned Runs, double Factor) {
    ColdFactor_ = Factor;
    for (const std::string &Server : Zones_[Zone]->Servers_)
      ColdRuns_[Server] = Runs;
  }
  void setFault(Fault Decide) { Fault_ = std::move(Decide); }
  void setHealth(size_t Zone, const std::string &Server, ServerHealth Health);

  VirtualTime &time() { return Time_; }
  FakeZone &zone(size_t Index) { return *Zones_[Index]; }
  const std::vector<FakeEnd> &getEnds() const { return Ends_; }
  unsigned getRunning(const std::string &Server) { return Running_[Server]; }
  unsigned getRunningIn(const std::string &Region);
  unsigned getStarts() const { return Starts_; }
  unsigned getMaxRunningIn(const std::string &Region) {
    return MaxRunning_[Region];
  }

  /// Called after every event; may be empty.
  std::function<void()> Check_;

private:
  /// A request that has arrived.
  struct OpenRequest {
    FakeRequest Request_; ///< Its parameters.
    Time Arrived_;        ///< Time of its arrival.
    unsigned Runs_ = 0;   ///< Times that a server ran it.
  };
  /// A dispatcher's zone and its index of a request.
  struct RequestLocation {
    size_t Zone_;        ///< Zone.
    RequestIndex Index_; ///< Index in that dispatcher.

    friend bool operator<(const RequestLocation &A, const RequestLocation &B) {
      return std::pair(A.Zone_, A.Index_) < std::pair(B.Zone_, B.Index_);
    }
  };
  /// The zone and the attempt that forwarded a request.
  struct Origin {
    size_t Zone_;          ///< Zone.
    AttemptIndex Attempt_; ///< Attempt at that zone.
  };

  void perform(size_t Zone);
  void run(size_t Zone, const StartServerAttempt &Start);
  void run(size_t Zone, const StartPeerAttempt &Start);
  void run(size_t Zone, const CancelAttempt &Cancel);
  void run(size_t Zone, const FinishRequest &Finish);
  void run(size_t Zone, const ReportLateResult &Result);
  void run(size_t Zone, const RequestSlots &Request);
  void run(size_t Zone, const ReleaseGrant &Release);
  void run(size_t Zone, const SendSlotReply &Reply);
  void add(size_t Zone, std::shared_ptr<OpenRequest> Request,
           RequestTraits Traits, std::optional<Origin> From);
  void endAttempt(size_t Zone, AttemptIndex Attempt, ResultCode Code);
  void scheduleWake(size_t Zone);
  void send(size_t From, size_t To, VirtualTime::Task Deliver);
  size_t findZone(const std::string &Name);
  Duration getHop(size_t From, size_t To);

  VirtualTime Time_;                             ///< Virtual time and events.
  std::mt19937_64 Random_;                       ///< Source of random numbers.
  std::vector<std::unique_ptr<FakeZone>> Zones_; ///< Zones by index.
  std::map<std::string, double> Slow_;       ///< Run time factors by server.
  std::map<std::string, unsigned> ColdRuns_; ///< Cold runs left by server.
  double ColdFactor_ = 1;                    ///< Run time factor of a cold run.
  std::map<std::string, unsigned> Running_;  ///< Running attempts by server.
  std::map<std::string, unsigned>
      MaxRunning_; ///< Peak of running attempts by region.
  std::map<RequestLocation, std::shared_ptr<OpenRequest>>
      OpenRequests_; ///< Requests by location.
  std::map<RequestLocation, Origin>
      Origins_; ///< Origins of forwarded requests.
  std::map<std::pair<size_t, AttemptIndex>, std::string>
      AtServer_; ///< Server by running attempt.
  std::map<std::pair<size_t, SlotRequestIndex>, std::pair<size_t, Time>>
      SlotRequests_; ///< Sender and send time of open slot requests.
  std::map<size_t, Time> WakeTimers_; ///< Next timer by zone.
  Fault Fault_;                       ///< Chooses results; may be empty.
  std::vector<FakeEnd> Ends_;         ///< Finished requests.
  Duration NearHop_{0};               ///< One-way delay within a region.
  Duration FarHop_{0};                ///< One-way delay between regions.
  unsigned Starts_ = 0;          ///< Number of attempts started at servers.
  uint64_t NextSlotRequest_ = 1; ///< Number of the next slot request.
};

} // namespace cranberry::test

#endif
