/// \file metrics_base.h Prometheus metrics of the daemon.
#ifndef CRANBERRY_OBSERVE_METRICS_BASE_H
#define CRANBERRY_OBSERVE_METRICS_BASE_H

#include "core/result_type.h"
#include "core/time_type.h"

#include <memory>
#include <string>

namespace cranberry {

/// Collects what is counted and measured. Safe from any thread.
class Metrics {
public:
  Metrics();
  ~Metrics();

  void countRequest(const std::string &Service, ResultCode Code);
  void observeLatency(const std::string &Service, Duration Taken);
  void observeQueueTime(const std::string &Service, Duration Waited);
  void countLookup(ResultCode Code);
  void countAttempt(const std::string &Service, const char *Target,
                    ResultCode Code);
  void countPlatformCall(const char *Operation, ResultCode Code);
  void countGrant(const std::string &Service, const char *Direction,
                  unsigned Slots);
  void observeAge(const char *Kind, Duration Age);
  void setGauge(const char *Name, const std::string &Label, double Value);

  /// \return Text in the Prometheus exposition format.
  std::string serialize() const;

private:
  struct Families;
  std::unique_ptr<Families> Families_; ///< Library's objects.
};

} // namespace cranberry

#endif
