/// \file backend_base.h Stand-in for backend servers of a service.
#ifndef CRANBERRY_STANDIN_BACKEND_BASE_H
#define CRANBERRY_STANDIN_BACKEND_BASE_H

#include "net/event_loop_base.h"
#include "net/http_server_base.h"
#include "standin/fault_type.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cranberry::standin {

/// Behaviour of a simulated backend server.
struct BackendProfile {
  unsigned Slots_ = 5;               ///< Maximum number of concurrent requests.
  Duration Mean_ = milliseconds(25); ///< Mean service time.
  double StragglerShare_ = 0.02; ///< Fraction of requests that are stragglers.
  double StragglerFactor_ = 20;  ///< Straggler service time over the mean.
  unsigned ColdRequests_ = 0;    ///< Number of requests until warm.
  double ColdFactor_ = 4;        ///< Service time multiplier while cold.
  uint64_t Seed_ = 1;            ///< Random seed for service times.
};

/// One backend server with slots, load shedding, drain, injected faults and a
/// count of runs per idempotency key. A run without a key is cancelled when the
/// requester disconnects or its deadline passes. Responses echo the request's
/// body or query, so that a caller can detect a response to another request.
///
///   GET /health                {"draining":...,"load":...}; the load lags
///   PUT /control               sets faults
///   GET /control               runs per key, maximum of concurrent runs
class Backend {
public:
  Backend(const std::string &Address, const BackendProfile &Profile);
  ~Backend();

  const std::string &getAddress() const { return Server_->getAddress(); }

  /// \name Fault injection and counters; safe to call from any thread.
  /// @{
  void setFaults(const ServerFaults &Faults);
  std::map<std::string, unsigned> getRunsByKey();
  unsigned getRuns();
  unsigned getMaxConcurrent();
  unsigned getShed();
  unsigned getCancelled();
  /// @}

private:
  void handle(const HttpRequest &Request, HttpRespond Respond);
  HttpResponse handleHealth();
  HttpResponse handleControl(const HttpRequest &Request);
  void run(const HttpRequest &Request, const HttpRespond &Respond);
  void continueRun(const HttpRequest &Request, const HttpRespond &Respond,
                   Time End, Time Deadline);
  void finish(const HttpRequest &Request, const HttpRespond &Respond);
  Duration drawServiceTime(const HttpRequest &Request);

  BackendProfile Profile_; ///< Configured behaviour.
  EventLoop Loop_;         ///< All state is confined to its thread.
  ServerFaults Faults_;    ///< Faults being injected.
  std::mt19937_64 Random_; ///< Source of service times.
  std::map<std::string, unsigned>
      RunsByKey_;                      ///< Number of runs per idempotency key.
  std::vector<HttpRespond> Held_;      ///< Requests left unanswered.
  std::string LastId_;                 ///< Id of the previous request.
  unsigned Running_ = 0;               ///< Number of requests in flight.
  unsigned MaxConcurrent_ = 0;         ///< Maximum of Running_ so far.
  unsigned Runs_ = 0;                  ///< Number of requests started.
  unsigned Shed_ = 0;                  ///< Number of requests shed.
  unsigned Cancelled_ = 0;             ///< Number of cancelled runs.
  unsigned ReportedLoad_ = 0;          ///< Load in /health, delayed.
  std::thread Thread_;                 ///< Runs Loop_.
  std::unique_ptr<HttpServer> Server_; ///< Receives requests.
};

} // namespace cranberry::standin

#endif
