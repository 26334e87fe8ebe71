/// \file cluster_base.h Real daemons among stand-ins that can fail.
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

/// One entry VM: a real process, and the links that others reach it by.
struct TestVm {
  std::string Name_;                               ///< Name.
  std::string Region_;                             ///< Region.
  std::string Zone_;                               ///< Availability zone.
  std::unique_ptr<standin::Link> PeerLink_;        ///< From peers.
  std::unique_ptr<standin::Link> PlatformLink_;    ///< To the platform.
  std::unique_ptr<standin::ChildProcess> Process_; ///< Daemon.

  std::string getHttp() const { return Process_->getField("http"); }
};

/// A few entry VMs with one service "pay" whose GET may be repeated.
class Cluster {
public:
  /// \param Zones Zone of each entry VM, as "region-zone".
  /// \param Servers Backend servers in each distinct zone.
  /// \param Period Between heartbeats, and between health probes.
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
  std::function<HttpResult()> callLater(size_t Index, const std::string &Method,
                                        const std::string &Key,
                                        Duration Deadline = seconds(5));

  /// Writes an object through entry VM \p Index.
  HttpResult put(size_t Index, const std::string &Kind, const std::string &Name,
                 const std::string &Body, const std::string &IfMatch = "");
  HttpResult get(size_t Index, const std::string &Path);

  /// \return A fresh key whose home is entry VM \p Index.
  std::string makeKey(size_t Index);

  /// \return Configuration that entry VM \p Index has in force.
  uint64_t getVersion(size_t Index);

  /// \return Times that any server ran \p Key.
  unsigned getRuns(const std::string &Key);

  /// Waits until all running entry VMs have \p Version and see \p Count VMs.
  bool waitInForce(uint64_t Version, size_t Count, Duration Limit);

private:
  void writeObjects();
  void announceVms();

  Duration Period_;                             ///< Between heartbeats.
  std::unique_ptr<standin::Platform> Platform_; ///< Platform.
  std::map<std::string, std::vector<std::unique_ptr<standin::Backend>>>
      Servers_;                              ///< By zone.
  std::vector<std::unique_ptr<TestVm>> Vms_; ///< Entry VMs.
  unsigned NextNonce_ = 10000000;            ///< Makes keys unique.
};

/// Waits until \p Done or \p Limit.
/// \return Whether it was done.
bool waitUntil(const std::function<bool()> &Done, Duration Limit);

} // namespace cranberry::test

#endif
