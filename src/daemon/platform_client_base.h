/// \file platform_client_base.h Client of the platform's object API.
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

/// VM in the list of the platform.
struct ListedVm {
  std::string Vm_;         ///< Name of the VM.
  std::string Address_;    ///< Peer address of an entry VM, else of the server.
  bool IsEntryVm_ = false; ///< Whether it is an entry VM.
  bool IsLeaving_ = false; ///< Whether it is about to be removed.
};

/// Result of a write.
struct WriteResult {
  Reason Why_;            ///< Ok, or the error.
  Revision Revision_ = 0; ///< New revision, or the current one on a conflict.
};

/// Revision that a conditional write requires; nothing if the object must not
/// exist.
using ExpectedRevision = std::optional<Revision>;

/// Calls the platform from the loop of one thread. Each write carries an
/// operation id that identifies it when the object is read back. A write whose
/// response was lost is thus neither reported as failed nor executed twice.
class PlatformClient {
public:
  using ChangesCallback = std::function<void(std::optional<ObjectChanges>)>;
  using VmsCallback = std::function<void(std::optional<std::vector<ListedVm>>)>;
  using WriteCallback = std::function<void(WriteResult)>;

  /// \param Address "address:port" of the platform.
  /// \param Origin Prefix that makes operation ids unique.
  PlatformClient(EventLoop &Loop, Metrics &Counters, std::string Address,
                 std::string Origin);

  /// Fetches the changes after \p Since. The platform waits up to \p Wait for a
  /// change.
  void fetchChanges(Revision Since, Duration Wait, const ChangesCallback &Done);

  /// Fetches the list of live and leaving VMs.
  void fetchVms(const VmsCallback &Done);

  /// Writes an object if its revision is \p Before.
  /// \param Body JSON text; empty to delete the object.
  void writeObject(const ObjectId &Id, const std::string &Body,
                   ExpectedRevision Before, WriteCallback Done);

private:
  /// Write in progress.
  struct PendingWrite {
    ObjectId Id_;               ///< Object to write.
    std::string Body_;          ///< New body; empty for a deletion.
    ExpectedRevision Expected_; ///< Required revision.
    std::string Operation_;     ///< Operation id.
    WriteCallback Callback_;    ///< Called with the result.
    unsigned Attempts_ = 0;     ///< Requests sent.
  };

  void sendWrite(PendingWrite Op);
  void onWriteResponse(const PendingWrite &Op, const HttpResult &Result);
  /// Reads the object to find out whether a write took effect.
  /// \param WasAnswered Whether the platform reported a conflict.
  void readBack(const PendingWrite &Op, bool WasAnswered);
  void onReadBackResponse(const PendingWrite &Op, bool WasAnswered,
                          const HttpResult &Result);
  std::string getUrl(const ObjectId &Id) const;

  EventLoop &Loop_;            ///< Loop of the owning thread.
  Metrics &Metrics_;           ///< Counts calls by result.
  std::string Address_;        ///< "address:port" of the platform.
  std::string Origin_;         ///< Prefix of operation ids.
  uint64_t NextOperation_ = 1; ///< Number of the next operation.
};

} // namespace cranberry

#endif
