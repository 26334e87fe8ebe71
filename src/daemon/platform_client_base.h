/// \file platform_client_base.h Reads and writes the platform's object API.
#ifndef CRANBERRY_DAEMON_PLATFORM_CLIENT_BASE_H
#define CRANBERRY_DAEMON_PLATFORM_CLIENT_BASE_H

#include "core/result_type.h"
#include "net/event_loop_base.h"
#include "observe/metrics_base.h"
#include "version/object_type.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberry {

/// One VM in the platform's list.
struct ListedVm {
  std::string Vm_;         ///< Name.
  std::string Address_;    ///< Peer address of an entry VM, or a server's.
  bool IsEntryVm_ = false; ///< Whether it runs this system.
  bool IsLeaving_ = false; ///< Whether it is going away.
};

/// How a write ended.
struct WriteResult {
  Reason Why_;            ///< Ok, or what went wrong.
  Revision Revision_ = 0; ///< New revision, or the one that won a race.
};

/// What a conditional write expects to find.
using ExpectedRevision = std::optional<Revision>; ///< Nothing: must not exist.

/// Calls the platform from one thread's loop. A write is recognised by an
/// operation id, so that one whose answer was lost is neither reported as
/// failed nor made twice.
class PlatformClient {
public:
  using ChangesCallback = std::function<void(std::optional<ObjectChanges>)>;
  using VmsCallback = std::function<void(std::optional<std::vector<ListedVm>>)>;
  using WriteCallback = std::function<void(WriteResult)>;

  /// \param Address "address:port" of the platform.
  /// \param Origin Makes operation ids unique.
  PlatformClient(EventLoop &Loop, Metrics &Counters, std::string Address,
                 std::string Origin);

  /// Reads changes after \p Since; waits up to \p Wait for one.
  void fetchChanges(Revision Since, Duration Wait, const ChangesCallback &Done);

  /// Reads the list of live and leaving VMs.
  void fetchVms(const VmsCallback &Done);

  /// Writes an object if it is still at \p Before.
  /// \param Body JSON text; empty to delete the object.
  void writeObject(const ObjectId &Id, const std::string &Body,
                   ExpectedRevision Before, WriteCallback Done);

private:
  struct PendingWrite {
    ObjectId Id_;               ///< Object.
    std::string Body_;          ///< New body; empty for a deletion.
    ExpectedRevision Expected_; ///< What must be there.
    std::string Operation_;     ///< Operation id.
    WriteCallback Callback_;    ///< Whom to tell.
    unsigned Attempts_ = 0;     ///< Calls made.
  };

  void sendWrite(PendingWrite Op);
  void onWriteResponse(const PendingWrite &Op, const HttpResult &Result);
  void readBack(const PendingWrite &Op, bool WasAnswered);
  void onReadBackResponse(const PendingWrite &Op, bool WasAnswered,
                          const HttpResult &Result);
  std::string getUrl(const ObjectId &Id) const;

  EventLoop &Loop_;            ///< Thread's loop.
  Metrics &Metrics_;           ///< Counts calls.
  std::string Address_;        ///< Platform.
  std::string Origin_;         ///< Prefix of operation ids.
  uint64_t NextOperation_ = 1; ///< Number of the next operation.
};

} // namespace cranberry

#endif
