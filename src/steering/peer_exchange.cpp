/// \file peer_exchange.cpp Heartbeats between entry VMs.
#include "steering/peer_exchange_base.h"

#include "net/http_message_func.h"
#include "steering/heartbeat_codec_func.h"

using boost::system::error_code;

namespace cranberry {

namespace {

constexpr const char *HeartbeatPath = "/v1/heartbeat";

/// Timeout of a heartbeat: five times the longest round trip plus the wake-up
/// time of a slow peer.
constexpr Duration ResponseTimeout = milliseconds(700);
constexpr Duration ConnectTimeout = milliseconds(450);

/// Peers exchange heartbeats every few periods, so connections stay open.
constexpr Duration MaxIdleTime = seconds(12);

} // namespace

PeerExchange::PeerExchange(boost::asio::io_context &Loop, const Member &Self,
                           Duration Period, EventLog &Log,
                           std::function<void()> OnChange)
    : Period_(Period), Log_(Log), OnChange_(std::move(OnChange)),
      Membership_(Self, {}, Self.Incarnation_),
      Server_(Loop,
              [this](const IngressExchangePtr &Exchange) {
                handleRequest(Exchange);
              }),
      Client_(Loop), Timer_(Loop) {}

bool PeerExchange::open(const std::string &Address, Reason &Why) {
  if (!Server_.open(Address, Why))
    return false;
  sendHeartbeats();
  return true;
}

void PeerExchange::announceLeave() {
  Membership_.announceLeaving();
  // All members are notified at once, as clients that get this VM's address
  // from a look-up would fail to connect.
  for (const Member &Vm : Membership_.getMembers())
    if (Vm.Vm_ != Membership_.getSelf().Vm_)
      sendHeartbeat(Vm.PeerAddress_);
}

std::vector<std::string> PeerExchange::getPeerAddresses() const {
  MemberList Vms = Membership_.getMembers();
  if (Vms.size() == 1)
    Vms = Membership_.getGoneMembers();
  std::vector<std::string> Result;
  for (const Member &Vm : Vms)
    if (Vm.Vm_ != Membership_.getSelf().Vm_)
      Result.push_back(Vm.PeerAddress_);
  return Result;
}

void PeerExchange::sendHeartbeats() {
  Time Now = getNow();
  for (const std::string &Address : Membership_.selectHeartbeatTargets(Now))
    sendHeartbeat(Address);
  notifyIfChanged();
  Timer_.expires_after(Period_);
  Timer_.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      sendHeartbeats();
  });
}

std::string PeerExchange::encode(HeartbeatBody Body) const {
  if (GetConfigAge_)
    Body.ConfigAge_ = GetConfigAge_();
  return encodeHeartbeat(Body);
}

void PeerExchange::sendHeartbeat(const std::string &Address) {
  HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + Address + HeartbeatPath;
  Call.Body_ = encode(Membership_.makeHeartbeat(Address));
  Call.Timeout_ = ResponseTimeout;
  Call.ConnectTimeout_ = ConnectTimeout;
  Call.MaxIdleTime_ = MaxIdleTime;
  Time Asked = getNow();
  Client_.startCall(std::move(Call),
                    [this, Address, Asked](const HttpResult &Result) {
                      std::optional<HeartbeatBody> Body;
                      if (Result.Code_ == ResultCode::Ok)
                        Body = decodeHeartbeat(Result.Body_);
                      if (Body) {
                        Membership_.handleHeartbeatResponse(*Body, getNow());
                        notifyVersion(*Body, Asked);
                      } else {
                        Membership_.recordHeartbeatFailure(Address, getNow());
                      }
                      notifyIfChanged();
                    });
}

void PeerExchange::handleRequest(const IngressExchangePtr &Exchange) {
  constexpr unsigned Ok = 200;
  constexpr unsigned BadRequest = 400;
  constexpr unsigned NotFound = 404;
  RequestMessage &Message = Exchange->getMessage();
  if (Message.target() != HeartbeatPath) {
    if (RequestHandler_)
      RequestHandler_(Exchange);
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
  HeartbeatBody Answer = Membership_.handleHeartbeat(*Body, getNow());
  Exchange->respond(makeResponse(Ok, encode(std::move(Answer))));
  notifyVersion(*Body, std::nullopt);
  notifyIfChanged();
}

void PeerExchange::notifyVersion(const HeartbeatBody &Body,
                                 std::optional<Time> Asked) const {
  if (OnVersion_)
    OnVersion_({Body.Sender_.PeerAddress_, Body.Sender_.Revision_, Asked,
                Body.ConfigAge_});
}

void PeerExchange::notifyIfChanged() {
  if (Membership_.getViewVersion() == NotifiedViewVersion_)
    return;
  NotifiedViewVersion_ = Membership_.getViewVersion();
  std::map<std::string, MemberState> States;
  for (const Member &Vm : Membership_.getMembers())
    States[Vm.Vm_] = Vm.State_;
  // Only the changes, as a line with all members would grow with the fleet.
  std::string Changes;
  auto AddChange = [&Changes](const std::string &Vm, MemberState State) {
    Changes += (Changes.empty() ? "" : " ") + Vm + "=" +
               MemberStateNames[static_cast<size_t>(State)];
  };
  for (const auto &[Vm, State] : States)
    if (auto Known = NotifiedStates_.find(Vm);
        Known == NotifiedStates_.end() || Known->second != State)
      AddChange(Vm, State);
  for (const auto &[Vm, State] : NotifiedStates_)
    if (!States.contains(Vm))
      AddChange(Vm, MemberState::Gone);
  Log_.write(getNow(), "members",
             {{"view", NotifiedViewVersion_},
              {"count", static_cast<uint64_t>(States.size())},
              {"changes", Changes}});
  NotifiedStates_ = std::move(States);
  OnChange_();
}

} // namespace cranberry
