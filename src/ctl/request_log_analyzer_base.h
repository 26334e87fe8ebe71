/// \file request_log_analyzer_base.h Explains the result of a request from log
/// lines.
#ifndef CRANBERRY_CTL_REQUEST_LOG_ANALYZER_BASE_H
#define CRANBERRY_CTL_REQUEST_LOG_ANALYZER_BASE_H

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Reads the log lines of one or more entry VMs in order and collects those of
/// one request. Memory use does not grow with the length of the log.
class RequestLogAnalyzer {
public:
  explicit RequestLogAnalyzer(std::string Request)
      : RequestId_(std::move(Request)) {}

  /// Processes one line; text before the first brace is skipped.
  /// \return Whether it is a log line.
  bool processLine(const std::string &Line);

  /// \return Whether a line of the request was found.
  bool hasRequest() const { return !Output_.empty(); }

  /// \return The request's log lines as text, and the cause of its result.
  std::vector<std::string> explain() const;

private:
  /// Failed attempt at a server.
  struct Failure {
    double FailedAt_;    ///< Time of the log line, in seconds.
    std::string Server_; ///< Instance id of the server.
    std::string End_;    ///< Failure, such as "connect-failed".
  };

  /// State of an entry VM, reconstructed from its log.
  struct VmState {
    std::map<std::string, nlohmann::json> Servers_; ///< Last change by server.
    std::map<std::string, double>
        StoreLostSince_;         ///< Time since when a kind's watch fails.
    std::string EvacuatedZones_; ///< Evacuated availability zones.
    std::optional<nlohmann::json>
        Config_;                   ///< Last line of a new configuration.
    std::deque<Failure> Failures_; ///< Recent failures of all requests.
    uint64_t DroppedLines_ = 0;    ///< Lines dropped by the log rate limit.
  };

  void updateVmState(VmState &Vm, const nlohmann::json &Line);
  void recordRequestLine(const VmState &Vm, const nlohmann::json &Line);
  void describeVmState(const VmState &Vm, const nlohmann::json &Line);
  void describeServer(const VmState &Vm, const nlohmann::json &Line);
  std::string explainResult() const;

  std::string RequestId_;                   ///< Id of the request.
  std::map<std::string, VmState> VmStates_; ///< State by name of the entry VM.
  std::vector<std::string> Output_;         ///< Explanation, in lines.
  std::optional<double> StartTime_;  ///< Time of the first line, in seconds.
  nlohmann::json LastStart_;         ///< Last line of an attempt that started.
  nlohmann::json LastFailedAttempt_; ///< Last line of a failed attempt.
  nlohmann::json Refusal_;    ///< Line of the rejection by admission control.
  nlohmann::json EndLine_;    ///< Last line of the request.
  uint64_t DroppedLines_ = 0; ///< Lines dropped while it was in progress.
};

} // namespace cranberry

#endif
