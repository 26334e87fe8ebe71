/// \file caller_base.h Load generator that checks responses.
#ifndef CRANBERRY_STANDIN_CALLER_BASE_H
#define CRANBERRY_STANDIN_CALLER_BASE_H

#include "net/event_loop_base.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cranberry::standin {

/// Load to generate on one service.
struct LoadProfile {
  std::string Service_;            ///< Service name.
  double PerSecond_ = 10;          ///< Mean arrival rate (Poisson), 1/s.
  double KeyedShare_ = 0;          ///< Fraction with an idempotency key.
  double LongShare_ = 0;           ///< Fraction sent to the long route.
  Duration Deadline_ = seconds(5); ///< Relative deadline of each request.
  std::vector<std::string> Clients_{"10.100.0.1"}; ///< Client addresses.
};

/// Results of the load on one service.
struct LoadReport {
  unsigned Sent_ = 0;               ///< Number of requests.
  unsigned Answered_ = 0;           ///< Ended with the request's own response.
  unsigned NotRun_ = 0;             ///< Ended neither answered nor unknown.
  unsigned Unknown_ = 0;            ///< Outcome unknown after all attempts.
  unsigned Wrong_ = 0;              ///< Ended with another request's response.
  unsigned Retried_ = 0;            ///< Number of retries by the caller.
  std::vector<double> LatenciesMs_; ///< Latencies of answered requests, ms.
  std::map<std::string, unsigned> Errors_; ///< Failed attempts per result code.

  /// \return The \p Share quantile of latency in ms; zero without samples.
  double getPercentile(double Share) const;
};

/// Sends requests the way callers do. It looks up entry VMs, caches the lookup,
/// retries a request that may have run with the same idempotency key, and
/// checks that every response belongs to its request.
class Caller {
public:
  /// \param Bootstrap Addresses of entry VMs that serve lookups.
  /// \param Seed Random seed for arrivals and choices.
  Caller(std::vector<std::string> Bootstrap, uint64_t Seed);
  ~Caller();

  /// Generates load until stop(). Safe to call from any thread.
  void addLoad(const LoadProfile &Profile);

  /// Stops new requests and waits for those in flight.
  void stop();

  /// Sends one request and waits for its outcome.
  /// \return "answered", "wrong", "unknown" or "not-run", or "unreachable" if
  /// no lookup succeeded.
  std::string callOnce(const std::string &Service, const std::string &Method,
                       const std::string &Path);

  std::map<std::string, LoadReport> getReports();

private:
  struct EntryVm {
    std::string Address_;   ///< "address:port".
    std::string KeyPrefix_; ///< Prefix of keys generated for it.
    unsigned Weight_;       ///< Relative selection weight.
  };
  struct CachedLookup {
    std::vector<EntryVm> Vms_; ///< Entry VMs of the lookup.
    Time Expiry_;              ///< When the lookup must be repeated.
  };
  struct Request {
    LoadProfile Profile_;      ///< Load that it is part of.
    std::string Client_;       ///< Client address.
    std::string Method_;       ///< HTTP method.
    std::string Path_;         ///< Path and query.
    std::string Echo_;         ///< Nonce that the response must echo.
    std::string Key_;          ///< Idempotency key, if keyed.
    std::vector<EntryVm> Vms_; ///< Candidate entry VMs.
    size_t Next_ = 0;          ///< Index of the next candidate.
    unsigned Attempts_ = 0;    ///< Number of attempts.
    bool MayHaveRun_ = false;  ///< An attempt's outcome is unknown.
    Time Started_;             ///< Time of arrival.
    std::function<void(const std::string &)> Done_; ///< Set by callOnce().
  };

  void arrive(LoadProfile Profile);
  void lookup(const std::shared_ptr<Request> &Request, unsigned Attempt);
  void sendRequest(const std::shared_ptr<Request> &Request);
  void handleResult(const std::shared_ptr<Request> &Request,
                    const HttpResult &Result);
  void finishRequest(const std::shared_ptr<Request> &Request,
                     const std::string &Outcome);
  size_t pickVm(const std::vector<EntryVm> &Vms);
  std::string makeNonce();
  std::shared_ptr<Request> makeRequest(const LoadProfile &Profile);

  std::vector<std::string> Bootstrap_; ///< Entry VMs that serve lookups.
  EventLoop Loop_;                     ///< All state is confined to its thread.
  std::mt19937_64 Random_;             ///< Source of arrivals and choices.
  std::map<std::string, CachedLookup>
      Cache_; ///< Lookups per service and client.
  std::map<std::string, LoadReport> Reports_; ///< Results per service.
  unsigned InFlight_ = 0;                     ///< Number of requests in flight.
  bool Stopping_ = false; ///< Whether new requests are stopped.
  std::thread Thread_;    ///< Runs Loop_.
};

} // namespace cranberry::standin

#endif
