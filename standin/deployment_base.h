/// \file deployment_base.h Runs a user's settings on loopback ports.
#ifndef CRANBERRY_STANDIN_DEPLOYMENT_BASE_H
#define CRANBERRY_STANDIN_DEPLOYMENT_BASE_H

#include "standin/child_process_base.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberry::standin {

/// Directories that a deployment uses.
struct DeploymentPaths {
  std::string Programs_;      ///< Built programs.
  std::string Settings_;      ///< Holds objects.json and vms/ of a user.
  std::string WorkDirectory_; ///< Receives generated settings and logs.
};

/// One HTTP response.
struct PlainResponse {
  int Status_ = 0;   ///< HTTP status; zero without a response.
  std::string Body_; ///< Response body.
};

/// Sends one HTTP request and waits for the response.
PlainResponse request(const std::string &Method, const std::string &Url,
                      const std::string &Body);

/// Runs the platform, the backend servers and every entry VM of a user's
/// settings as separate processes, with all addresses replaced by loopback
/// ports.
class Deployment {
public:
  Deployment(DeploymentPaths Paths, int64_t MeanMs);

  /// Starts all processes and writes the objects through an entry VM.
  void start();

  /// Starts the entry VM \p Vm with its own settings file.
  void startVm(const std::string &Vm);

  /// Waits until \p Count entry VMs are ready with a configuration of at least
  /// \p Version. Throws on timeout.
  void waitReady(size_t Count, uint64_t Version);

  /// Writes an object through the first running entry VM.
  /// \return Version of the object.
  uint64_t apply(const std::string &Kind, const std::string &Name,
                 const std::string &Body);
  void remove(const std::string &Kind, const std::string &Name);

  ChildProcess &getVm(const std::string &Vm) { return *Vms_.at(Vm); }
  std::vector<std::string> getVmNames() const;
  std::vector<std::string> getVmAddresses();
  const std::vector<std::string> &getServers(const std::string &Pool) {
    return Servers_.at(Pool);
  }

  /// \return Number of runs per idempotency key, summed over all servers.
  std::map<std::string, unsigned> getRunsByKey();
  std::string getPlatformAddress() { return Platform_->getField("http"); }

private:
  void startServers(nlohmann::json &Pool);
  void announceVms();

  DeploymentPaths Paths_; ///< Directories.
  int64_t MeanMs_;        ///< Mean service time of backend servers, ms.
  std::unique_ptr<ChildProcess> Platform_;                        ///< Platform.
  std::map<std::string, std::unique_ptr<ChildProcess>> Backends_; ///< By pool.
  std::map<std::string, std::vector<std::string>> Servers_;       ///< By pool.
  std::map<std::string, std::unique_ptr<ChildProcess>> Vms_;      ///< By name.
};

} // namespace cranberry::standin

#endif
