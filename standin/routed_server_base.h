/// \file routed_server_base.h Stand-in for a backend server on the platform.
#ifndef CRANBERRY_STANDIN_ROUTED_SERVER_BASE_H
#define CRANBERRY_STANDIN_ROUTED_SERVER_BASE_H

#include "net/ingress_server_base.h"
#include "standin/loop_thread_base.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cranberry::standin {

/// Fault that a server injects into its responses.
enum class ResponseFault : uint8_t {
  None,     ///< No fault.
  Refuse,   ///< Reports that the request was not executed.
  Lose,     ///< Runs and closes the connection without a response.
  Unsigned, ///< Runs and responds without a signature.
  Fail,     ///< Runs and responds with status 500.
  Silent,   ///< Counts a run and never responds.
};

/// One run of a request.
struct ServerRun {
  std::string AttemptId_; ///< Attempt id sent by the client.
  std::string Target_;    ///< Path and query.
  Time At_;               ///< Start time.
  std::string Workspace_; ///< Workspace names in the request, joined by ",".
  bool HasCredentials_ = false; ///< Whether the request carried credentials.
};

/// A backend server with slots. Responses echo the request's attempt id and
/// target, so that a client can detect a response to another request.
class RoutedServer {
public:
  /// \param Id Instance id.
  /// \param Slots Maximum number of concurrent requests.
  /// \param ServiceTime Service time of each request.
  RoutedServer(std::string Id, unsigned Slots, Duration ServiceTime,
               const std::string &Address = "127.0.0.1:0");
  ~RoutedServer();

  const std::string &getAddress() const { return Address_; }
  const std::string &getId() const { return Id_; }

  /// \return Entry of this server for the object store.
  /// \param Sequence Number of the entry; increases with each one.
  nlohmann::json getEntry(const std::string &Service, const std::string &Zone,
                          bool IsDraining = false, unsigned Sequence = 1) const;

  /// \name Fault injection and counters; safe to call from any thread.
  /// @{
  void setFault(ResponseFault Fault);
  void setServiceTime(Duration ServiceTime);

  /// Responds to the requests that the server has left unanswered.
  void releaseHeld();

  /// Names a limit in all responses from now on, or none.
  /// \param PerSecond Requests per second from all entry VMs together.
  void setRateLimit(std::optional<double> PerSecond);

  /// Says in all responses from now on that the server is leaving, or not.
  void setLeaving(bool IsLeaving);

  /// Adds a Retry-After field to refusals; empty for none.
  void setRetryAfter(std::string Text);
  std::vector<ServerRun> getRuns();
  unsigned getArrivals();

  /// \return Number of runs cancelled because the client disconnected.
  unsigned getCancelled();
  /// @}

private:
  void handle(const IngressExchangePtr &Exchange);
  void run(const IngressExchangePtr &Exchange);
  void finish(const IngressExchangePtr &Exchange);
  void setStateFields(ResponseMessage &Response) const;

  std::string Id_;       ///< Instance id.
  unsigned Slots_;       ///< Maximum number of concurrent requests.
  Duration ServiceTime_; ///< Service time of each request.
  ResponseFault Fault_ = ResponseFault::None; ///< Fault being injected.
  std::optional<double> RateLimit_;           ///< Limit that responses name.
  bool IsLeaving_ = false;                    ///< See setLeaving().
  std::string RetryAfter_;                    ///< See setRetryAfter().
  unsigned Running_ = 0;                      ///< Number of requests in flight.
  unsigned Arrivals_ = 0;                     ///< Number of requests received.
  unsigned Cancelled_ = 0;                    ///< Number of cancelled runs.
  std::vector<ServerRun> Runs_;               ///< All runs in order of start.
  std::vector<IngressExchangePtr> Held_;      ///< Requests left unanswered.
  std::string Address_;                       ///< Listening address.
  LoopThread Thread_;                         ///< All state is confined to it.
  std::unique_ptr<IngressServer> Server_;     ///< Receives requests.
};

} // namespace cranberry::standin

#endif
