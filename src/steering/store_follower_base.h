/// \file store_follower_base.h Follows one kind of objects in the store.
#ifndef CRANBERRY_STEERING_STORE_FOLLOWER_BASE_H
#define CRANBERRY_STEERING_STORE_FOLLOWER_BASE_H

#include "core/time_type.h"
#include "observe/event_log_base.h"
#include "platform/store_client_base.h"
#include "steering/store_cache_base.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace cranberry {

/// How a kind is followed.
struct FollowOptions {
  std::string Kind_; ///< Kind of objects.
  Duration MinWatchInterval_{
      0}; ///< Least time between two watches. Each is priced, and
          ///< one answer brings all changes since the last.
  Duration MaxWatchWait_ = seconds(20); ///< Longest wait at the store.
};

/// What a follower tells its owner.
struct FollowHandlers {
  /// The store told all objects. Needed, as OnChange_ is.
  std::function<void(const std::vector<platform::StoreObject> &)> OnList_;
  /// The store told one change.
  std::function<void(const platform::StoreChange &)> OnChange_;
  /// A call failed, the first after one that did not.
  std::function<void()> OnUnavailable_;
  /// A call succeeded, the first after one that failed.
  std::function<void()> OnRecovered_;
  /// A call succeeded.
  std::function<void()> OnSuccess_;
  /// The other entry VM does not pass the kind on, see setRelay().
  std::function<void(const std::string &)> OnRelayFailed_;
};

/// Lists a kind and then watches it. After a failure it lists anew.
class StoreFollower {
public:
  StoreFollower(boost::asio::io_context &Loop, platform::StoreClient &Store,
                FollowOptions Plan, FollowHandlers Handlers, EventLog &Log);

  void start() { requestList(); }

  /// Lists anew, whatever call is out: the connection that it waits on may have
  /// gone silent together with another one that was found out.
  void restart();

  /// \param Pace See FollowPlan.
  void setMinWatchInterval(Duration Pace) { Options_.MinWatchInterval_ = Pace; }

  /// Hears from another entry VM from the next call on, or from the store if
  /// \p Relay is null. After a failure of the other VM the owner decides.
  void setRelay(platform::StoreClient *Relay);

  /// \return What was heard so far.
  const StoreCache &getCache() const { return Cache_; }

  /// \return Whether it can't be heard of now.
  bool isUnavailable() const { return IsUnavailable_; }

  /// \return Whether the kind was listed.
  bool isListed() const { return IsListed_; }

  /// \return Time since the store last told something.
  Duration getAge(Time Now) const { return Now - LastSuccess_; }

  /// \return Revision up to which changes are known.
  Revision getRevision() const { return Revision_; }

private:
  void requestList();
  void handlePage(const platform::StoreResponse &Reply);
  void requestWatch();
  platform::StoreClient &selectClient();
  void handleChanges(const platform::StoreResponse &Reply);
  void handleFailure(platform::StoreStatus Status, const std::string &Text);
  void recordSuccess();
  platform::StoreResponseHandler makeResponseHandler(
      void (StoreFollower::*Take)(const platform::StoreResponse &));
  void scheduleAfter(Duration Wait, void (StoreFollower::*Next)());

  platform::StoreClient &Store_;           ///< Store.
  platform::StoreClient *Relay_ = nullptr; ///< See setRelay().
  bool IsCallToRelay_ = false;             ///< The last call went there.
  StoreCache Cache_;                       ///< See getCache().
  FollowOptions Options_;                  ///< Plan.
  FollowHandlers Handlers_;                ///< Owner's.
  EventLog &Log_;                          ///< Log.
  boost::asio::steady_timer Timer_;        ///< Next call.
  std::vector<platform::StoreObject> ListedObjects_; ///< Pages so far.
  Revision Revision_ = 0;                            ///< See getRevision().
  uint64_t Generation_ = 0; ///< Replies to calls of earlier ones are dropped.
  Time LastSuccess_;        ///< Last answer.
  Time LastWatchStart_;     ///< Start of the last watch.
  Duration Backoff_{0};     ///< Last wait after a failure.
  bool IsListed_ = false;   ///< See isKnown().
  bool IsUnavailable_ = false; ///< The last call failed.
};

} // namespace cranberry

#endif
