/// \file metrics.cpp Prometheus metrics of the daemon.
#include "observe/metrics_base.h"

#include "core/result_func.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>

namespace cranberry {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBuckets{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

/// Data is normally some tenths of a second old. An age of more than a few
/// seconds means that the store is unavailable.
const prometheus::Histogram::BucketBoundaries AgeBuckets{0.1, 0.25, 0.5, 1, 2,
                                                         4,   8,    16,  32};

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

struct Metrics::Families {
  prometheus::Registry Registry_; ///< Owns all families.

  prometheus::Family<prometheus::Counter> &counter(const char *Name,
                                                   const char *Help) {
    return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry_);
  }

  prometheus::Family<prometheus::Histogram> &histogram(const char *Name,
                                                       const char *Help) {
    return prometheus::BuildHistogram().Name(Name).Help(Help).Register(
        Registry_);
  }

  prometheus::Family<prometheus::Counter> &Requests_ =
      counter("cranberry_requests_total", "Requests by service and result");
  prometheus::Family<prometheus::Histogram> &Latency_ = histogram(
      "cranberry_request_duration_seconds", "Time from arrival to answer");
  prometheus::Family<prometheus::Histogram> &Queueing_ = histogram(
      "cranberry_queue_duration_seconds", "Time from arrival to first attempt");
  prometheus::Family<prometheus::Counter> &Lookups_ =
      counter("cranberry_lookups_total", "Look-ups by result");
  prometheus::Counter &OtherRegionLookups_ =
      counter("cranberry_other_region_lookups_total",
              "Look-ups answered with VMs of other regions")
          .Add({});
  prometheus::Family<prometheus::Counter> &Attempts_ = counter(
      "cranberry_attempts_total", "Attempts by service, target and result");
  prometheus::Family<prometheus::Counter> &Platform_ = counter(
      "cranberry_platform_calls_total", "Calls to the platform by operation");
  prometheus::Family<prometheus::Counter> &Grants_ =
      counter("cranberry_granted_slots_total", "Slots granted and received");
  prometheus::Family<prometheus::Histogram> &Ages_ = histogram(
      "cranberry_knowledge_age_seconds", "Age of what is known, by kind");
  std::mutex Mutex_; ///< Guards Gauges_.
  std::map<std::string, prometheus::Family<prometheus::Gauge> *> Gauges_;
};

Metrics::Metrics() : Families_(std::make_unique<Families>()) {}
Metrics::~Metrics() = default;

void Metrics::countRequest(const std::string &Service, ResultCode Code) {
  Families_->Requests_
      .Add({{"service", Service},
            {"outcome", getName(getOutcome(Code))},
            {"result", getName(Code)}})
      .Increment();
}

void Metrics::observeLatency(const std::string &Service, Duration Taken) {
  Families_->Latency_.Add({{"service", Service}}, LatencyBuckets)
      .Observe(toSeconds(Taken));
}

void Metrics::observeQueueTime(const std::string &Service, Duration Waited) {
  Families_->Queueing_.Add({{"service", Service}}, LatencyBuckets)
      .Observe(toSeconds(Waited));
}

void Metrics::countLookup(ResultCode Code) {
  Families_->Lookups_.Add({{"result", getName(Code)}}).Increment();
}

void Metrics::countOtherRegionLookup() {
  Families_->OtherRegionLookups_.Increment();
}

void Metrics::countAttempt(const std::string &Service, const char *Target,
                           ResultCode Code) {
  Families_->Attempts_
      .Add(
          {{"service", Service}, {"target", Target}, {"result", getName(Code)}})
      .Increment();
}

void Metrics::countPlatformCall(const char *Operation, ResultCode Code) {
  Families_->Platform_
      .Add({{"operation", Operation}, {"result", getName(Code)}})
      .Increment();
}

void Metrics::countGrant(const std::string &Service, const char *Direction,
                         unsigned Slots) {
  Families_->Grants_.Add({{"service", Service}, {"direction", Direction}})
      .Increment(Slots);
}

void Metrics::observeAge(const char *Kind, Duration Age) {
  Families_->Ages_.Add({{"kind", Kind}}, AgeBuckets).Observe(toSeconds(Age));
}

void Metrics::setGauge(const char *Name, const std::string &Label,
                       double Value) {
  std::lock_guard Lock(Families_->Mutex_);
  auto *&Family = Families_->Gauges_[Name];
  if (!Family)
    Family = &prometheus::BuildGauge().Name(Name).Help(Name).Register(
        Families_->Registry_);
  Family->Add({{"of", Label}}).Set(Value);
}

std::string Metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(Families_->Registry_.Collect());
}

} // namespace cranberry
