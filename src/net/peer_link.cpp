/// \file peer_link.cpp gRPC server and client for calls between entry VMs.
#include "net/peer_link_base.h"

#include "net/generated/peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <map>
#include <mutex>

namespace cranberry {

namespace {

constexpr int MaxMessageBytes = 64 << 20;
constexpr int KeepaliveIntervalMs = 1000;
constexpr int KeepaliveTimeoutMs = 1000;
constexpr int MinReconnectBackoffMs = 100;
constexpr int MaxReconnectBackoffMs = 1000;
/// Maximum number of cached channels to peers. In a larger fleet the least
/// recently used channel is closed and opened again when it is needed.
constexpr size_t MaxChannels = 96;

/// Passes a call to its handler and finishes it when the handler responds.
template <typename Request, typename Reply>
grpc::ServerUnaryReactor *
handleUnaryCall(grpc::CallbackServerContext *Context,
                const PeerHandler<Request, Reply> &Handler, const Request *In,
                Reply *Out) {
  grpc::ServerUnaryReactor *Reactor = Context->DefaultReactor();
  Handler(*In, [Reactor, Out](Reply Response) {
    *Out = std::move(Response);
    Reactor->Finish(grpc::Status::OK);
  });
  return Reactor;
}

class PeerService final : public wire::Peer::CallbackService {
public:
  explicit PeerService(PeerHandlers Handlers)
      : Handlers_(std::move(Handlers)) {}

  using Context = grpc::CallbackServerContext;
  using Reactor = grpc::ServerUnaryReactor;

  // NOLINTBEGIN(readability-identifier-naming): names of the generated code.
  Reactor *Exchange(Context *C, const wire::Heartbeat *In,
                    wire::Heartbeat *Out) override {
    return handleUnaryCall(C, Handlers_.Exchange_, In, Out);
  }
  Reactor *GetChanges(Context *C, const wire::ChangesRequest *In,
                      wire::ChangesReply *Out) override {
    return handleUnaryCall(C, Handlers_.GetChanges_, In, Out);
  }
  Reactor *AskSlots(Context *C, const wire::SlotRequest *In,
                    wire::SlotReply *Out) override {
    return handleUnaryCall(C, Handlers_.AskSlots_, In, Out);
  }
  Reactor *ReleaseSlots(Context *C, const wire::SlotRelease *In,
                        wire::Empty *Out) override {
    return handleUnaryCall(C, Handlers_.ReleaseSlots_, In, Out);
  }
  Reactor *Forward(Context *C, const wire::ForwardRequest *In,
                   wire::ForwardReply *Out) override {
    return handleUnaryCall(C, Handlers_.Forward_, In, Out);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  PeerHandlers Handlers_; ///< Handlers of all methods.
};

class GrpcPeerServer final : public PeerServer {
public:
  explicit GrpcPeerServer(PeerHandlers Handlers)
      : Service_(std::move(Handlers)) {}

  bool start(const std::string &Address) {
    grpc::ServerBuilder Builder;
    int Port = 0;
    Builder.AddListeningPort(Address, grpc::InsecureServerCredentials(), &Port);
    Builder.SetMaxReceiveMessageSize(MaxMessageBytes);
    Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    Builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
        KeepaliveIntervalMs / 2);
    Builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    Builder.RegisterService(&Service_);
    Server_ = Builder.BuildAndStart();
    Address_ = Address.substr(0, Address.rfind(':') + 1) + std::to_string(Port);
    return Server_ && Port != 0;
  }

  const std::string &getAddress() const override { return Address_; }

  void shutdown(Duration Grace) override {
    Server_->Shutdown(std::chrono::system_clock::now() + Grace);
  }

private:
  PeerService Service_;                  ///< Implements the methods.
  std::unique_ptr<grpc::Server> Server_; ///< gRPC server.
  std::string Address_;                  ///< Bound address.
};

/// A gRPC channel to a peer and its stub.
struct Channel {
  std::shared_ptr<grpc::Channel> Channel_; ///< Connection to the peer.
  std::shared_ptr<wire::Peer::Stub> Stub_; ///< Makes calls on the channel.
  uint64_t LastUseSequence_ = 0;           ///< UseSequence_ at the last use.
};

class GrpcPeerClient final : public PeerClient {
public:
  bool isConnected(const std::string &Address) override {
    return getChannel(Address).Channel_->GetState(true) == GRPC_CHANNEL_READY;
  }

  void exchange(const std::string &Address, wire::Heartbeat Body,
                Duration Timeout,
                PeerReplyHandler<wire::Heartbeat> Replied) override {
    call(Address, std::move(Body), Timeout, std::move(Replied),
         [](auto *Async, auto &&...Args) { Async->Exchange(Args...); });
  }

