/// \file platform_base.h Stand-in for the platform's object API.
#ifndef CRANBERRY_STANDIN_PLATFORM_BASE_H
#define CRANBERRY_STANDIN_PLATFORM_BASE_H

#include "net/event_loop_base.h"
#include "net/http_server_base.h"
#include "standin/fault_type.h"

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cranberry::standin {

/// In-memory object API with revisions, conditional writes and watches, a list
/// of VMs, call counters and fault injection.
///
///   GET  /v1/changes?since=N&waitMs=M      changes except to status objects
///   GET|PUT|DELETE /v1/objects/KIND/NAME   If-Match or If-None-Match
///   GET  /v1/vms                           list of VMs
///   PUT  /control                          sets faults and the list of VMs
///   GET  /control                          calls per operation
class Platform {
public:
  /// \param Address "address:port"; port 0 lets the kernel pick.
  explicit Platform(const std::string &Address);
  ~Platform();

  const std::string &getAddress() const { return Server_->getAddress(); }

  /// \name Fault injection and counters; safe to call from any thread.
  /// @{
  void setFaults(const PlatformFaults &Faults);
  void setVms(const std::string &Json);
  std::map<std::string, uint64_t> getCallCounts();
  uint64_t getRevision();
  /// @}

private:
  struct Item {
    uint64_t Revision_ = 0; ///< Revision of the last change.
    bool Deleted_ = false;  ///< Whether the last change was a deletion.
    std::string Body_;      ///< Object as JSON text.
    Time Written_;          ///< Time of the last change.
  };
  struct Watch {
    uint64_t Since_;      ///< Last revision known to the watcher.
    Time Until_;          ///< When to respond without changes.
    HttpRespond Respond_; ///< Sends the response.
  };

  void handle(const HttpRequest &Request, HttpRespond Respond);
  HttpResponse handleObject(const HttpRequest &Request);
  HttpResponse write(const HttpRequest &Request, const std::string &Key);
  void handleWatch(const HttpRequest &Request, HttpRespond Respond);
  HttpResponse handleControl(const HttpRequest &Request);
  HttpResponse makeChanges(uint64_t Since);
  uint64_t getVisibleRevision();
  void answerWatches();
  void answer(const HttpRespond &Respond, HttpResponse Response);

  EventLoop Loop_;                    ///< All state is confined to its thread.
  std::map<std::string, Item> Items_; ///< Objects by "kind/name".
  std::vector<Watch> Watches_;        ///< Pending watches.
  std::vector<HttpRespond> Held_;     ///< Calls left unanswered.
  std::map<std::string, uint64_t> Calls_; ///< Number of calls per operation.
  std::string Vms_ = R"({"vms":[]})";     ///< List of VMs as JSON text.
  PlatformFaults Faults_;                 ///< Faults being injected.
  uint64_t Revision_ = 0;                 ///< Last assigned revision.
  std::thread Thread_;                    ///< Runs Loop_.
  std::unique_ptr<HttpServer> Server_;    ///< Receives calls.
};

} // namespace cranberry::standin

#endif
