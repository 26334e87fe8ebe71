/// \file log_explanation_base.h Explains the result of a request from log
/// lines.
#ifndef CRANBERRY_CTL_LOG_EXPLANATION_BASE_H
#define CRANBERRY_CTL_LOG_EXPLANATION_BASE_H

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// Reads the log lines of one or more entry VMs in order and collects those of
/// one request. Memory use does not grow with the length of the log.
class LogExplanation {
public:
  explicit LogExplanation(std::string Request) : Request_(std::move(Request)) {}

  /// Processes one line; text before the first brace is skipped.
  /// \return Whether it is a log line.
  bool take(const std::string &Line);

  /// \return Whether a line of the request was found.
  bool isFound() const { return !Lines_.empty(); }

  /// \return The request's log lines as text, and the cause of its result.
  std::vector<std::string> tell() const;

private:
  /// Failed attempt at a server.
  struct Failure {
    double At_;          ///< Time of the log line, in seconds.
    std::string Server_; ///< Instance id of the server.
    std::string End_;    ///< Failure, such as "connect-failed".
  };

  /// State of an entry VM, reconstructed from its log.
  struct VmState {
    std::map<std::string, nlohmann::json> Servers_; ///< Last change by server.
    std::map<std::string, double>
        StoreLost_;         ///< Time since when a kind's watch fails.
    std::string Evacuated_; ///< Evacuated availability zones.
    std::optional<nlohmann::json>
        Config_;                   ///< Last line of a new configuration.
    std::deque<Failure> Failures_; ///< Recent failures of all requests.
    uint64_t LeftOut_ = 0;         ///< Lines dropped by the log rate limit.
  };

  void follow(VmState &Vm, const nlohmann::json &Line);
  void keep(const VmState &Vm, const nlohmann::json &Line);
  void tellBeliefs(const VmState &Vm, const nlohmann::json &Line);
  void tellServer(const VmState &Vm, const nlohmann::json &Line);
  std::string tellEnd() const;

  std::string Request_;                ///< Id of the request.
  std::map<std::string, VmState> Vms_; ///< State by name of the entry VM.
  std::vector<std::string> Lines_;     ///< Explanation, in lines.
  std::optional<double> Began_;        ///< Time of the first line, in seconds.
  nlohmann::json Start_;   ///< Last line of an attempt that started.
  nlohmann::json Attempt_; ///< Last line of a failed attempt.
  nlohmann::json Refusal_; ///< Line of the rejection by admission control.
  nlohmann::json End_;     ///< Last line of the request.
  uint64_t LeftOut_ = 0;   ///< Lines dropped while it was in progress.
};

} // namespace cranberry

#endif
