/// \file store_relay.cpp Relays store objects to other entry VMs.
#include "steering/store_relay_base.h"

#include "net/http_message_func.h"
#include "platform/decode_func.h"

#include <algorithm>
#include <utility>

using boost::system::error_code;

namespace cranberry {

namespace {

/// Longest wait of a watch, whatever the caller requests, so that a hung VM
/// doesn't make the caller wait.
constexpr Duration MaxWatchWait = seconds(2);

/// Longest wait of a list, within the caller's timeout.
constexpr Duration MaxListWait = milliseconds(250);

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned HistoryGone = 410;
constexpr unsigned Unavailable = 503;

} // namespace

StoreRelay::StoreRelay(boost::asio::io_context &Loop, StateQuery GetState)
    : Loop_(Loop), GetState_(std::move(GetState)) {}

void StoreRelay::handleRequest(const IngressExchangePtr &Exchange) {
  std::optional<platform::StoreQuery> Question =
      platform::decodeStoreQuery(std::string(Exchange->getMessage().target()));
  if (!Question || !Followers_.contains(Question->Kind_)) {
    Exchange->respond(makeResponse(NotFound, ""));
    return;
  }
  bool IsList = !Question->WatchFrom_;
  if (RelayState State = GetState_(Question->IsDirect_);
      State != RelayState::Fresh) {
    if (IsList && State == RelayState::Pending)
      holdList(Exchange, *Question);
    else
      Exchange->respond(makeResponse(Unavailable, ""));
    return;
  }
  if (IsList) {
    sendPage(Exchange, Question->Kind_);
    return;
  }
  auto Waiting = std::make_shared<PendingWatch>(
      PendingWatch{Exchange, Question->Kind_,
                   Followers_.at(Question->Kind_)->getCache().getEra(),
                   *Question->WatchFrom_, Question->IsDirect_,
                   boost::asio::steady_timer(Loop_)});
  if (tryRespondToWatch(*Waiting, false))
    return;
  PendingWatches_.push_back(Waiting);
  Waiting->WaitTimer_.expires_after(std::min(Question->Wait_, MaxWatchWait));
  Waiting->WaitTimer_.async_wait([this, Weak = std::weak_ptr<PendingWatch>(
                                            Waiting)](error_code Cancelled) {
    WatchPtr Over = Weak.lock();
    if (Cancelled || !Over)
      return;
    tryRespondToWatch(*Over, true);
    std::erase(PendingWatches_, Over);
  });
}

void StoreRelay::holdList(const IngressExchangePtr &Exchange,
                          const platform::StoreQuery &Question) {
  auto Waiting = std::make_shared<PendingList>(
      PendingList{Exchange, Question.Kind_, Question.IsDirect_,
                  boost::asio::steady_timer(Loop_)});
  PendingLists_.push_back(Waiting);
  Waiting->WaitTimer_.expires_after(MaxListWait);
  Waiting->WaitTimer_.async_wait(
      [this, Weak = std::weak_ptr<PendingList>(Waiting)](error_code Cancelled) {
        ListPtr Over = Weak.lock();
        if (Cancelled || !Over)
          return;
        Over->Exchange_->respond(makeResponse(Unavailable, ""));
        std::erase(PendingLists_, Over);
      });
}

void StoreRelay::respond(const IngressExchangePtr &Exchange,
                         const std::string &Kind, unsigned Status,
                         const std::string &Body) const {
  ResponseMessage Response = makeResponse(Status, Body, "application/json");
  const StoreFollower &Follower = *Followers_.at(Kind);
  platform::setEra(Response, Follower.getCache().getEra());
  platform::setRelayAge(Response, Follower.getAge(getNow()));
  Exchange->respond(Response);
}

void StoreRelay::sendPage(const IngressExchangePtr &Exchange,
                          const std::string &Kind) {
  const StoreCache &Cache = Followers_.at(Kind)->getCache();
  EncodedPage &Known = Pages_[Kind];
  bool IsCurrent = !Known.Text_.empty() && Known.Era_ == Cache.getEra() &&
                   Known.Revision_ == Cache.getRevision();
  if (!IsCurrent)
    Known = {Cache.getEra(), Cache.getRevision(),
             platform::encodePage(Cache.getPage())};
  respond(Exchange, Kind, Ok, Known.Text_);
}

bool StoreRelay::tryRespondToWatch(const PendingWatch &Waiting, bool IsOver) {
  if (Waiting.Exchange_->hasResponse())
    return true; // The caller has closed the connection.
  const StoreCache &Cache = Followers_.at(Waiting.Kind_)->getCache();
  std::optional<platform::StoreChanges> Changes =
      Cache.getChangesSince(Waiting.KnownRevision_);
  if (!Changes || Cache.getEra() != Waiting.Era_) {
    respond(Waiting.Exchange_, Waiting.Kind_, HistoryGone, "");
    return true;
  }
  if (Changes->Changes_.empty() && !IsOver)
    return false;
  if (GetState_(Waiting.IsDirect_) == RelayState::Fresh)
    respond(Waiting.Exchange_, Waiting.Kind_, Ok,
            platform::encodeChanges(*Changes));
  else
    Waiting.Exchange_->respond(makeResponse(Unavailable, ""));
  return true;
}

void StoreRelay::notifyWatches(const std::string &Kind) {
  std::vector<ListPtr> Lists;
  Lists.swap(PendingLists_);
  for (const ListPtr &Each : Lists)
    if (GetState_(Each->IsDirect_) == RelayState::Fresh)
      sendPage(Each->Exchange_, Each->Kind_);
    else
      PendingLists_.push_back(Each);
  std::erase_if(PendingWatches_, [&](const WatchPtr &Waiting) {
    return Waiting->Kind_ == Kind && tryRespondToWatch(*Waiting, false);
  });
}

void StoreRelay::refuseUnavailable() {
  // A response may make its connection pass on the next request at once.
  auto Refuse = [this](auto &Pending) {
    auto Taken = std::exchange(Pending, {});
    for (const auto &Each : Taken)
      if (GetState_(Each->IsDirect_) == RelayState::Unavailable)
        Each->Exchange_->respond(makeResponse(Unavailable, ""));
      else
        Pending.push_back(Each);
  };
  Refuse(PendingLists_);
  Refuse(PendingWatches_);
}

} // namespace cranberry
