/// \file http_server.cpp Serves HTTP on a pool of threads.
#include "net/http_server_base.h"

#include <absl/strings/ascii.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>

#include <unistd.h>

namespace cranberry {

namespace {

constexpr unsigned IdleTimeoutSeconds = 60;

MHD_Result addToMap(void *Context, MHD_ValueKind /*Kind*/, const char *Name,
                    const char *Value) {
  auto &Target = *static_cast<std::map<std::string, std::string> *>(Context);
  Target[Name] = Value ? Value : "";
  return MHD_YES;
}

MHD_Result addHeader(void *Context, MHD_ValueKind /*Kind*/, const char *Name,
                     const char *Value) {
  auto &Target = *static_cast<std::map<std::string, std::string> *>(Context);
  Target[absl::AsciiStrToLower(Name)] = Value ? Value : "";
  return MHD_YES;
}

/// \return Whether the other end has closed its side.
bool isClosed(int Socket) {
  char Byte = 0;
  return recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace

/// What lives for one request on one connection.
struct HttpExchange {
  HttpServer *Server_ = nullptr;         ///< Server.
  MHD_Connection *Connection_ = nullptr; ///< Library's connection.
  HttpRequest Request_;                  ///< As far as it has come in.
  HttpResponse Response_;                ///< Set before the resume.
  bool Handled_ = false;                 ///< Handler was called.

  void handle() {
    Handled_ = true;
    ++Server_->OpenRequests_;
    const MHD_ConnectionInfo *Info =
        MHD_get_connection_info(Connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    Request_.IsGone_ = [Socket = Info->connect_fd] { return isClosed(Socket); };
    MHD_suspend_connection(Connection_);
    Server_->Handler_(std::move(Request_), [this](HttpResponse Response) {
      Response_ = std::move(Response);
      MHD_resume_connection(Connection_);
    });
  }

  MHD_Result send() {
    MHD_Response *Out = MHD_create_response_from_buffer(
        Response_.Body_.size(), Response_.Body_.data(), MHD_RESPMEM_MUST_COPY);
    for (const auto &[Name, Value] : Response_.Headers_)
      MHD_add_response_header(Out, Name.c_str(), Value.c_str());
    if (Response_.Close_ || !Server_->Accepting_)
      MHD_add_response_header(Out, "Connection", "close");
    MHD_Result Queued = MHD_queue_response(
        Connection_, static_cast<unsigned>(Response_.Status_), Out);
    MHD_destroy_response(Out);
    return Queued;
  }

  void addBody(const char *Data, size_t Size) {
    if (Request_.Body_.size() + Size > Server_->Limits_.MaxBodyBytes_) {
      Request_.IsTooLarge_ = true;
      Request_.Body_.clear();
      return;
    }
    if (!Request_.IsTooLarge_)
      Request_.Body_.append(Data, Size);
  }

  static void *keepUri(void *Context, const char *Uri, MHD_Connection *) {
    auto *Self = new HttpExchange;
    Self->Server_ = static_cast<HttpServer *>(Context);
    std::string Whole(Uri);
    size_t Mark = Whole.find('?');
    Self->Request_.RawPath_ = Whole.substr(0, Mark);
    if (Mark != std::string::npos)
      Self->Request_.RawQuery_ = Whole.substr(Mark + 1);
    return Self;
  }

  static MHD_Result onAccess(void * /*Context*/, MHD_Connection *Connection,
                             const char *Url, const char *Method,
                             const char * /*Version*/, const char *Data,
                             size_t *Size, void **State) {
    auto &Self = *static_cast<HttpExchange *>(*State);
    if (!Self.Connection_) {
      Self.Connection_ = Connection;
      Self.Request_.Method_ = Method;
      Self.Request_.Path_ = Url;
      MHD_get_connection_values(Connection, MHD_GET_ARGUMENT_KIND, addToMap,
                                &Self.Request_.Query_);
      MHD_get_connection_values(Connection, MHD_HEADER_KIND, addHeader,
                                &Self.Request_.Headers_);
      return MHD_YES;
    }
    if (*Size > 0) {
      Self.addBody(Data, *Size);
      *Size = 0;
      return MHD_YES;
    }
    if (!Self.Handled_) {
      Self.handle();
      return MHD_YES;
    }
    return Self.send();
  }

  static void onCompleted(void * /*Context*/, MHD_Connection *, void **State,
                          MHD_RequestTerminationCode) {
    auto *Self = static_cast<HttpExchange *>(*State);
    if (!Self)
      return;
    if (Self->Handled_)
      --Self->Server_->OpenRequests_;
    delete Self;
    *State = nullptr;
  }
};

HttpServer::HttpServer(const HttpServerLimits &Limits, HttpHandler Handler)
    : Limits_(Limits), Handler_(std::move(Handler)) {}

std::unique_ptr<HttpServer> HttpServer::open(const std::string &Address,
                                             const HttpServerLimits &Limits,
                                             HttpHandler Handler, Reason &Why) {
  Why = {ResultCode::PortUnavailable, "", Address};
  size_t Colon = Address.rfind(':');
  sockaddr_in Bound{};
  Bound.sin_family = AF_INET;
  if (Colon == std::string::npos ||
      inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Bound.sin_addr) !=
          1)
    return nullptr;
  auto Port = static_cast<uint16_t>(std::atoi(Address.c_str() + Colon + 1));
  Bound.sin_port = htons(Port);
  std::unique_ptr<HttpServer> Server(
      new HttpServer(Limits, std::move(Handler)));
  Server->Daemon_ = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
      Port, nullptr, nullptr, &HttpExchange::onAccess, nullptr,
      MHD_OPTION_SOCK_ADDR, &Bound, MHD_OPTION_THREAD_POOL_SIZE,
      Limits.Threads_, MHD_OPTION_CONNECTION_LIMIT, Limits.MaxConnections_,
      MHD_OPTION_CONNECTION_TIMEOUT, IdleTimeoutSeconds,
      MHD_OPTION_URI_LOG_CALLBACK, &HttpExchange::keepUri, Server.get(),
      MHD_OPTION_NOTIFY_COMPLETED, &HttpExchange::onCompleted, nullptr,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (!Server->Daemon_)
    return nullptr;
  const MHD_DaemonInfo *Info =
      MHD_get_daemon_info(Server->Daemon_, MHD_DAEMON_INFO_BIND_PORT);
  Server->Address_ = Address.substr(0, Colon + 1) + std::to_string(Info->port);
  Why = {};
  return Server;
}

void HttpServer::stopAccepting() {
  if (!Accepting_.exchange(false))
    return;
  MHD_socket Listening = MHD_quiesce_daemon(Daemon_);
  if (Listening != MHD_INVALID_SOCKET)
    close(Listening);
}

HttpServer::~HttpServer() {
  if (Daemon_)
    MHD_stop_daemon(Daemon_);
}

} // namespace cranberry
