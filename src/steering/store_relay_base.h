/// \file store_relay_base.h Relays store objects to other entry VMs.
#ifndef CRANBERRY_STEERING_STORE_RELAY_BASE_H
#define CRANBERRY_STEERING_STORE_RELAY_BASE_H

#include "net/ingress_server_base.h"
#include "steering/store_follower_base.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberry {

/// Whether a VM's objects may be relayed. Other VMs use them as if read from
/// the store, so they have to be as recent.
enum class RelayState : uint8_t {
  Fresh,       ///< They are recent.
  Pending,     ///< They are being read.
  Unavailable, ///< This VM doesn't read the store or can't.
};

/// Responds to lists and watches in the store's protocol, from the objects that
/// this VM has read itself. A watch gets its response as soon as there are
/// changes.
class StoreRelay {
public:
  /// \param IsDirect Whether only objects that this VM reads from the store
  /// itself will do.
  /// \return State of this VM's objects.
  using StateQuery = std::function<RelayState(bool IsDirect)>;

  StoreRelay(boost::asio::io_context &Loop, StateQuery GetState);

  /// Relays the objects that \p Follower reads.
  /// \param Kind Kind of \p Follower's objects.
  void addKind(const std::string &Kind, const StoreFollower &Follower) {
    Followers_[Kind] = &Follower;
  }

  /// Handles a list or watch request of another entry VM. A list waits for a
  /// moment if this VM is about to read the objects.
  void handleRequest(const IngressExchangePtr &Exchange);

  /// Responds to the watches on \p Kind for which there are changes.
  void notifyWatches(const std::string &Kind);

  /// Refuses the lists and the watches that wait for objects which aren't to be
  /// had any more. Their callers then turn to another VM at once.
  void refuseUnavailable();

private:
  /// A watch that waits for changes.
  struct PendingWatch {
    IngressExchangePtr Exchange_;         ///< Connection for the response.
    std::string Kind_;                    ///< Kind of objects.
    platform::StoreEra Era_ = 0;          ///< Era at the start of the watch.
    Revision KnownRevision_ = 0;          ///< Revision that the caller knows.
    bool IsDirect_ = false;               ///< See StateQuery.
    boost::asio::steady_timer WaitTimer_; ///< Expires at the end of the wait.
  };
  /// Shared, as the timer's handler may be queued when the watch gets its
  /// response.
  using WatchPtr = std::shared_ptr<PendingWatch>;

  /// A list request that waits until the objects are fresh.
  struct PendingList {
    IngressExchangePtr Exchange_;         ///< Connection for the response.
    std::string Kind_;                    ///< Kind of objects.
    bool IsDirect_ = false;               ///< See StateQuery.
    boost::asio::steady_timer WaitTimer_; ///< Expires at the end of the wait.
  };
  using ListPtr = std::shared_ptr<PendingList>;

  /// Encoded list of a kind. Many VMs ask for the same one at once.
  struct EncodedPage {
    platform::StoreEra Era_ = 0; ///< Era of the list.
    Revision Revision_ = 0;      ///< Revision of the list.
    std::string Text_;           ///< Encoded list.
  };

  void holdList(const IngressExchangePtr &Exchange,
                const platform::StoreQuery &Question);
  void respond(const IngressExchangePtr &Exchange, const std::string &Kind,
               unsigned Status, const std::string &Body) const;
  void sendPage(const IngressExchangePtr &Exchange, const std::string &Kind);
  /// Responds to a watch if there are changes or its wait has ended.
  /// \return Whether the watch is complete.
  bool tryRespondToWatch(const PendingWatch &Waiting, bool IsOver);

  boost::asio::io_context &Loop_; ///< Event loop.
  StateQuery GetState_;           ///< State of this VM's objects.
  std::map<std::string, const StoreFollower *> Followers_; ///< By kind.
  std::vector<WatchPtr> PendingWatches_;     ///< Watches that wait for changes.
  std::vector<ListPtr> PendingLists_;        ///< Lists that wait.
  std::map<std::string, EncodedPage> Pages_; ///< Last lists sent, by kind.
};

} // namespace cranberry

#endif
