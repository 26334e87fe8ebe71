/// \file store_relay.cpp Relays store objects to other entry VMs.
#include "steering/store_relay_base.h"

#include "net/http_message_func.h"
#include "platform/decode_func.h"

#include <algorithm>

using boost::system::error_code;

namespace cranberry {

namespace {

/// Longest wait of a watch, whatever the caller requests, so that a hung VM
/// doesn't make the caller wait.
constexpr Duration MaxWatchWait = seconds(2);

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned HistoryGone = 410;
constexpr unsigned Unavailable = 503;

} // namespace

StoreRelay::StoreRelay(boost::asio::io_context &Loop,
                       std::function<bool()> IsFresh)
    : Loop_(Loop), IsFresh_(std::move(IsFresh)) {}

void StoreRelay::handleRequest(const IngressExchangePtr &Exchange) {
  std::optional<platform::StoreQuery> Question =
      platform::decodeStoreQuery(std::string(Exchange->getMessage().target()));
  if (!Question || !Followers_.contains(Question->Kind_)) {
    Exchange->respond(makeResponse(NotFound, ""));
    return;
  }
  if (!IsFresh_()) {
    Exchange->respond(makeResponse(Unavailable, ""));
    return;
  }
  if (!Question->WatchFrom_) {
    sendPage(Exchange, Question->Kind_);
    return;
  }
  auto Waiting = std::make_shared<PendingWatch>(
      PendingWatch{Exchange, Question->Kind_, *Question->WatchFrom_,
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

void StoreRelay::sendPage(const IngressExchangePtr &Exchange,
                          const std::string &Kind) {
  platform::StorePage Page = Followers_.at(Kind)->getCache().getPage();
  Exchange->respond(
      makeResponse(Ok, platform::encodePage(Page), "application/json"));
}

bool StoreRelay::tryRespondToWatch(const PendingWatch &Waiting, bool IsOver) {
  if (Waiting.Exchange_->hasResponse())
    return true; // The caller has closed the connection.
  std::optional<platform::StoreChanges> Changes =
      Followers_.at(Waiting.Kind_)
          ->getCache()
          .getChangesSince(Waiting.KnownRevision_);
  if (!Changes) {
    Waiting.Exchange_->respond(makeResponse(HistoryGone, ""));
    return true;
  }
  if (Changes->Changes_.empty() && !IsOver)
    return false;
  if (IsFresh_())
    Waiting.Exchange_->respond(makeResponse(
        Ok, platform::encodeChanges(*Changes), "application/json"));
  else
    Waiting.Exchange_->respond(makeResponse(Unavailable, ""));
  return true;
}

void StoreRelay::notifyWatches(const std::string &Kind) {
  std::erase_if(PendingWatches_, [&](const WatchPtr &Waiting) {
    return Waiting->Kind_ == Kind && tryRespondToWatch(*Waiting, false);
  });
}

} // namespace cranberry
