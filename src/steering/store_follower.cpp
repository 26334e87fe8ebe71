/// \file store_follower.cpp Reads and watches one kind of store objects.
#include "steering/store_follower_base.h"

#include "net/ingress_server_base.h"
#include "platform/decode_func.h"

#include <algorithm>

using cranberry::platform::StoreChange;
using cranberry::platform::StoreEra;
using cranberry::platform::StoreResponse;
using cranberry::platform::StoreStatus;

namespace cranberry {

namespace {

/// Backoff after failures. The first delay is short, as most failures are
/// closed connections. Attempts at an unreachable store cost nothing, whereas a
/// store that refuses calls is queried less often.
constexpr Duration FirstBackoff = milliseconds(50);
constexpr Duration MaxBackoffNoResponse = milliseconds(250);
constexpr Duration MaxBackoffRefused = milliseconds(800);

/// Minimum interval between two watches at a relay, which bounds the delay of
/// changes.
constexpr Duration RelayMinWatchInterval = milliseconds(100);

/// Names of unreadable entries that are logged. Each is logged once, as a
/// writer may repeat it with each renewal.
constexpr size_t MaxLoggedUnreadable = 256;

} // namespace

StoreFollower::StoreFollower(boost::asio::io_context &Loop,
                             platform::StoreClient &Store, FollowOptions Plan,
                             FollowHandlers Handlers, EventLog &Log)
    : Store_(Store), Options_(std::move(Plan)), Handlers_(std::move(Handlers)),
      Log_(Log), Timer_(Loop) {}

void StoreFollower::scheduleAfter(Duration Wait,
                                  void (StoreFollower::*Next)()) {
  Timer_.expires_after(Wait);
  // A handler that is already queued can't be cancelled. Without the generation
  // check it would start a second sequence of calls after a restart.
  Timer_.async_wait([this, Next, Generation = Generation_](
                        boost::system::error_code Cancelled) {
    if (!Cancelled && Generation == Generation_)
      (this->*Next)();
  });
}

platform::StoreResponseHandler StoreFollower::makeResponseHandler(
    void (StoreFollower::*Take)(const StoreResponse &)) {
  return [this, Take, Generation = Generation_](const StoreResponse &Reply) {
    if (Generation == Generation_)
      (this->*Take)(Reply);
  };
}

void StoreFollower::pause() {
  ++Generation_;
  dropPartialList();
  Timer_.cancel();
}

void StoreFollower::restart() {
  pause();
  requestList();
}

void StoreFollower::resume() {
  pause();
  // A list of all servers at once takes a weak VM's link for seconds if a whole
  // zone asks for it.
  if (Relay_ && IsListed_)
    requestWatch();
  else
    requestList();
}

void StoreFollower::setRelay(platform::StoreClient *Relay, bool CanResume) {
  bool WasRelayed = Relay_ != nullptr;
  if (Relay_ == Relay)
    return;
  Relay_ = Relay;
  // A call to the store may complete; a call to a relay has to be abandoned.
  if (WasRelayed && CanResume)
    resume();
}

platform::StoreClient &StoreFollower::selectClient() {
  IsCallToRelay_ = Relay_ != nullptr;
  return Relay_ ? *Relay_ : Store_;
}

void StoreFollower::requestList() {
  selectClient().list(Options_.Kind_, ListedUpto_,
                      makeResponseHandler(&StoreFollower::handlePage));
}

void StoreFollower::dropPartialList() {
  ListedObjects_.clear();
  ListedUpto_.clear();
}

void StoreFollower::handlePage(const StoreResponse &Reply) {
  if (Reply.Status_ != StoreStatus::Ok) {
    dropPartialList();
    handleFailure(Reply.Status_, Reply.ErrorText_);
    return;
  }
  Reason Why;
  std::optional<platform::StorePage> Page =
      platform::decodePage(Reply.Body_, Why);
  if (!Page) {
    dropPartialList();
    handleFailure(StoreStatus::Malformed, Why.Field_ + " " + Why.Message_);
    return;
  }
  logUnreadable(Page->Unreadable_);
  StoreEra Era = Reply.Era_.value_or(Era_);
  bool IsFirst = ListedUpto_.empty();
  bool IsOlder = Era < Era_ ||
                 (IsCallToRelay_ && Era == Era_ && Page->Revision_ < Revision_);
  if (IsOlder || (!IsFirst && Era != ListEra_)) {
    dropPartialList();
    handleFailure(StoreStatus::Malformed,
                  IsOlder ? "list is older than the known revision"
                          : "store was restored while it was listed");
    return;
  }
  ListEra_ = Era;
  // The watch starts at the first page's revision, so that it includes changes
  // made between two pages.
  Revision FirstRevision = IsFirst ? Page->Revision_ : Revision_;
  ListedObjects_.insert(ListedObjects_.end(), Page->Objects_.begin(),
                        Page->Objects_.end());
  Revision_ = FirstRevision;
  if (Page->HasMore_) {
    if (!canListAfter(*Page, ListedUpto_)) {
      dropPartialList();
      handleFailure(StoreStatus::Malformed, "list doesn't advance");
      return;
    }
    ListedUpto_ = std::move(Page->LastName_);
    requestList();
    return;
  }
  recordSuccess(Reply.Age_);
  takeEra();
  IsListed_ = true;
  std::vector<platform::StoreObject> Objects;
  Objects.swap(ListedObjects_);
  dropPartialList();
  Cache_.replaceAll(Objects, Revision_);
  Log_.write(getNow(), "store-list",
             {{"kind", Options_.Kind_},
              {"objects", static_cast<uint64_t>(Objects.size())},
              {"revision", Revision_},
              {"era", Era_}});
  Handlers_.OnList_(Objects);
  if (Handlers_.OnSuccess_)
    Handlers_.OnSuccess_();
  requestWatch();
}

void StoreFollower::takeEra() {
  bool IsNew = Era_ != 0 && ListEra_ != Era_;
  Era_ = ListEra_;
  Cache_.startEra(Era_);
  if (!IsNew)
    return;
  Log_.write(
      getNow(), "store-era",
      {{"kind", Options_.Kind_}, {"era", Era_}, {"revision", Revision_}});
  if (Handlers_.OnNewEra_)
    Handlers_.OnNewEra_();
}

void StoreFollower::requestWatch() {
  LastWatchStart_ = getNow();
  selectClient().watch(Options_.Kind_, Revision_,
                       Relay_ ? Options_.RelayWatchWait_
                              : Options_.MaxWatchWait_,
                       makeResponseHandler(&StoreFollower::handleChanges));
}

void StoreFollower::handleChanges(const StoreResponse &Reply) {
  bool IsOtherEra =
      Reply.Status_ == StoreStatus::Ok && Reply.Era_ && *Reply.Era_ != Era_;
  if (Reply.Status_ == StoreStatus::HistoryGone || IsOtherEra) {
    Log_.write(getNow(), "store-history-gone",
               {{"kind", Options_.Kind_}, {"revision", Revision_}});
    recordSuccess(Reply.Age_);
    requestList();
    return;
  }
  if (Reply.Status_ != StoreStatus::Ok) {
    handleFailure(Reply.Status_, Reply.ErrorText_);
    return;
  }
  Reason Why;
  std::optional<platform::StoreChanges> Changes =
      platform::decodeChanges(Reply.Body_, Why);
  if (!Changes) {
    handleFailure(StoreStatus::Malformed, Why.Field_ + " " + Why.Message_);
    return;
  }
  recordSuccess(Reply.Age_);
  logUnreadable(Changes->Unreadable_);
  Revision_ = std::max(Revision_, Changes->Revision_);
  Cache_.applyChanges(*Changes);
  for (const StoreChange &Change : Changes->Changes_)
    Handlers_.OnChange_(Change);
  if (Handlers_.OnSuccess_)
    Handlers_.OnSuccess_();
  // Watches at a relay cost nothing, and the relay waits for changes.
  Duration Pace = Relay_ ? RelayMinWatchInterval : Options_.MinWatchInterval_;
  Duration Since = getNow() - LastWatchStart_;
  scheduleAfter(std::max(Duration(0), Pace - Since),
                &StoreFollower::requestWatch);
}

void StoreFollower::logUnreadable(const std::vector<std::string> &Names) {
  UnreadableCount_ += Names.size();
  for (const std::string &Name : Names)
    if (LoggedUnreadable_.size() < MaxLoggedUnreadable &&
        LoggedUnreadable_.insert(Name).second)
      Log_.write(getNow(), "store-entry-unreadable",
                 {{"kind", Options_.Kind_},
                  {"name", Name},
                  {"count", UnreadableCount_}});
}

void StoreFollower::handleFailure(StoreStatus Status, const std::string &Text) {
  if (IsCallToRelay_) {
    Handlers_.OnRelayFailed_(Status, Text);
    return;
  }
  if (!IsUnavailable_) {
    IsUnavailable_ = true;
    Log_.write(
        getNow(), "store-lost",
        {{"kind", Options_.Kind_},
         {"status", platform::StoreStatusNames[static_cast<size_t>(Status)]},
         {"text", Text},
         {"revision", Revision_}});
    if (Handlers_.OnUnavailable_)
      Handlers_.OnUnavailable_();
  }
  Backoff_ = std::clamp(Backoff_ * 2, FirstBackoff,
                        Status == StoreStatus::NoResponse ? MaxBackoffNoResponse
                                                          : MaxBackoffRefused);
  // The store may have discarded the history since the last revision, and a
  // resumed watch would only learn that with the next change. So list again.
  scheduleAfter(Backoff_, &StoreFollower::retryList);
}

void StoreFollower::retryList() {
  if (Handlers_.IsPutOff_ && Handlers_.IsPutOff_())
    scheduleAfter(MaxBackoffRefused, &StoreFollower::retryList);
  else
    resume();
}

void StoreFollower::recordSuccess(Duration Age) {
  Backoff_ = Duration(0);
  LastSuccess_ = std::max(LastSuccess_, getNow() - Age);
  if (!IsUnavailable_)
    return;
  IsUnavailable_ = false;
  Log_.write(getNow(), "store-regained",
             {{"kind", Options_.Kind_}, {"revision", Revision_}});
  if (Handlers_.OnRecovered_)
    Handlers_.OnRecovered_();
}

} // namespace cranberry
