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

/// Objects with versions, conditional writes and watches; a list of VMs; call
/// counts; faults. Keeps everything in memory.
///
///   GET  /v1/changes?since=N&waitMs=M      changes but for status objects
///   GET|PUT|DELETE /v1/objects/KIND/NAME   If-Match or If-None-Match
///   GET  /v1/vms                           list of VMs
///   PUT  /control                          faults and list of VMs
///   GET  /control                          call counts
class Platform {
public:
  /// \param Address "address:port"; port 0 lets the kernel pick.
  explicit Platform(const std::string &Address);
  ~Platform();

  const std::string &getAddress() const { return Server_->getAddress(); }

  /// \name Switches and counts; safe from any thread.
  /// @{
  void setFaults(const PlatformFaults &Faults);
  void setVms(const std::string &Json);
  std::map<std::string, uint64_t> getCallCounts();
  uint64_t getRevision();
  /// @}

private:
  struct Item {
    uint64_t Revision_ = 0; ///< Of the newest version.
    bool Deleted_ = false;  ///< Whether it is a deletion.
    std::string Body_;      ///< JSON text.
    Time Written_;          ///< When it was written.
  };
  struct Watch {
    uint64_t Since_;      ///< Known revision.
    Time Until_;          ///< Latest answer.
    HttpRespond Respond_; ///< Answers it.
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

  EventLoop Loop_;                        ///< All state belongs to its thread.
  std::map<std::string, Item> Items_;     ///< By "kind/name".
  std::vector<Watch> Watches_;            ///< Open watches.
  std::vector<HttpRespond> Held_;         ///< Calls that get no answer.
  std::map<std::string, uint64_t> Calls_; ///< By operation.
  std::string Vms_ = R"({"vms":[]})";     ///< List of VMs.
  PlatformFaults Faults_;                 ///< Current faults.
  uint64_t Revision_ = 0;                 ///< Newest revision.
  std::thread Thread_;                    ///< Runs the loop.
  std::unique_ptr<HttpServer> Server_;    ///< Port.
};

} // namespace cranberry::standin

#endif
