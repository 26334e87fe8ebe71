/// \file soak_checks_base.h Invariants that clients and servers observe.
#ifndef CRANBERRY_TEST_SOAK_SOAK_CHECKS_BASE_H
#define CRANBERRY_TEST_SOAK_SOAK_CHECKS_BASE_H

#include "standin/route_client_base.h"
#include "standin/routed_fleet_base.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cranberry::test {

/// A finished request as its client saw it.
struct CompletedCall {
  std::string Id_;             ///< Attempt id.
  std::string Target_;         ///< Request path.
  unsigned Client_ = 0;        ///< Client, which uses one entry VM only.
  std::string Service_;        ///< Service of its route; empty for "/flag/",
                               ///< whose service changes.
  std::string Home_;           ///< Region where it has to run, or empty.
  bool IsIdempotent_ = false;  ///< Whether it may run more than once.
  Time Sent_;                  ///< Time at which it was sent.
  standin::ClientReply Reply_; ///< Response that the client got.
};

/// Collects the results of clients while the soak runs, and compares them with
/// the runs of the servers at the end.
class SoakChecks {
public:
  /// Records a finished call and checks its response. Thread-safe.
  void recordCall(const CompletedCall &Call);

  /// Expects no request sent after \p From to run at \p Server until \p To.
  /// For a server that drains, or whose zone is evacuated, while there are no
  /// faults.
  void expectNoWork(const std::string &Server, Time From, Time To);

  /// Expects \p Server, which names \p Limit requests per second, to get no
  /// more than the platform allows between \p From and \p To.
  void expectRate(const std::string &Server, double Limit, Time From, Time To);

  /// Adds a configuration version that routes "/flag/" to \p Service.
  /// Versions are added in order.
  /// \param At Time before which no server can run by that version.
  void addFlagVersion(const std::string &Service, Time At);

  /// Expects requests of "/flag/" sent after \p From to use the last version.
  void expectLastFlagVersion(Time From);

  /// Checks all runs of the servers against the calls of the clients.
  /// \return Violated invariants, one line each.
  std::vector<std::string>
  checkRuns(std::vector<standin::FleetServer> &Servers);

  /// \return Number of calls sent since \p From that succeeded.
  size_t countServed(Time From);

private:
  /// Time in which a server must run no new request.
  struct NoWorkPeriod {
    std::string Server_; ///< Instance id.
    Time From_;          ///< Start of the period.
    Time To_;            ///< End of the period.
  };

  /// Time in which a server's rate limit must hold.
  struct RatePeriod {
    std::string Server_; ///< Instance id.
    double Limit_;       ///< Requests per second.
    Time From_;          ///< Start of the period.
    Time To_;            ///< End of the period.
  };

  void addViolation(const std::string &Text) { Violations_.push_back(Text); }
  void checkRates(std::vector<standin::FleetServer> &Servers);
  void checkRetryBudget(std::vector<standin::FleetServer> &Servers);
  void checkConfigurationOrder(std::vector<standin::FleetServer> &Servers);

  std::mutex Mutex_;                           ///< Guards the members below.
  std::map<std::string, CompletedCall> Calls_; ///< Calls by attempt id.
  std::vector<NoWorkPeriod> NoWorkPeriods_;    ///< See expectNoWork().
  std::vector<RatePeriod> RatePeriods_;        ///< See expectRate().
  std::vector<std::pair<std::string, Time>>
      FlagVersions_;                       ///< See addFlagVersion().
  Time LastFlagVersionFrom_ = Time::max(); ///< See expectLastFlagVersion().
  std::vector<std::string> Violations_;    ///< Violated invariants.
};

} // namespace cranberry::test

#endif
