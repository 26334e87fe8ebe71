/// \file cluster_base.h Entry VM processes among stand-ins with faults.
#ifndef CRANBERRY_TEST_PROCESS_CLUSTER_BASE_H
#define CRANBERRY_TEST_PROCESS_CLUSTER_BASE_H

#include "net/http_type.h"
#include "standin/backend_base.h"
#include "standin/child_process_base.h"
#include "standin/link_base.h"
#include "standin/platform_base.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberry::test {

/// One entry VM: its process and the links that carry its connections.
struct TestVm {
  std::string Name_;                               ///< Name in the settings.
  std::string Region_;                             ///< Region in which it runs.
  std::string Zone_;                               ///< Zone, as "region-zone".
  std::unique_ptr<standin::Link> PeerLink_;        ///< Link from its peers.
  std::unique_ptr<standin::Link> PlatformLink_;    ///< Link to the platform.
  std::unique_ptr<standin::ChildProcess> Process_; ///< Running daemon.

  std::string getHttp() const { return Process_->getField("http"); }
};

/// Entry VMs that serve one service "pay", whose GET requests are idempotent.
class Cluster {
public:
  /// Starts the platform, the backend servers and the entry VMs.
  /// \param Zones Zone of each entry VM, as "region-zone".
  /// \param Servers Number of backend servers in each distinct zone.
  /// \param Profile Slots and service times of the backend servers.
  /// \param Period Interval of heartbeats and of health probes.
  Cluster(const std::vector<std::string> &Zones, unsigned Servers,
          const standin::BackendProfile &Profile,
          Duration Period = milliseconds(100));
  ~Cluster();

  /// Starts entry VM \p Index again, as a new process.
  void startVm(size_t Index);

  TestVm &vm(size_t Index) { return *Vms_[Index]; }
  size_t getVmCount() const { return Vms_.size(); }
  standin::Backend &server(const std::string &Zone, size_t Index) {
    return *Servers_.at(Zone)[Index];
  }
  standin::Platform &platform() { return *Platform_; }

  /// Calls "/v1/call/pay/book" at entry VM \p Index.
  HttpResult call(size_t Index, const std::string &Method,
                  const std::string &Key, Duration Deadline = seconds(5));

  /// Starts the same call without waiting for its end.
  /// \return Function that waits for the result.
  std::function<HttpResult()> startCall(size_t Index, const std::string &Method,
                                        const std::string &Key,
                                        Duration Deadline = seconds(5));

  /// Writes an object through entry VM \p Index.
  HttpResult put(size_t Index, const std::string &Kind, const std::string &Name,
                 const std::string &Body, const std::string &IfMatch = "");
  HttpResult get(size_t Index, const std::string &Path);

  /// \return A new idempotency key whose home is entry VM \p Index.
  std::string makeKey(size_t Index);

  /// \return Configuration version that entry VM \p Index has in force.
  uint64_t getVersion(size_t Index);

  /// \return How often \p Key was run, over all servers.
  unsigned getRuns(const std::string &Key);

  /// Waits until all running entry VMs have \p Version and see \p Count VMs.
  /// \return Whether that happened within \p Limit.
  bool waitInForce(uint64_t Version, size_t Count, Duration Limit);

private:
  void writeObjects();
  void announceVms();

  Duration Period_; ///< Interval of heartbeats and probes.
  std::unique_ptr<standin::Platform> Platform_; ///< Stand-in platform.
  std::map<std::string, std::vector<std::unique_ptr<standin::Backend>>>
      Servers_;                              ///< Backend servers by zone.
  std::vector<std::unique_ptr<TestVm>> Vms_; ///< Entry VMs by index.
  unsigned NextNonce_ = 10000000;            ///< Part of the next key.
};

/// Polls \p Done until it holds or \p Limit has passed.
/// \return Whether \p Done held in time.
bool waitUntil(const std::function<bool()> &Done, Duration Limit);

} // namespace cranberry::test

#endif
