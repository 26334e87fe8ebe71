/// \file virtual_region_base.h Fake servers and peers around real dispatchers.
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

/// A request that the test made.
struct FakeRequest {
  Duration Length_{0};      ///< Time it runs at a server that is not slowed.
  std::string Route_ = "r"; ///< Route.
  bool Repeatable_ = true;  ///< Whether it may run twice.
  Duration Deadline_ = seconds(3600); ///< From its arrival.
  bool IsShort_ = true;               ///< Whether its wait is measured.
};

/// What became of one.
struct FakeEnd {
  ResultCode Code_ = ResultCode::Ok; ///< Result.
  Duration Latency_{0};              ///< From arrival to end.
  Duration Wait_{0};                 ///< Latency without its own length.
  bool IsShort_ = true;              ///< As in the request.
  unsigned Runs_ = 0;                ///< Times that a server ran it.
  size_t Zone_ = 0;                  ///< Zone that it arrived at.
  Time Ended_;                       ///< When it ended.
};

/// One availability zone: a dispatcher and its servers.
struct FakeZone {
  std::string Name_;                       ///< Entry VM's name.
  std::string Region_;                     ///< Region.
  std::unique_ptr<Dispatcher> Dispatcher_; ///< Real dispatcher.
  std::vector<std::string> Servers_;       ///< Addresses.
  bool Cut_ = false;                       ///< No message in or out.
  bool Paused_ = false;                    ///< Handles nothing until resumed.
};

/// Zones that lend each other slots, in virtual time, with faults.
class VirtualRegion {
public:
  /// How an attempt at a server ends; decided when it starts.
  using Fault = std::function<ResultCode(const std::string &Server)>;

  explicit VirtualRegion(uint64_t Seed) : Random_(Seed) {}

  FakeZone &addZone(const std::string &Name, const std::string &Region,
                    unsigned Servers, unsigned Slots,
                    const DispatcherLimits &Limits);

  /// Makes every zone know the others.
  void connect(Duration NearHop, Duration FarHop);

  /// A caller's request reaches \p Zone now.
  void arrive(size_t Zone, const FakeRequest &Request);

  void setSlow(const std::string &Server, double Factor) {
    Slow_[Server] = Factor;
  }
  /// The next \p Runs forwarded requests at each server of \p Zone find a cold
  /// cache and take \p Factor times as long.
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

  /// Called after every event.
  std::function<void()> Check_;

private:
  struct Live {
    FakeRequest Request_; ///< As it was made.
    Time Arrived_;        ///< When.
    unsigned Runs_ = 0;   ///< Times that a server ran it.
  };
  /// A request as one dispatcher numbers it.
  struct Place {
    size_t Zone_;        ///< Zone.
    RequestIndex Index_; ///< Its number there.

    friend bool operator<(const Place &A, const Place &B) {
      return std::pair(A.Zone_, A.Index_) < std::pair(B.Zone_, B.Index_);
    }
  };
  /// Where a forwarded request came from.
  struct Origin {
    size_t Zone_;          ///< Zone.
    AttemptIndex Attempt_; ///< Attempt there.
  };

  void perform(size_t Zone);
  void run(size_t Zone, const StartServerAttempt &Start);
  void run(size_t Zone, const StartPeerAttempt &Start);
  void run(size_t Zone, const CancelAttempt &Cancel);
  void run(size_t Zone, const FinishRequest &Finish);
  void run(size_t Zone, const ReportLateResult &Settle);
  void run(size_t Zone, const RequestSlots &Ask);
  void run(size_t Zone, const ReleaseGrant &Release);
  void run(size_t Zone, const SendSlotReply &Answer);
  void add(size_t Zone, std::shared_ptr<Live> Request, RequestTraits Traits,
           std::optional<Origin> From);
  void endAttempt(size_t Zone, AttemptIndex Attempt, ResultCode Code);
  void wake(size_t Zone);
  void send(size_t From, size_t To, VirtualTime::Task Deliver);
  size_t findZone(const std::string &Name);
  Duration getHop(size_t From, size_t To);

  VirtualTime Time_;                             ///< Events.
  std::mt19937_64 Random_;                       ///< Draws.
  std::vector<std::unique_ptr<FakeZone>> Zones_; ///< Zones.
  std::map<std::string, double> Slow_;           ///< Factors by server.
  std::map<std::string, unsigned> ColdRuns_;     ///< Left, by server.
  double ColdFactor_ = 1;                        ///< Of a cold run.
  std::map<std::string, unsigned> Running_;      ///< Attempts by server.
  std::map<std::string, unsigned> MaxRunning_;   ///< By region.
  std::map<Place, std::shared_ptr<Live>> Live_;  ///< Requests.
  std::map<Place, Origin> Origins_;              ///< Of forwarded ones.
  std::map<std::pair<size_t, AttemptIndex>, std::string> AtServer_; ///< Out.
  std::map<std::pair<size_t, SlotRequestIndex>, std::pair<size_t, Time>>
      Asks_;                     ///< Open.
  std::map<size_t, Time> Wakes_; ///< Timer by zone.
  Fault Fault_;                  ///< Decides faults.
  std::vector<FakeEnd> Ends_;    ///< Finished requests.
  Duration NearHop_{0};          ///< Within a region.
  Duration FarHop_{0};           ///< Between regions.
  unsigned Starts_ = 0;          ///< Attempts at servers.
  uint64_t NextAsk_ = 1;         ///< Number of next question.
};

} // namespace cranberry::test

#endif
