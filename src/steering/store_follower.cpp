/// \file store_follower.cpp Reads and watches one kind of store objects.
#include "steering/store_follower_base.h"

#include "net/ingress_server_base.h"
#include "platform/decode_func.h"

#include <algorithm>

using cranberry::platform::StoreChange;
using cranberry::platform::StoreReply;
using cranberry::platform::StoreStatus;

namespace cranberry {

namespace {

/// Backoff after failures. The first delay is short, as most failures are
/// closed connections. Attempts at an unreachable store cost nothing, whereas a
/// store that refuses calls is queried less often.
constexpr Duration FirstBackoff = milliseconds(50);
constexpr Duration MaxBackoffNoResponse = milliseconds(250);
constexpr Duration MaxBackoffRefused = milliseconds(800);

/// Longest wait of a watch at a relay. Together with the call's margin, a hung
/// relay is abandoned after 0.75 s, of the 2 s in which a change must be known.
constexpr Duration RelayWatchWait = milliseconds(400);

/// Minimum interval between two watches at a relay, which bounds the delay of
/// changes.
constexpr Duration RelayMinWatchInterval = milliseconds(100);

} // namespace

StoreFollower::StoreFollower(boost::asio::io_context &Loop,
                             platform::StoreClient &Store, FollowPlan Plan,
                             FollowHandlers Handlers, EventLog &Log)
    : Store_(Store), Plan_(std::move(Plan)), Handlers_(std::move(Handlers)),
      Log_(Log), Timer_(Loop) {}

void StoreFollower::after(Duration Wait, void (StoreFollower::*Next)()) {
  Timer_.expires_after(Wait);
  // A handler that is already queued can't be cancelled. Without the generation
  // check it would start a second sequence of calls after a restart.
  Timer_.async_wait([this, Next, Generation = Generation_](
                        boost::system::error_code Cancelled) {
    if (!Cancelled && Generation == Generation_)
      (this->*Next)();
  });
}

platform::StoreReplyHandler
StoreFollower::guard(void (StoreFollower::*Take)(const StoreReply &)) {
  return [this, Take, Generation = Generation_](const StoreReply &Reply) {
    if (Generation == Generation_)
      (this->*Take)(Reply);
  };
}

void StoreFollower::restart() {
  ++Generation_;
  Listed_.clear();
  Timer_.cancel();
  list();
}

void StoreFollower::setRelay(platform::StoreClient *Relay) {
  bool WasRelayed = Relay_ != nullptr;
  if (Relay_ == Relay)
    return;
  Relay_ = Relay;
  // A call to the store may complete; a call to a relay has to be abandoned.
  if (WasRelayed)
    restart();
}

platform::StoreClient &StoreFollower::pickSource() {
  IsAtRelay_ = Relay_ != nullptr;
  return Relay_ ? *Relay_ : Store_;
}

void StoreFollower::list() {
  std::string After = Listed_.empty() ? "" : Listed_.back().Name_;
  pickSource().list(Plan_.Kind_, After, guard(&StoreFollower::takePage));
}

void StoreFollower::takePage(const StoreReply &Reply) {
  if (Reply.Status_ != StoreStatus::Ok) {
    Listed_.clear();
    retry(Reply.Status_, Reply.Text_);
    return;
  }
  Reason Why;
  std::optional<platform::StorePage> Page =
      platform::decodePage(Reply.Body_, Why);
  if (!Page) {
    Listed_.clear();
    retry(StoreStatus::Malformed, Why.Field_ + " " + Why.Text_);
    return;
  }
  if (IsAtRelay_ && Page->Revision_ < Revision_) {
    Listed_.clear();
    retry(StoreStatus::Malformed,
          "list of the relay is older than the known revision");
    return;
  }
  bool IsFirst = Listed_.empty();
  // The watch starts at the first page's revision, so that it includes changes
  // made between two pages.
  Revision FirstRevision = IsFirst ? Page->Revision_ : Revision_;
  Listed_.insert(Listed_.end(), Page->Objects_.begin(), Page->Objects_.end());
  Revision_ = FirstRevision;
  if (Page->HasMore_ && !Page->Objects_.empty()) {
    list();
    return;
  }
  noteSuccess();
  IsKnown_ = true;
  std::vector<platform::StoreObject> Objects;
  Objects.swap(Listed_);
  Cache_.replaceAll(Objects, Revision_);
  Log_.write(getNow(), "store-list",
             {{"kind", Plan_.Kind_},
              {"objects", static_cast<uint64_t>(Objects.size())},
              {"revision", Revision_}});
  Handlers_.OnList_(Objects);
  if (Handlers_.OnHeard_)
    Handlers_.OnHeard_();
  watch();
}

void StoreFollower::watch() {
  LastWatch_ = getNow();
  pickSource().watch(Plan_.Kind_, Revision_,
                     Relay_ ? RelayWatchWait : Plan_.Wait_,
                     guard(&StoreFollower::takeChanges));
}

void StoreFollower::takeChanges(const StoreReply &Reply) {
  if (Reply.Status_ == StoreStatus::HistoryGone) {
    Log_.write(getNow(), "store-history-gone",
               {{"kind", Plan_.Kind_}, {"revision", Revision_}});
    noteSuccess();
    list();
    return;
  }
  if (Reply.Status_ != StoreStatus::Ok) {
    retry(Reply.Status_, Reply.Text_);
    return;
  }
  Reason Why;
  std::optional<platform::StoreChanges> Changes =
      platform::decodeChanges(Reply.Body_, Why);
  if (!Changes) {
    retry(StoreStatus::Malformed, Why.Field_ + " " + Why.Text_);
    return;
  }
  noteSuccess();
  Revision_ = std::max(Revision_, Changes->Revision_);
  Cache_.apply(*Changes);
  for (const StoreChange &Change : Changes->Changes_)
    Handlers_.OnChange_(Change);
  if (Handlers_.OnHeard_)
    Handlers_.OnHeard_();
  // Watches at a relay cost nothing, and the relay waits for changes.
  Duration Pace = Relay_ ? RelayMinWatchInterval : Plan_.Pace_;
  Duration Since = getNow() - LastWatch_;
  after(std::max(Duration(0), Pace - Since), &StoreFollower::watch);
}

void StoreFollower::retry(StoreStatus Status, const std::string &Text) {
  if (IsAtRelay_) {
    Handlers_.OnRelayLost_(Text);
    return;
  }
  if (!IsLost_) {
    IsLost_ = true;
    Log_.write(
        getNow(), "store-lost",
        {{"kind", Plan_.Kind_},
         {"status", platform::StoreStatusNames[static_cast<size_t>(Status)]},
         {"text", Text},
         {"revision", Revision_}});
    if (Handlers_.OnLost_)
      Handlers_.OnLost_();
  }
  Backoff_ = std::clamp(Backoff_ * 2, FirstBackoff,
                        Status == StoreStatus::Lost ? MaxBackoffNoResponse
                                                    : MaxBackoffRefused);
  // The store may have discarded the history since the last revision, and a
  // resumed watch would only learn that with the next change. So list again.
  after(Backoff_, &StoreFollower::list);
}

void StoreFollower::noteSuccess() {
  Backoff_ = Duration(0);
  LastHeard_ = getNow();
  if (!IsLost_)
    return;
  IsLost_ = false;
  Log_.write(getNow(), "store-regained",
             {{"kind", Plan_.Kind_}, {"revision", Revision_}});
  if (Handlers_.OnRegained_)
    Handlers_.OnRegained_();
}

} // namespace cranberry
