/// \file route_client.cpp Stand-in for a client of the platform.
#include "standin/route_client_base.h"

#include "net/http_message_func.h"
#include "net/ingress_server_base.h"
#include "platform/wire_names.h"

#include <absl/strings/numbers.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace http = boost::beast::http;
using boost::system::error_code;

namespace cranberry::standin {

template <typename Start> bool RouteClient::await(Duration Limit, Start Begin) {
  std::optional<error_code> End;
  Begin([&End](error_code Error, auto &&...) { End = Error; });
  Loop_.restart();
  Loop_.run_for(Limit);
  if (End)
    return !*End;
  // On timeout, closing the socket cancels the operation.
  Socket_->close();
  Loop_.restart();
  Loop_.run();
  return false;
}

bool RouteClient::connect(Duration Limit) {
  if (Socket_)
    return true;
  Buffer_.clear();
  Socket_ = std::make_unique<boost::asio::ip::tcp::socket>(Loop_);
  bool IsOpen = await(Limit, [this](auto Done) {
    Socket_->async_connect(*parseEndpoint(Address_), Done);
  });
  if (!IsOpen)
    Socket_.reset();
  return IsOpen;
}

bool RouteClient::write(const ClientCall &Call, Duration Limit) {
  RequestMessage Message;
  Message.method_string(Call.Method_);
  Message.target(Call.Target_);
  Message.set(http::field::host, "shop.example");
  if (!Call.Id_.empty())
    Message.set(platform::header::AttemptId, Call.Id_);
  if (!Call.Key_.empty())
    Message.set(platform::header::AffinityKey, Call.Key_);
  if (Call.Deadline_ > Duration(0))
    Message.set(platform::header::Deadline,
                std::to_string(toMilliseconds(Call.Deadline_)));
  for (const auto &[Name, Value] : Call.Fields_)
    Message.insert(Name, Value);
  Message.body() = Call.Body_;
  std::string Bytes = serializeRequest(Message);
  return await(Limit, [&](auto Done) {
    boost::asio::async_write(*Socket_, boost::asio::buffer(Bytes), Done);
  });
}

ClientReply RouteClient::call(const ClientCall &Call, Duration Limit) {
  ClientReply Reply;
  if (!connect(Limit))
    return Reply;
  Reply.WasConnected_ = true;
  http::response_parser<http::string_body> Parser;
  bool IsWhole = write(Call, Limit) && await(Limit, [&](auto Done) {
                   http::async_read(*Socket_, Buffer_, Parser, Done);
                 });
  if (!IsWhole) {
    Socket_.reset();
    return Reply;
  }
  const ResponseMessage &Response = Parser.get();
  Reply.Status_ = Response.result_int();
  Reply.Body_ = Response.body();
  Reply.Signature_ = std::string(Response[platform::header::Signature]);
  double Wait = 0;
  if (absl::SimpleAtod(std::string(Response[http::field::retry_after]), &Wait))
    Reply.RetryAfter_ = Wait;
  if (!Response.keep_alive())
    Socket_.reset();
  return Reply;
}

bool RouteClient::send(const ClientCall &Call) {
  constexpr Duration Limit = seconds(2);
  return connect(Limit) && write(Call, Limit);
}

void RouteClient::pause(Duration Length) {
  boost::asio::steady_timer Timer(Loop_, Length);
  Timer.async_wait([](error_code) {});
  Loop_.restart();
  Loop_.run();
}

} // namespace cranberry::standin
