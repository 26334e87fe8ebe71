/// \file store_follower.cpp Follows one kind of objects in the store.
#include "steering/store_follower_base.h"

#include "net/ingress_server_base.h"
#include "platform/decode_func.h"

#include <algorithm>

using cranberry::platform::StoreChange;
using cranberry::platform::StoreReply;
using cranberry::platform::StoreStatus;

namespace cranberry {

namespace {

/// Waits after failures: the first is short, as most failures are a cut
/// connection. A store that can't be reached costs nothing to try; one that
/// refuses is asked less often.
constexpr Duration FirstBackoff = milliseconds(50);
constexpr Duration LongestBackoffLost = milliseconds(250);
constexpr Duration LongestBackoffRefused = milliseconds(800);

} // namespace

StoreFollower::StoreFollower(boost::asio::io_context &Loop,
                             platform::StoreClient &Store, FollowPlan Plan,
                             FollowHandlers Handlers, EventLog &Log)
    : Store_(Store), Plan_(std::move(Plan)), Handlers_(std::move(Handlers)),
      Log_(Log), Timer_(Loop) {}

void StoreFollower::after(Duration Wait, void (StoreFollower::*Next)()) {
  Timer_.expires_after(Wait);
  Timer_.async_wait([this, Next](boost::system::error_code Cancelled) {
    if (!Cancelled)
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

void StoreFollower::list() {
  std::string After = Listed_.empty() ? "" : Listed_.back().Name_;
  Store_.list(Plan_.Kind_, After, guard(&StoreFollower::takePage));
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
  bool IsFirst = Listed_.empty();
  // Changes between two pages come with the watch from the first.
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
  Log_.write(getNow(), "store-list",
             {{"kind", Plan_.Kind_},
              {"objects", static_cast<uint64_t>(Objects.size())},
              {"revision", Revision_}});
  Handlers_.OnList_(Objects);
  watch();
}

void StoreFollower::watch() {
  LastWatch_ = getNow();
  Store_.watch(Plan_.Kind_, Revision_, Plan_.Wait_,
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
  for (const StoreChange &Change : Changes->Changes_)
    Handlers_.OnChange_(Change);
  Duration Since = getNow() - LastWatch_;
  after(std::max(Duration(0), Plan_.Pace_ - Since), &StoreFollower::watch);
}

void StoreFollower::retry(StoreStatus Status, const std::string &Text) {
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
                        Status == StoreStatus::Lost ? LongestBackoffLost
                                                    : LongestBackoffRefused);
  // A watch resumed after a failure may wait on history that the store has
  // dropped meanwhile, and would not hear of it before the next change.
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
