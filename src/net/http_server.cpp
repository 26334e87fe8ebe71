/// \file http_server.cpp Multi-threaded HTTP server for complete requests.
#include "net/http_server_base.h"

#include "net/event_loop_base.h"
#include "net/http_message_func.h"
#include "net/http_target_func.h"
#include "net/ingress_server_base.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

namespace cranberry {

namespace {

/// Tools and callers reuse connections for calls that are up to a minute apart.
constexpr Duration IdleTimeout = seconds(60);

HttpRequest makeRequest(RequestMessage &Message) {
  HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  std::string Target(Message.target());
  size_t Mark = Target.find('?');
  Request.RawPath_ = Target.substr(0, Mark);
  Request.Path_ = decodePercent(Request.RawPath_);
  if (Mark != std::string::npos)
    Request.RawQuery_ = Target.substr(Mark + 1);
  Request.Query_ = parseQuery(Request.RawQuery_);
  for (const auto &Field : Message)
    Request.Headers_[absl::AsciiStrToLower(
        {Field.name_string().data(), Field.name_string().size()})] =
        std::string(Field.value());
  Request.Body_ = std::move(Message.body());
  return Request;
}

ResponseMessage makeMessage(HttpResponse Response) {
  ResponseMessage Message;
  Message.result(static_cast<unsigned>(Response.Status_));
  for (const auto &[Name, Value] : Response.Headers_)
    Message.insert(Name, Value);
  Message.body() = std::move(Response.Body_);
  return Message;
}

} // namespace

/// Serves a share of the connections on one thread.
class HttpServer::Worker : public std::enable_shared_from_this<Worker> {
public:
  Worker(const HttpServerLimits &Limits, HttpHandler Handler)
      : Ingress_(Loop_.getContext(),
                 [this](const IngressExchangePtr &Exchange) {
                   handle(Exchange, false);
                 }),
        Handler_(std::move(Handler)) {
    IngressLimits Bounds;
    Bounds.MaxBodyBytes_ = Limits.MaxBodyBytes_;
    Bounds.IdleTimeout_ = IdleTimeout;
    Bounds.MaxConnections_ =
        std::max(1U, Limits.MaxConnections_ / std::max(1U, Limits.Threads_));
    Ingress_.setLimits(Bounds);
    Ingress_.setOversizeHandler(
        [this](const IngressExchangePtr &Exchange) { handle(Exchange, true); });
  }

  ~Worker() { stop(); }

  IngressServer &getIngress() { return Ingress_; }

  void start() {
    Thread_ = std::thread([this] { Loop_.run(); });
  }

  void stop() {
    Loop_.stop();
    if (Thread_.joinable())
      Thread_.join();
  }

  /// Runs \p Query on the worker's thread and blocks until it has run.
  /// \return Its result.
  template <typename Function> auto call(Function Query) {
    std::packaged_task<decltype(Query())()> Task(std::move(Query));
    auto Result = Task.get_future();
    Loop_.post([&Task] { Task(); });
    return Result.get();
  }

private:
  void handle(const IngressExchangePtr &Exchange, bool IsTooLarge) {
    HttpRequest Request = makeRequest(Exchange->getMessage());
    Request.IsTooLarge_ = IsTooLarge;
    auto IsDisconnected = std::make_shared<std::atomic<bool>>(false);
    Exchange->setDisconnectHandler(
        [IsDisconnected] { *IsDisconnected = true; });
    Request.IsClientDisconnected_ = [IsDisconnected] {
      return IsDisconnected->load();
    };
    // The handler may respond after this server was destroyed.
    Handler_(std::move(Request), [Weak = weak_from_this(),
                                  Exchange](HttpResponse Response) {
      std::shared_ptr<Worker> Self = Weak.lock();
      if (!Self)
        return;
      Self->Loop_.post([Exchange, Response = std::move(Response)]() mutable {
        Exchange->respond(makeMessage(std::move(Response)));
      });
    });
  }

  EventLoop Loop_;        ///< Event loop of the thread.
  IngressServer Ingress_; ///< Connections of the thread.
  HttpHandler Handler_;   ///< Called for each complete request.
  std::thread Thread_;    ///< Runs Loop_.
};

std::unique_ptr<HttpServer> HttpServer::open(const std::string &Address,
                                             const HttpServerLimits &Limits,
                                             const HttpHandler &Handler,
                                             Reason &Why) {
  std::unique_ptr<HttpServer> Server(new HttpServer);
  for (unsigned I = 0; I < std::max(1U, Limits.Threads_); ++I) {
    auto Next = std::make_shared<Worker>(Limits, Handler);
    IngressServer &Ingress = Next->getIngress();
    bool IsOpen = Server->Workers_.empty()
                      ? Ingress.open(Address, Why)
                      : Ingress.shareListener(
                            Server->Workers_.front()->getIngress(), Why);
    if (!IsOpen)
      return nullptr;
    Server->Workers_.push_back(std::move(Next));
  }
  Server->Address_ = Server->Workers_.front()->getIngress().getAddress();
  for (const std::shared_ptr<Worker> &Each : Server->Workers_)
    Each->start();
  return Server;
}

bool HttpServer::hasOpenRequests() const {
  return std::any_of(Workers_.begin(), Workers_.end(), [](const auto &Each) {
    return Each->call([&] { return Each->getIngress().hasOpenRequests(); });
  });
}

void HttpServer::stopAccepting() {
  for (const std::shared_ptr<Worker> &Each : Workers_)
    Each->call([&] {
      Each->getIngress().startDrain();
      Each->getIngress().stopAccepting();
    });
}

HttpServer::~HttpServer() {
  for (const std::shared_ptr<Worker> &Each : Workers_)
    Each->stop();
}

} // namespace cranberry
