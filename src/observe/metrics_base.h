/// \file metrics_base.h Prometheus metrics of the daemon.
#ifndef CRANBERRY_OBSERVE_METRICS_BASE_H
#define CRANBERRY_OBSERVE_METRICS_BASE_H

#include "core/result_type.h"
#include "core/time_type.h"

#include <memory>
#include <string>

namespace cranberry {

/// Collects the daemon's counters, histograms and gauges. Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();

  void countRequest(const std::string &Service, ResultCode Code);
  void observeLatency(const std::string &Service, Duration Taken);
  void observeQueueTime(const std::string &Service, Duration Waited);
  void countLookup(ResultCode Code);
  /// Counts a look-up that is answered with VMs of other regions.
  void countOtherRegionLookup();
  void countAttempt(const std::string &Service, const char *Target,
                    ResultCode Code);
  void countPlatformCall(const char *Operation, ResultCode Code);
  void countGrant(const std::string &Service, const char *Direction,
                  unsigned Slots);
  /// Records how old the data of a kind is.
  void observeAge(const char *Kind, Duration Age);
  /// \param Name Name of the metric.
  /// \param Label Value of its label "of".
  void setGauge(const char *Name, const std::string &Label, double Value);

  /// \return All metrics in the Prometheus text format.
  std::string serialize() const;

private:
  struct Families;
  std::unique_ptr<Families> Families_; ///< Metric families.
};

} // namespace cranberry

#endif
