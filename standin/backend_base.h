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

/// How a backend server behaves.
struct BackendProfile {
  unsigned Slots_ = 5;               ///< Requests that run at once.
  Duration Mean_ = milliseconds(25); ///< Mean service time.
  double StragglerShare_ = 0.02;     ///< Share of long requests.
  double StragglerFactor_ = 20;      ///< Their length against the mean.
  unsigned ColdRequests_ = 0;        ///< Requests until the cache is warm.
  double ColdFactor_ = 4;            ///< Length of a request while cold.
  uint64_t Seed_ = 1;                ///< Seed of service times.
};

/// One backend server: slots, shedding, drain, faults, and a record of every
/// run by key. A run ends early when its requester closes the connection or at
/// the deadline that it was sent. Answers repeat the request's body or query,
/// so that a caller can tell its own answer.
///
///   GET /health                {"draining":...,"load":...}; the load lags
///   PUT /control               faults
///   GET /control               runs by key, most runs at once
class Backend {
public:
  Backend(const std::string &Address, const BackendProfile &Profile);
  ~Backend();

  const std::string &getAddress() const { return Server_->getAddress(); }

  /// \name Switches and records; safe from any thread.
  /// @{
  void setFaults(const ServerFaults &Faults);
  std::map<std::string, unsigned> getRunsByKey();
  unsigned getRuns();
  unsigned getMaxAtOnce();
  unsigned getShed();
  unsigned getCancelled();
  /// @}

private:
  void handle(const HttpRequest &Request, HttpRespond Respond);
  HttpResponse handleHealth();
  HttpResponse handleControl(const HttpRequest &Request);
  void run(const HttpRequest &Request, const HttpRespond &Respond);
  void step(const HttpRequest &Request, const HttpRespond &Respond, Time End,
            Time Deadline);
  void finish(const HttpRequest &Request, const HttpRespond &Respond);
  Duration drawServiceTime(const HttpRequest &Request);

  BackendProfile Profile_; ///< Behaviour.
  EventLoop Loop_;         ///< All state belongs to its thread.
  ServerFaults Faults_;    ///< Current faults.
  std::mt19937_64 Random_; ///< Draws service times.
  std::map<std::string, unsigned> RunsByKey_; ///< Runs by idempotency key.
  std::vector<HttpRespond> Held_;             ///< Requests that get no answer.
  std::string LastId_;                        ///< Id of the request before.
  unsigned Running_ = 0;                      ///< Requests running.
  unsigned MaxAtOnce_ = 0;                    ///< Most of them so far.
  unsigned Runs_ = 0;                         ///< Requests run.
  unsigned Shed_ = 0;                         ///< Requests refused.
  unsigned Cancelled_ = 0;             ///< Runs that their requester gave up.
  unsigned ReportedLoad_ = 0;          ///< Load as health reports it, late.
  std::thread Thread_;                 ///< Runs the loop.
  std::unique_ptr<HttpServer> Server_; ///< Port.
};

} // namespace cranberry::standin

#endif
