/// \file store_relay.cpp Tells other entry VMs what the store told here.
#include "steering/store_relay_base.h"

#include "net/http_message_func.h"
#include "platform/decode_func.h"

#include <algorithm>

using boost::system::error_code;

namespace cranberry {

namespace {

/// Longest wait of a watch, whatever the caller asks for: a VM that hangs must
/// not keep it waiting.
constexpr Duration MaxWait = seconds(2);

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned HistoryGone = 410;
constexpr unsigned Unavailable = 503;

} // namespace

StoreRelay::StoreRelay(boost::asio::io_context &Loop,
                       std::function<bool()> IsFresh)
    : Loop_(Loop), IsFresh_(std::move(IsFresh)) {}

void StoreRelay::handle(const IngressExchangePtr &Exchange) {
  std::optional<platform::StoreQuestion> Question =
      platform::decodeStoreQuestion(
          std::string(Exchange->getMessage().target()));
  if (!Question || !Followers_.contains(Question->Kind_)) {
    Exchange->respond(makeResponse(NotFound, ""));
    return;
  }
  if (!IsFresh_()) {
    Exchange->respond(makeResponse(Unavailable, ""));
    return;
  }
  if (!Question->WatchFrom_) {
    answerPage(Exchange, Question->Kind_);
    return;
  }
  auto Waiting = std::make_shared<Watch>(
      Watch{Exchange, Question->Kind_, *Question->WatchFrom_,
            boost::asio::steady_timer(Loop_)});
  if (answerWatch(*Waiting, false))
    return;
  Watches_.push_back(Waiting);
  Waiting->Wait_.expires_after(std::min(Question->Wait_, MaxWait));
  Waiting->Wait_.async_wait(
      [this, Weak = std::weak_ptr<Watch>(Waiting)](error_code Cancelled) {
        WatchPtr Over = Weak.lock();
        if (Cancelled || !Over)
          return;
        answerWatch(*Over, true);
        std::erase(Watches_, Over);
      });
}

void StoreRelay::answerPage(const IngressExchangePtr &Exchange,
                            const std::string &Kind) {
  platform::StorePage Page = Followers_.at(Kind)->getCache().getPage();
  Exchange->respond(
      makeResponse(Ok, platform::encodePage(Page), "application/json"));
}

bool StoreRelay::answerWatch(const Watch &Waiting, bool IsOver) {
  if (Waiting.Exchange_->hasResponse())
    return true; // Its client has left.
  std::optional<platform::StoreChanges> Changes =
      Followers_.at(Waiting.Kind_)->getCache().getChangesSince(Waiting.Known_);
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

void StoreRelay::wake(const std::string &Kind) {
  std::erase_if(Watches_, [&](const WatchPtr &Waiting) {
    return Waiting->Kind_ == Kind && answerWatch(*Waiting, false);
  });
}

} // namespace cranberry
