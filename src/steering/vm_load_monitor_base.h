/// \file vm_load_monitor_base.h Measures the load of this entry VM.
#ifndef CRANBERRY_STEERING_VM_LOAD_MONITOR_BASE_H
#define CRANBERRY_STEERING_VM_LOAD_MONITOR_BASE_H

#include "daemon/settings_type.h"
#include "process/vm_load_base.h"

namespace cranberry {

/// Counters of the traffic since the start of the process.
struct TrafficCounters {
  uint64_t Requests_ = 0;  ///< Requests of clients.
  uint64_t SentBytes_ = 0; ///< Bytes sent to clients and servers.
};

/// Estimates how much of its processor and link this process uses.
class VmLoadMonitor {
public:
  explicit VmLoadMonitor(const Settings &Config) : Settings_(Config) {}

  /// Has to be called every \p Period; a late call shows that the processor is
  /// overloaded.
  void update(const TrafficCounters &Traffic, Duration Period, Time Now);

  /// \return Whether other VMs of the zone should share the clients.
  bool isBusy() const { return Load_.isBusy(); }

  /// \return Used part of the processor or the link, from 0 to 1.
  double getUse() const { return Load_.getUse(); }

private:
  double getUseSince(const TrafficCounters &Traffic, Duration Passed) const;

  const Settings &Settings_; ///< Settings of this VM.
  VmLoad Load_;              ///< Smoothed load.
  TrafficCounters Last_;     ///< Counters at the last update.
  Time Updated_;             ///< Time of the last update.
};

/// \return Relative strength of a VM, in cores. A core can fill a link of
/// 200 Mbit/s; a slower link reduces the strength.
double getVmStrength(const Settings &Config);

} // namespace cranberry

#endif
