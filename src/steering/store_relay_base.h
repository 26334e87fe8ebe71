/// \file store_relay_base.h Tells other entry VMs what the store told here.
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

/// Answers lists and watches as the store does, from what this VM has read
/// itself. A watch is answered as soon as there is news.
class StoreRelay {
public:
  /// \param IsFresh Whether what this VM knows may be passed on. Other VMs act
  /// on it as if they had read it, so it has to be as new.
  StoreRelay(boost::asio::io_context &Loop, std::function<bool()> IsFresh);

  /// Passes on what \p Follower hears of its kind.
  void addKind(const std::string &Kind, const StoreFollower &Follower) {
    Followers_[Kind] = &Follower;
  }

  /// Answers a call of another entry VM.
  void handleRequest(const IngressExchangePtr &Exchange);

  /// There may be news of \p Kind.
  void notifyWatches(const std::string &Kind);

private:
  struct PendingWatch {
    IngressExchangePtr Exchange_;         ///< Waits for an answer.
    std::string Kind_;                    ///< Kind.
    Revision KnownRevision_ = 0;          ///< Revision that it knows.
    boost::asio::steady_timer WaitTimer_; ///< Ends its wait.
  };
  /// Shared, as a timer's handler may be on its way when the watch is answered.
  using WatchPtr = std::shared_ptr<PendingWatch>;

  void sendPage(const IngressExchangePtr &Exchange, const std::string &Kind);
  bool tryRespondToWatch(const PendingWatch &Waiting, bool IsOver);

  boost::asio::io_context &Loop_; ///< Loop.
  std::function<bool()> IsFresh_; ///< See the constructor.
  std::map<std::string, const StoreFollower *> Followers_; ///< By kind.
  std::vector<WatchPtr> PendingWatches_;                   ///< Waiting.
};

} // namespace cranberry

#endif
