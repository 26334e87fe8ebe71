/// \file object_store_base.h Stand-in for the platform's object store.
#ifndef CRANBERRY_STANDIN_OBJECT_STORE_BASE_H
#define CRANBERRY_STANDIN_OBJECT_STORE_BASE_H

#include "net/ingress_server_base.h"
#include "standin/loop_thread_base.h"

#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <string>
#include <vector>

namespace cranberry::standin {

/// How the store handles calls.
enum class StoreMode : uint8_t {
  Serve,      ///< Handles calls normally.
  Refuse,     ///< Responds 503 without executing the call.
  Throttle,   ///< Responds 429 without executing the call.
  Silent,     ///< Never responds.
  LoseWrites, ///< Executes writes but never responds to them.
};

/// Object store with a single revision counter, paged lists, watches and
/// conditional writes. It keeps its history until compact() or restoreCopy().
class ObjectStore {
public:
  /// \param Address "address:port"; port 0 lets the kernel pick.
  explicit ObjectStore(const std::string &Address = "127.0.0.1:0");
  ~ObjectStore();

  const std::string &getAddress() const { return Address_; }

  /// \name Contents, fault injection and counters; safe to call from any
  /// thread.
  /// @{
  /// Creates or replaces an object.
  void put(const std::string &Kind, const std::string &Name,
           const nlohmann::json &Body);
  void remove(const std::string &Kind, const std::string &Name);
  bool contains(const std::string &Kind, const std::string &Name);
  void setMode(StoreMode Mode);

  /// Discards the history and fails pending watches with status 503.
  void compact();

  /// Copies all contents, for restoreCopy().
  void saveCopy();

  /// Goes back to the last copy: later changes are lost, their revisions are
  /// given out again, and the era rises by one. Watches are cut.
  void restoreCopy();

  /// Writes again what put() and remove() changed after the copy, as operators
  /// and servers do.
  void rewriteLost();

  /// Withholds all events from watches until compact().
  void suppressWatchEvents();

  /// Sets the maximum number of objects on one page of a list.
  void setPageSize(size_t Objects);
  unsigned getCalls();
  /// @}

private:
  struct Object {
    nlohmann::json Body_;   ///< Specification as written.
    uint64_t Revision_ = 0; ///< Revision of the last change.
    uint64_t Created_ = 0;  ///< Revision of the creation.
  };

  struct Event {
    std::string Kind_;      ///< Kind of the object.
    uint64_t Revision_ = 0; ///< Revision of the change.
    nlohmann::json Json_;   ///< Event as sent to watches.
  };

  struct Watch {
    IngressExchangePtr Exchange_; ///< Pending exchange.
    std::string Kind_;            ///< Watched kind.
    uint64_t After_ = 0;          ///< Last revision known to the watcher.
    Time Until_;                  ///< When to respond without events.
  };

  using ObjectMap = std::map<std::string, Object>;

  void handle(const IngressExchangePtr &Exchange);
  void read(const IngressExchangePtr &Exchange, const std::string &Kind,
            const std::string &Name,
            const std::map<std::string, std::string> &Query);
  void list(const IngressExchangePtr &Exchange, const std::string &Kind,
            const std::string &After);
  void write(const IngressExchangePtr &Exchange, const std::string &Kind,
             const std::string &Name);
  nlohmann::json toJson(const std::string &Name, const Object &Value) const;
  void rewriteLostKind(const std::string &Kind);
  void change(const std::string &Kind, const std::string &Name,
              const nlohmann::json *Body);
  bool answerWatch(const Watch &Waiting);
  void answerWatches();
  void tick();
  void cutWatches();
  void reply(const IngressExchangePtr &Exchange, unsigned Status,
             const nlohmann::json &Body) const;

  std::map<std::string, ObjectMap> Kinds_;       ///< Objects by kind and name.
  std::map<std::string, ObjectMap> CopiedKinds_; ///< Objects of the copy.
  std::map<std::string, ObjectMap> LostKinds_; ///< Objects before the restore.
  uint64_t CopiedRevision_ = 1;                ///< Revision of the copy.
  uint64_t Era_ = 1; ///< Number of the history, counted by restoreCopy().
  std::vector<Event> History_;     ///< Changes after CompactedRevision_.
  uint64_t Revision_ = 1;          ///< Revision of the last change.
  uint64_t CompactedRevision_ = 0; ///< Last revision discarded by compact().
  std::list<Watch> Watches_;       ///< Pending watches.
  std::vector<IngressExchangePtr> Held_;  ///< Exchanges left unanswered.
  StoreMode Mode_ = StoreMode::Serve;     ///< Current mode.
  bool AreWatchEventsSuppressed_ = false; ///< See suppressWatchEvents().
  size_t PageSize_ = 500;                 ///< See setPageSize().
  unsigned Calls_ = 0;                    ///< Number of calls received.
  std::string Address_;                   ///< Listening address.
  LoopThread Thread_;                     ///< All state is confined to it.
  std::unique_ptr<boost::asio::steady_timer>
      Timer_; ///< Triggers checks of pending watches.
  std::unique_ptr<IngressServer> Server_; ///< Receives calls.
};

} // namespace cranberry::standin

#endif
