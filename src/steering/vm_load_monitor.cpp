/// \file vm_load_monitor.cpp Measures the load of this entry VM.
#include "steering/vm_load_monitor_base.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr double BitsPerMbit = 1e6;
constexpr double BitsPerByte = 8;

/// Smaller shares of a core are taken for this one.
constexpr double MinCores = 0.01;

/// Processor time of a request, in seconds; twice the time that daemon_bench
/// shows, as control and logs need some as well.
constexpr double RequestSeconds = 150e-6;

/// A core passes on about 6,600 requests of 4 KB a second.
constexpr double LinkMbpsPerCore = 200;

/// A timer that is later than this shows that requests wait for the processor.
constexpr Duration MaxTimerDelay = milliseconds(100);

} // namespace

double VmLoadMonitor::getUseSince(const TrafficCounters &Traffic,
                                  Duration Passed) const {
  double Seconds = std::chrono::duration<double>(Passed).count();
  double Requests = static_cast<double>(Traffic.Requests_ - Last_.Requests_);
  double Use = Requests * RequestSeconds /
               (Seconds * std::max(Settings_.ProcessorShare_, MinCores));
  if (Settings_.LinkMbps_ > 0) {
    double Bytes = static_cast<double>(Traffic.SentBytes_ - Last_.SentBytes_);
    Use = std::max(Use, Bytes * BitsPerByte /
                            (Seconds * Settings_.LinkMbps_ * BitsPerMbit));
  }
  return std::min(Use, 1.0);
}

void VmLoadMonitor::update(const TrafficCounters &Traffic, Duration Period,
                           Time Now) {
  Duration Passed = Now - Updated_;
  bool IsFirst = Updated_ == Time();
  if (!IsFirst && Passed > Duration(0))
    Load_.update(Passed > Period + MaxTimerDelay ? 1
                                                 : getUseSince(Traffic, Passed),
                 Now);
  Last_ = Traffic;
  Updated_ = Now;
}

double getVmStrength(const Settings &Config) {
  if (Config.LinkMbps_ <= 0)
    return Config.ProcessorShare_;
  return std::min(Config.ProcessorShare_, Config.LinkMbps_ / LinkMbpsPerCore);
}

} // namespace cranberry
