/// \file soak_checks_base.h What callers and servers must never see.
#ifndef CRANBERRY_TEST_SOAK_SOAK_CHECKS_BASE_H
#define CRANBERRY_TEST_SOAK_SOAK_CHECKS_BASE_H

#include "standin/route_client_base.h"
#include "standin/routed_fleet_base.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cranberry::test {

/// A request as its client saw it.
struct SeenCall {
  std::string Id_;             ///< Attempt id.
  std::string Target_;         ///< Path.
  unsigned Client_ = 0;        ///< Client, which uses one entry VM only.
  std::string Service_;        ///< Service that its route names; empty if that
                               ///< changes.
  std::string Home_;           ///< Region where it has to run, or empty.
  bool IsIdempotent_ = false;  ///< Whether it may run twice.
  Time Sent_;                  ///< When it was sent.
  standin::ClientReply Reply_; ///< What came.
};

/// Collects what clients see while the soak runs; judges it with the runs of
/// the servers at the end.
class SoakChecks {
public:
  /// A client's call has ended; judges its answer at once. Any thread.
  void note(const SeenCall &Call);

  /// A server was told to be leaving, or a zone to be evacuated, with nothing
  /// broken around: its servers get nothing after \p From until \p To.
  void expectNoWork(const std::string &Server, Time From, Time To);

  /// From \p At on the requests of "/flag/" belong to \p Service. Version by
  /// version, in order.
  void expectFlag(const std::string &Service, Time At);

  /// Requests of "/flag/" sent after \p From run by the last version only.
  void expectLastFlag(Time From);

  /// Judges all runs.
  /// \return What was broken, one line each.
  std::vector<std::string> judge(std::vector<standin::FleetServer> &Servers);

  /// \return Calls that were answered by a server since \p From.
  size_t countServed(Time From);

private:
  struct Quiet {
    std::string Server_; ///< Instance.
    Time From_;          ///< Start.
    Time To_;            ///< End.
  };

  void fail(const std::string &Text) { Broken_.push_back(Text); }
  void judgeBudget(std::vector<standin::FleetServer> &Servers);
  void judgeFlags(std::vector<standin::FleetServer> &Servers);

  std::mutex Mutex_;                                ///< Guards all.
  std::map<std::string, SeenCall> Calls_;           ///< By id.
  std::vector<Quiet> Quiets_;                       ///< See expectNoWork().
  std::vector<std::pair<std::string, Time>> Flags_; ///< See expectFlag().
  Time LastFlagFrom_ = Time::max();                 ///< See expectLastFlag().
  std::vector<std::string> Broken_;                 ///< What was broken.
};

} // namespace cranberry::test

#endif
