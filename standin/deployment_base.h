/// \file deployment_base.h A user's deployment on loopback ports.
#ifndef CRANBERRY_STANDIN_DEPLOYMENT_BASE_H
#define CRANBERRY_STANDIN_DEPLOYMENT_BASE_H

#include "standin/child_process_base.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberry::standin {

/// Where programs and settings are, and where logs go.
struct DeploymentPaths {
  std::string Programs_; ///< Folder of the built programs.
  std::string Settings_; ///< A user's folder of objects.json and vms/.
  std::string Work_;     ///< Folder for adapted settings and logs.
};

/// One HTTP answer.
struct PlainAnswer {
  int Status_ = 0;   ///< Status; zero if there was no answer.
  std::string Body_; ///< Body.
};

/// Makes one HTTP request and waits for the answer.
PlainAnswer request(const std::string &Method, const std::string &Url,
                    const std::string &Body);

/// Starts a user's settings as separate processes: the platform, the backend
/// servers and every entry VM, with the addresses replaced by loopback ports.
class Deployment {
public:
  Deployment(DeploymentPaths Paths, int64_t MeanMs);

  /// Starts everything and writes the objects through an entry VM.
  void start();

  /// Starts one entry VM with the settings of that name.
  void startVm(const std::string &Vm);

  /// Waits until \p Count entry VMs are ready, each with a configuration of at
  /// least \p Version.
  void waitReady(size_t Count, uint64_t Version);

  /// Writes an object through the first entry VM that runs.
  /// \return Its version.
  uint64_t apply(const std::string &Kind, const std::string &Name,
                 const std::string &Body);
  void remove(const std::string &Kind, const std::string &Name);

  ChildProcess &getVm(const std::string &Vm) { return *Vms_.at(Vm); }
  std::vector<std::string> getVmNames() const;
  std::vector<std::string> getVmAddresses();
  const std::vector<std::string> &getServers(const std::string &Pool) {
    return Servers_.at(Pool);
  }

  /// \return Sum of runs by key over all servers.
  std::map<std::string, unsigned> getRunsByKey();
  std::string getPlatformAddress() { return Platform_->getField("http"); }

private:
  void startServers(nlohmann::json &Pool);
  void announceVms();

  DeploymentPaths Paths_; ///< Folders.
  int64_t MeanMs_;        ///< Mean service time of the servers.
  std::unique_ptr<ChildProcess> Platform_;                        ///< Platform.
  std::map<std::string, std::unique_ptr<ChildProcess>> Backends_; ///< By pool.
  std::map<std::string, std::vector<std::string>> Servers_;       ///< By pool.
  std::map<std::string, std::unique_ptr<ChildProcess>> Vms_;      ///< By name.
};

} // namespace cranberry::standin

#endif
