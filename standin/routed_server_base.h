/// \file routed_server_base.h Stand-in for a backend server on the platform.
#ifndef CRANBERRY_STANDIN_ROUTED_SERVER_BASE_H
#define CRANBERRY_STANDIN_ROUTED_SERVER_BASE_H

#include "net/ingress_server_base.h"
#include "standin/loop_thread_base.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberry::standin {

/// What goes wrong with a server's answers.
enum class AnswerFault : uint8_t {
  None,     ///< Nothing.
  Refuse,   ///< Refuses without running, and says so.
  Lose,     ///< Runs and closes the connection without an answer.
  Unsigned, ///< Runs and answers without its signature.
  Fail,     ///< Runs and answers 500.
  Silent,   ///< Runs and never answers.
};

/// One run of a request.
struct ServerRun {
  std::string AttemptId_; ///< Client's id.
  std::string Target_;    ///< Path and query.
  Time At_;               ///< When it began.
};

/// A server with slots. Answers repeat the request's id and target, so that a
/// client can tell its own answer.
class RoutedServer {
public:
  /// \param Id Instance.
  /// \param Work Time of each request.
  RoutedServer(std::string Id, unsigned Slots, Duration Work,
               const std::string &Address = "127.0.0.1:0");
  ~RoutedServer();

  const std::string &getAddress() const { return Address_; }
  const std::string &getId() const { return Id_; }

  /// \return The entry that it registers.
  nlohmann::json getEntry(const std::string &Service, const std::string &Zone,
                          bool IsDraining = false) const;

  /// \name Switches and records; safe from any thread.
  /// @{
  void setFault(AnswerFault Fault);
  void setWork(Duration Work);
  std::vector<ServerRun> getRuns();
  unsigned getArrivals();

  /// \return Runs that ended since the connection was closed.
  unsigned getCancelled();
  /// @}

private:
  void handle(const IngressExchangePtr &Exchange);
  void run(const IngressExchangePtr &Exchange);
  void finish(const IngressExchangePtr &Exchange);

  std::string Id_;                        ///< Instance.
  unsigned Slots_;                        ///< Requests that run at once.
  Duration Work_;                         ///< Time of each.
  AnswerFault Fault_ = AnswerFault::None; ///< Current fault.
  unsigned Running_ = 0;                  ///< Requests at work.
  unsigned Arrivals_ = 0;                 ///< Requests read.
  unsigned Cancelled_ = 0;                ///< See getCancelled().
  std::vector<ServerRun> Runs_;           ///< All runs.
  std::vector<IngressExchangePtr> Held_;  ///< Never answered.
  std::string Address_;                   ///< As bound.
  LoopThread Thread_;                     ///< All state belongs to it.
  std::unique_ptr<IngressServer> Server_; ///< Port.
};

} // namespace cranberry::standin

#endif