  void getChanges(const std::string &Address, wire::ChangesRequest Body,
                  Duration Timeout,
                  PeerReplyHandler<wire::ChangesReply> Replied) override {
    call(Address, std::move(Body), Timeout, std::move(Replied),
         [](auto *Async, auto &&...Args) { Async->GetChanges(Args...); });
  }

  void askSlots(const std::string &Address, wire::SlotRequest Body,
                Duration Timeout,
                PeerReplyHandler<wire::SlotReply> Replied) override {
    call(Address, std::move(Body), Timeout, std::move(Replied),
         [](auto *Async, auto &&...Args) { Async->AskSlots(Args...); });
  }

  void releaseSlots(const std::string &Address, wire::SlotRelease Body,
                    Duration Timeout,
                    PeerReplyHandler<wire::Empty> Replied) override {
    call(Address, std::move(Body), Timeout, std::move(Replied),
         [](auto *Async, auto &&...Args) { Async->ReleaseSlots(Args...); });
  }

  std::function<void()>
  forward(const std::string &Address, wire::ForwardRequest Body,
          Duration Timeout,
          PeerReplyHandler<wire::ForwardReply> Replied) override {
    return call(Address, std::move(Body), Timeout, std::move(Replied),
                [](auto *Async, auto &&...Args) { Async->Forward(Args...); });
  }

private:
  Channel getChannel(const std::string &Address) {
    std::lock_guard Lock(Mutex_);
    Channel &Known = Channels_[Address];
    Known.LastUseSequence_ = ++UseSequence_;
    if (Known.Channel_)
      return Known;
    if (Channels_.size() > MaxChannels)
      evictLeastRecentlyUsed();
    grpc::ChannelArguments Args;
    Args.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveIntervalMs);
    Args.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
    Args.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    Args.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    Args.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, MinReconnectBackoffMs);
    Args.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MinReconnectBackoffMs);
    Args.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
    Args.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    Args.SetMaxReceiveMessageSize(MaxMessageBytes);
    Known.Channel_ = grpc::CreateCustomChannel(
        Address, grpc::InsecureChannelCredentials(), Args);
    Known.Stub_ = wire::Peer::NewStub(Known.Channel_);
    return Known;
  }

  /// Calls in flight keep their channel alive until they complete.
  void evictLeastRecentlyUsed() {
    auto Least = std::min_element(
        Channels_.begin(), Channels_.end(), [](const auto &A, const auto &B) {
          return A.second.LastUseSequence_ < B.second.LastUseSequence_;
        });
    Channels_.erase(Least);
  }

  template <typename Request, typename Reply, typename Start>
  std::function<void()> call(const std::string &Address, Request Body,
                             Duration Timeout, PeerReplyHandler<Reply> Replied,
                             Start StartCall) {
    struct PendingCall {
      grpc::ClientContext Context_;
      Request Body_;
      Reply Reply_;
      std::shared_ptr<wire::Peer::Stub> Stub_;
    };
    auto Call = std::make_shared<PendingCall>();
    Call->Body_ = std::move(Body);
    Call->Stub_ = getChannel(Address).Stub_;
    Call->Context_.set_deadline(std::chrono::system_clock::now() + Timeout);
    StartCall(Call->Stub_->async(), &Call->Context_, &Call->Body_,
              &Call->Reply_,
              std::function<void(grpc::Status)>(
                  [Call, Replied](const grpc::Status &Status) {
                    if (Status.ok())
                      Replied(std::move(Call->Reply_));
                    else
                      Replied(std::nullopt);
                  }));
    return [Weak = std::weak_ptr<PendingCall>(Call)] {
      if (std::shared_ptr<PendingCall> Live = Weak.lock())
        Live->Context_.TryCancel();
    };
  }

  std::mutex Mutex_; ///< Guards Channels_ and UseSequence_.
  std::map<std::string, Channel> Channels_; ///< Keyed by address.
  uint64_t UseSequence_ = 0; ///< Counts the uses of all channels.
};

} // namespace

std::unique_ptr<PeerServer> PeerServer::open(const std::string &Address,
                                             PeerHandlers Handlers,
                                             Reason &Why) {
  auto Server = std::make_unique<GrpcPeerServer>(std::move(Handlers));
  if (Server->start(Address))
    return Server;
  Why = {ResultCode::PortUnavailable, "", Address};
  return nullptr;
}

std::unique_ptr<PeerClient> PeerClient::create() {
  return std::make_unique<GrpcPeerClient>();
}

} // namespace cranberry
