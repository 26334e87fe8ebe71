/// \file store_follower_base.h Reads and watches one kind of store objects.
#ifndef CRANBERRY_STEERING_STORE_FOLLOWER_BASE_H
#define CRANBERRY_STEERING_STORE_FOLLOWER_BASE_H

#include "core/time_type.h"
#include "observe/event_log_base.h"
#include "platform/store_client_base.h"
#include "steering/store_cache_base.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace cranberry {

/// Options of a follower.
struct FollowOptions {
  std::string Kind_; ///< Kind of objects.

  /// Minimum interval between two watches. Each call has a cost, and
  /// one response holds all changes since the last.
  Duration MinWatchInterval_{0};
  Duration MaxWatchWait_ =
      seconds(20); ///< Longest wait of a watch at the store.
  /// Longest wait of a watch at another entry VM.
  Duration RelayWatchWait_ = milliseconds(400);
};

/// Callbacks of a follower to its owner.
struct FollowHandlers {
  /// Called with all objects after a list. Required, as OnChange_ is.
  std::function<void(const std::vector<platform::StoreObject> &)> OnList_;
  /// Called for each change.
  std::function<void(const platform::StoreChange &)> OnChange_;
  /// Called when a call fails after one that succeeded.
  std::function<void()> OnUnavailable_;
  /// Called when a call succeeds after one that failed.
  std::function<void()> OnRecovered_;
  /// Called before OnList_ when the list is of a later era than before.
  std::function<void()> OnNewEra_;
  /// Called after each successful list or watch.
  std::function<void()> OnSuccess_;
  /// Called when a call to the relay fails, see setRelay().
  std::function<void(platform::StoreStatus, const std::string &)>
      OnRelayFailed_;
  /// \return Whether to put off the next list after a failure. The owner then
  /// calls restart() once the store can be read.
  std::function<bool()> IsPutOff_;
};

/// Lists a kind and then watches it. After a failure it lists the kind again.
class StoreFollower {
public:
  StoreFollower(boost::asio::io_context &Loop, platform::StoreClient &Store,
                FollowOptions Plan, FollowHandlers Handlers, EventLog &Log);

  /// Starts with a list of the kind.
  void start() { requestList(); }

  /// Lists again and ignores the call in flight. If another connection was lost
  /// unnoticed, the connection of this call may be lost as well.
  void restart();

  /// Ignores the call in flight and goes on from the known revision at a relay,
  /// which has the history since it started. At the store it lists again.
  void resume();

  /// Makes no calls and ignores the one in flight, until restart() or
  /// resume().
  void pause();

  /// \param Pace Minimum interval between two watches.
  void setMinWatchInterval(Duration Pace) { Options_.MinWatchInterval_ = Pace; }

  /// \param Wait Longest wait of a watch at the store.
  void setMaxWatchWait(Duration Wait) { Options_.MaxWatchWait_ = Wait; }

  /// Sends calls to another entry VM from the next one on, or to the store if
  /// \p Relay is null. After a failed call to the relay, the owner has to
  /// select the source.
  /// \param CanResume Whether to resume at once if a call to the relay before
  /// has to be abandoned. Otherwise resume() has to follow.
  void setRelay(platform::StoreClient *Relay, bool CanResume = true);

  /// \return Objects read so far.
  const StoreCache &getCache() const { return Cache_; }

  /// \return Whether the kind can't be read at present.
  bool isUnavailable() const { return IsUnavailable_; }

  /// \return Whether the kind has been listed at least once.
  bool isListed() const { return IsListed_; }

  /// \return Number of entries read so far whose bytes can't be read.
  uint64_t getUnreadableCount() const { return UnreadableCount_; }

  /// \return Time since what is known was read from the store, by this VM or by
  /// the one that it follows.
  Duration getAge(Time Now) const { return Now - LastSuccess_; }

  /// \return Revision up to which changes are known, within getEra().
  Revision getRevision() const { return Revision_; }

  /// \return Era of the store that was last listed; 0 if none.
  platform::StoreEra getEra() const { return Era_; }

private:
  void requestList();
  void retryList();
  void dropPartialList();
  void handlePage(const platform::StoreResponse &Reply);
  void requestWatch();
  platform::StoreClient &selectClient();
  void handleChanges(const platform::StoreResponse &Reply);
  void takeEra();
  void logUnreadable(const std::vector<std::string> &Names);
  void handleFailure(platform::StoreStatus Status, const std::string &Text);
  void recordSuccess(Duration Age);
  platform::StoreResponseHandler makeResponseHandler(
      void (StoreFollower::*Take)(const platform::StoreResponse &));
  void scheduleAfter(Duration Wait, void (StoreFollower::*Next)());

  platform::StoreClient &Store_;           ///< Calls to the store.
  platform::StoreClient *Relay_ = nullptr; ///< Calls to the relay, or null.
  bool IsCallToRelay_ = false; ///< Whether the last call went to the relay.
  StoreCache Cache_;           ///< Objects read so far.
  FollowOptions Options_;      ///< Options of the follower.
  FollowHandlers Handlers_;    ///< Callbacks to the owner.
  EventLog &Log_;              ///< Event log.
  boost::asio::steady_timer Timer_; ///< Timer of the next call.
  std::vector<platform::StoreObject>
      ListedObjects_;              ///< Objects of a partial list.
  std::string ListedUpto_;         ///< Last name of a partial list.
  platform::StoreEra Era_ = 0;     ///< Era of the last list.
  platform::StoreEra ListEra_ = 0; ///< Era of ListedObjects_.
  Revision Revision_ = 0;          ///< Revision up to which changes are known.
  uint64_t Generation_ = 0; ///< Responses to calls of earlier generations are
                            ///< ignored.
  uint64_t UnreadableCount_ = 0;           ///< See getUnreadableCount().
  std::set<std::string> LoggedUnreadable_; ///< Names that were logged.
  Time LastSuccess_;           ///< Time at which the store was last read.
  Time LastWatchStart_;        ///< Start of the last watch.
  Duration Backoff_{0};        ///< Last delay after a failure.
  bool IsListed_ = false;      ///< Whether the kind was listed.
  bool IsUnavailable_ = false; ///< Whether reads fail at present.
};

} // namespace cranberry

#endif
