/// \file peer_exchange.cpp Heartbeats among the entry VMs.
#include "steering/peer_exchange_base.h"

#include "net/http_message_func.h"
#include "steering/heartbeat_codec_func.h"

using boost::system::error_code;

namespace cranberry {

namespace {

constexpr const char *HeartbeatPath = "/v1/heartbeat";

/// Longest wait for the answer to a heartbeat: five times the longest way there
/// and back, and a slow peer's wake-up.
constexpr Duration AnswerTimeout = milliseconds(700);
constexpr Duration ConnectTimeout = milliseconds(450);

/// Peers hear from each other every few periods, so connections stay warm.
constexpr Duration MaxIdle = seconds(12);

} // namespace

PeerExchange::PeerExchange(boost::asio::io_context &Loop, const Member &Self,
                           Duration Period, EventLog &Log,
                           std::function<void()> OnChange)
    : Period_(Period), Log_(Log), OnChange_(std::move(OnChange)),
      Membership_(Self, {}, Self.Incarnation_),
      Server_(Loop,
              [this](const IngressExchangePtr &Exchange) { handle(Exchange); }),
      Client_(Loop), Timer_(Loop) {}

bool PeerExchange::open(const std::string &Address, Reason &Why) {
  if (!Server_.open(Address, Why))
    return false;
  sendRound();
  return true;
}

void PeerExchange::leave() {
  Membership_.leave();
  // Everyone is told at once: look-ups that name this VM cost their clients.
  for (const Member &Vm : Membership_.getMembers())
    if (Vm.Vm_ != Membership_.getSelf().Vm_)
      send(Vm.PeerAddress_);
}

void PeerExchange::sendRound() {
  Time Now = getNow();
  for (const std::string &Address : Membership_.getTargets(Now))
    send(Address);
  noteChange();
  Timer_.expires_after(Period_);
  Timer_.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      sendRound();
  });
}

void PeerExchange::send(const std::string &Address) {
  HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + Address + HeartbeatPath;
  Call.Body_ = encodeHeartbeat(Membership_.makeHeartbeat(Address));
  Call.Timeout_ = AnswerTimeout;
  Call.ConnectTimeout_ = ConnectTimeout;
  Call.MaxIdleTime_ = MaxIdle;
  Client_.startCall(std::move(Call), [this, Address](const HttpResult &Result) {
    std::optional<HeartbeatBody> Body;
    if (Result.Code_ == ResultCode::Ok)
      Body = decodeHeartbeat(Result.Body_);
    if (Body)
      Membership_.receiveAnswer(*Body, getNow());
    else
      Membership_.noteFailure(Address, getNow());
    noteChange();
  });
}

void PeerExchange::handle(const IngressExchangePtr &Exchange) {
  constexpr unsigned Ok = 200;
  constexpr unsigned BadRequest = 400;
  constexpr unsigned NotFound = 404;
  RequestMessage &Message = Exchange->getMessage();
  if (Message.target() != HeartbeatPath) {
    if (OnQuestion_)
      OnQuestion_(Exchange);
    else
      Exchange->respond(makeResponse(NotFound, ""));
    return;
  }
  std::optional<HeartbeatBody> Body = decodeHeartbeat(Message.body());
  if (!Body) {
    Log_.write(getNow(), "bad-heartbeat",
               {{"bytes", static_cast<uint64_t>(Message.body().size())}});
    Exchange->respond(makeResponse(BadRequest, ""));
    return;
  }
  HeartbeatBody Answer = Membership_.receiveHeartbeat(*Body, getNow());
  Exchange->respond(makeResponse(Ok, encodeHeartbeat(Answer)));
  noteChange();
}

void PeerExchange::noteChange() {
  if (Membership_.getViewVersion() == ViewVersion_)
    return;
  ViewVersion_ = Membership_.getViewVersion();
  std::string States;
  for (const Member &Vm : Membership_.getMembers())
    States += (States.empty() ? "" : " ") + Vm.Vm_ + "=" +
              MemberStateNames[static_cast<size_t>(Vm.State_)];
  Log_.write(getNow(), "members", {{"view", ViewVersion_}, {"vms", States}});
  OnChange_();
}

} // namespace cranberry
