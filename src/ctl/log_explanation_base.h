/// \file log_explanation_base.h What became of a request, told from logs.
#ifndef CRANBERRY_CTL_LOG_EXPLANATION_BASE_H
#define CRANBERRY_CTL_LOG_EXPLANATION_BASE_H

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Reads the log lines of one or more entry VMs in order and keeps what
/// concerns one request. Memory does not grow with the log.
class RequestLogAnalyzer {
public:
  explicit RequestLogAnalyzer(std::string Request)
      : RequestId_(std::move(Request)) {}

  /// Takes one line; what precedes its first brace is skipped.
  /// \return Whether it is a log line.
  bool processLine(const std::string &Line);

  /// \return Whether any line told of the request.
  bool hasRequest() const { return !Output_.empty(); }

  /// \return The request's lines in words, and the cause of its end.
  std::vector<std::string> explain() const;

private:
  /// A failed attempt at a server.
  struct Failure {
    double FailedAt_;    ///< Time.
    std::string Server_; ///< Instance.
    std::string End_;    ///< How it ended.
  };

  /// What an entry VM believed, by its log.
  struct VmState {
    std::map<std::string, nlohmann::json> Servers_; ///< Last change of each.
    std::map<std::string, double>
        StoreLostSince_;                   ///< Kinds that it can't follow.
    std::string EvacuatedZones_;           ///< Zones.
    std::optional<nlohmann::json> Config_; ///< Last configuration.
    std::deque<Failure> Failures_; ///< Of all requests, for some seconds.
    uint64_t DroppedLines_ = 0;    ///< Lines that the rate left out.
  };

  void updateVmState(VmState &Vm, const nlohmann::json &Line);
  void recordRequestLine(const VmState &Vm, const nlohmann::json &Line);
  void describeVmState(const VmState &Vm, const nlohmann::json &Line);
  void describeServer(const VmState &Vm, const nlohmann::json &Line);
  std::string explainResult() const;

  std::string RequestId_;                   ///< Its id.
  std::map<std::string, VmState> VmStates_; ///< By name.
  std::vector<std::string> Output_;         ///< Told so far.
  std::optional<double> StartTime_;         ///< Time of its first line.
  nlohmann::json LastStart_;                ///< Last line that sent it.
  nlohmann::json LastFailedAttempt_;        ///< Last failed attempt.
  nlohmann::json Refusal_;                  ///< Line that gave it up.
  nlohmann::json EndLine_;                  ///< Its last line.
  uint64_t DroppedLines_ = 0;               ///< Lines left out meanwhile.
};

} // namespace cranberry

#endif
