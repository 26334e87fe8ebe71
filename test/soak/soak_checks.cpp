/// \file soak_checks.cpp Invariants that clients and servers observe.
#include "test/soak/soak_checks_base.h"
#include "test/support/rate_check_base.h"

#include <algorithm>
#include <tuple>

using cranberry::standin::FleetServer;
using cranberry::standin::ServerRun;

namespace cranberry::test {

namespace {

constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;

bool isSuccess(unsigned Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

bool isNotRunStatus(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

void SoakChecks::recordCall(const CompletedCall &Call) {
  std::lock_guard Lock(Mutex_);
  Calls_[Call.Id_] = Call;
  if (!isSuccess(Call.Reply_.Status_))
    return;
  if (Call.Reply_.Body_ != Call.Id_ + " " + Call.Target_)
    addViolation("got the response of another request: " + Call.Id_);
  if (Call.Reply_.Signature_.empty())
    addViolation("a success without the server's signature: " + Call.Id_);
}

void SoakChecks::expectNoWork(const std::string &Server, Time From, Time To) {
  std::lock_guard Lock(Mutex_);
  NoWorkPeriods_.push_back({Server, From, To});
}

void SoakChecks::expectRate(const std::string &Server, double Limit, Time From,
                            Time To) {
  std::lock_guard Lock(Mutex_);
  RatePeriods_.push_back({Server, Limit, From, To});
}

void SoakChecks::addFlagVersion(const std::string &Service, Time At) {
  std::lock_guard Lock(Mutex_);
  FlagVersions_.emplace_back(Service, At);
}

void SoakChecks::expectLastFlagVersion(Time From) {
  std::lock_guard Lock(Mutex_);
  LastFlagVersionFrom_ = From;
}

size_t SoakChecks::countServed(Time From) {
  std::lock_guard Lock(Mutex_);
  return static_cast<size_t>(
      std::count_if(Calls_.begin(), Calls_.end(), [From](const auto &Entry) {
        return Entry.second.Sent_ >= From &&
               isSuccess(Entry.second.Reply_.Status_);
      }));
}

void SoakChecks::checkRetryBudget(std::vector<FleetServer> &Servers) {
  // These values equal the fleet's settings.
  constexpr double Ratio = 0.2;
  constexpr double Slack = 30;
  constexpr Duration Window = seconds(10);
  std::map<std::string, std::vector<Time>> Requests;
  for (const auto &[Id, Call] : Calls_)
    if (!Call.Service_.empty())
      Requests[Call.Service_].push_back(Call.Sent_);
  std::map<std::string, std::map<std::string, std::vector<Time>>> Runs;
  for (FleetServer &Each : Servers)
    for (const ServerRun &Run : Each.Server_->getRuns()) {
      std::vector<Time> &Times = Runs[Each.Service_][Run.AttemptId_];
      Times.push_back(Run.At_);
      auto Call = Calls_.find(Run.AttemptId_);
      bool IsFirst = Times.size() == 1 && Call != Calls_.end();
      if (IsFirst && Call->second.Service_.empty())
        Requests[Each.Service_].push_back(Call->second.Sent_);
    }
  for (auto &[Service, ByRequest] : Runs) {
    std::vector<Time> Repeats;
    for (auto &[Id, Times] : ByRequest) {
      std::sort(Times.begin(), Times.end());
      Repeats.insert(Repeats.end(), Times.begin() + 1, Times.end());
    }
    std::sort(Repeats.begin(), Repeats.end());
    std::vector<Time> &Sent = Requests[Service];
    std::sort(Sent.begin(), Sent.end());
    for (size_t I = 0; I < Repeats.size(); ++I) {
      Time To = Repeats[I];
      auto CountIn = [To, Window](const std::vector<Time> &Times) {
        return static_cast<double>(
            std::upper_bound(Times.begin(), Times.end(), To) -
            std::upper_bound(Times.begin(), Times.end(), To - Window));
      };
      if (CountIn(Repeats) > Ratio * CountIn(Sent) + Slack) {
        addViolation("retries of " + Service + " exceed the budget");
        return;
      }
    }
  }
}

void SoakChecks::checkRates(std::vector<FleetServer> &Servers) {
  for (const RatePeriod &Period : RatePeriods_)
    for (FleetServer &Each : Servers) {
      if (Each.Server_->getId() != Period.Server_)
        continue;
      std::vector<Time> Runs;
      for (const ServerRun &Run : Each.Server_->getRuns())
        if (Run.At_ < Period.To_)
          Runs.push_back(Run.At_);
      size_t Peak = getPeakRuns(Runs, Period.From_);
      if (static_cast<double>(Peak) > getAllowedRuns(Period.Limit_))
        addViolation("got " + std::to_string(Peak) +
                     " requests in 4 s over its limit: " + Period.Server_);
    }
}

void SoakChecks::checkConfigurationOrder(std::vector<FleetServer> &Servers) {
  struct FlagRun {
    Time Sent_;           ///< Send time at the client.
    Time At_;             ///< Start time at the server.
    std::string Id_;      ///< Attempt id.
    std::string Service_; ///< Service that ran it.
  };
  std::map<unsigned, std::vector<FlagRun>> ByClient;
  for (FleetServer &Each : Servers)
    for (const ServerRun &Run : Each.Server_->getRuns()) {
      auto Call = Calls_.find(Run.AttemptId_);
      if (Call != Calls_.end() && Call->second.Service_.empty())
        ByClient[Call->second.Client_].push_back(
            {Call->second.Sent_, Run.At_, Run.AttemptId_, Each.Service_});
    }
  for (auto &[Client, Runs] : ByClient) {
    std::sort(Runs.begin(), Runs.end(), [](const FlagRun &A, const FlagRun &B) {
      return std::tie(A.Sent_, A.At_) < std::tie(B.Sent_, B.At_);
    });
    // Oldest version that the entry VM can have, given its earlier requests.
    size_t Version = 0;
    for (const FlagRun &Run : Runs) {
      size_t Next = Version;
      while (Next < FlagVersions_.size() &&
             FlagVersions_[Next].first != Run.Service_)
        ++Next;
      if (Next == FlagVersions_.size() || FlagVersions_[Next].second > Run.At_)
        addViolation("used an older configuration than an earlier request: " +
                     Run.Id_);
      else
        Version = Next;
      if (Run.Sent_ > LastFlagVersionFrom_ &&
          Run.Service_ != FlagVersions_.back().first)
        addViolation("used an outdated configuration: " + Run.Id_);
    }
  }
}

std::vector<std::string>
SoakChecks::checkRuns(std::vector<FleetServer> &Servers) {
  std::lock_guard Lock(Mutex_);
  std::map<std::string, unsigned> Runs;
  for (FleetServer &Each : Servers)
    for (const ServerRun &Run : Each.Server_->getRuns()) {
      ++Runs[Run.AttemptId_];
      auto Call = Calls_.find(Run.AttemptId_);
      if (Call == Calls_.end())
        continue; // The soak ended before its client saw the result.
      if (Call->second.Target_ != Run.Target_)
        addViolation("reached the server with a different path: " +
                     Run.AttemptId_);
      const std::string &Home = Call->second.Home_;
      if (!Home.empty() && !Each.Zone_.starts_with(Home + "-"))
        addViolation("left its home region: " + Run.AttemptId_);
      const std::string &Service = Call->second.Service_;
      if (!Service.empty() && Service != Each.Service_)
        addViolation("run by the service of another route: " + Run.AttemptId_);
      for (const NoWorkPeriod &Period : NoWorkPeriods_)
        if (Period.Server_ == Each.Server_->getId() && Run.At_ > Period.From_ &&
            Run.At_ < Period.To_ && Call->second.Sent_ > Period.From_)
          addViolation("request for a draining or evacuated server: " +
                       Run.AttemptId_ + " at " + Period.Server_);
    }
  for (const auto &[Id, Call] : Calls_) {
    auto Found = Runs.find(Id);
    unsigned Count = Found == Runs.end() ? 0 : Found->second;
    if (Count > 1 && !Call.IsIdempotent_)
      addViolation("ran " + std::to_string(Count) + " times: " + Id);
    if (Count > 0 && !Call.IsIdempotent_ && isNotRunStatus(Call.Reply_.Status_))
      addViolation("reported as not run but ran: " + Id);
    if (Count > 2)
      addViolation("sent to more servers than its route allows: " + Id);
  }
  checkRates(Servers);
  checkRetryBudget(Servers);
  checkConfigurationOrder(Servers);
  return Violations_;
}

} // namespace cranberry::test
