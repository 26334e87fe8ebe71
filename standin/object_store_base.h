/// \file object_store_base.h Stand-in for the platform's store of objects.
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

/// How the store treats calls.
enum class StoreMode : uint8_t {
  Serve,      ///< Answers.
  Refuse,     ///< Answers 503; nothing is done.
  Throttle,   ///< Answers 429; nothing is done.
  Silent,     ///< Reads calls and never answers.
  LoseWrites, ///< Does writes and never answers them.
};

/// Objects by kind and name with one revision counter; lists, watches, writes
/// under a condition. Keeps its history until it is told to forget it.
class ObjectStore {
public:
  /// \param Address "address:port"; port 0 lets the kernel pick.
  explicit ObjectStore(const std::string &Address = "127.0.0.1:0");
  ~ObjectStore();

  const std::string &getAddress() const { return Address_; }

  /// \name Switches and records; safe from any thread.
  /// @{
  /// Creates or replaces an object.
  void put(const std::string &Kind, const std::string &Name,
           const nlohmann::json &Body);
  void remove(const std::string &Kind, const std::string &Name);
  bool contains(const std::string &Kind, const std::string &Name);
  void setMode(StoreMode Mode);

  /// Drops the history and cuts the watches that wait.
  void compact();

  /// Changes reach no watch from now on, until compact().
  void deafenWatches();

  /// Objects in one page of a list.
  void setPageSize(size_t Objects);
  unsigned getCalls();
  /// @}

private:
  struct Object {
    nlohmann::json Body_;   ///< What its writer put there.
    uint64_t Revision_ = 0; ///< Last change.
    uint64_t Created_ = 0;  ///< First revision.
  };

  struct Event {
    std::string Kind_;      ///< Kind.
    uint64_t Revision_ = 0; ///< Revision of the change.
    nlohmann::json Json_;   ///< As a watch tells it.
  };

  struct Watch {
    IngressExchangePtr Exchange_; ///< Waits for an answer.
    std::string Kind_;            ///< Kind.
    uint64_t After_ = 0;          ///< Revision that it knows.
    Time Until_;                  ///< End of its wait.
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
  void change(const std::string &Kind, const std::string &Name,
              const nlohmann::json *Body);
  bool answerWatch(const Watch &Waiting);
  void wakeWatches();
  void tick();
  static void reply(const IngressExchangePtr &Exchange, unsigned Status,
                    const nlohmann::json &Body);

  std::map<std::string, ObjectMap> Kinds_; ///< By kind and name.
  std::vector<Event> History_;             ///< Changes since FirstRevision_.
  uint64_t Revision_ = 1;                  ///< Last change.
  uint64_t ForgottenUpto_ = 0;             ///< Changes up to here are gone.
  std::list<Watch> Watches_;               ///< Waiting.
  std::vector<IngressExchangePtr> Held_;   ///< Never answered.
  StoreMode Mode_ = StoreMode::Serve;      ///< Mode.
  bool AreWatchesDeaf_ = false;            ///< See deafenWatches().
  size_t PageSize_ = 500;                  ///< See setPageSize().
  unsigned Calls_ = 0;                     ///< Calls so far.
  std::string Address_;                    ///< As bound.
  LoopThread Thread_;                      ///< All state belongs to it.
  std::unique_ptr<boost::asio::steady_timer> Timer_; ///< Ends waits.
  std::unique_ptr<IngressServer> Server_;            ///< Port.
};

} // namespace cranberry::standin

#endif
