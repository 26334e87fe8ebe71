/// \file scripted_server_base.h Server that sends scripted bytes.
#ifndef CRANBERRY_TEST_SUPPORT_SCRIPTED_SERVER_BASE_H
#define CRANBERRY_TEST_SUPPORT_SCRIPTED_SERVER_BASE_H

#include "net/connection_pool_base.h"
#include "net/ingress_server_base.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cranberry::test {

/// Limit on each wait; conditions normally hold far sooner.
inline constexpr Duration LoopTimeout = seconds(20);

/// Runs \p Loop until \p Condition holds or LoopTimeout has passed.
/// \return Whether the condition holds.
template <typename F>
bool runUntil(boost::asio::io_context &Loop, F Condition) {
  Time End = getNow() + LoopTimeout;
  while (!Condition() && getNow() < End) {
    Loop.restart();
    Loop.run_one_for(milliseconds(5));
  }
  return Condition();
}

/// A server that responds to each request head with the next scripted step.
class ScriptedServer {
public:
  /// Response to one request, and whether the connection is closed after it.
  struct Step {
    std::string Bytes_;   ///< Bytes to send.
    bool Closes_ = false; ///< Close the connection afterwards.
    bool Resets_ = false; ///< Reset the connection afterwards.
  };

  ScriptedServer(boost::asio::io_context &Loop, std::deque<Step> Steps)
      : Acceptor_(Loop, boost::asio::ip::tcp::endpoint(
                            boost::asio::ip::address_v4::loopback(), 0)),
        Steps_(std::move(Steps)) {
    accept();
  }

  boost::asio::ip::tcp::endpoint getEndpoint() const {
    return Acceptor_.local_endpoint();
  }

  int Connections_ = 0; ///< Connections accepted so far.
  int Requests_ = 0;    ///< Request heads read so far.

private:
  struct Session {
    explicit Session(boost::asio::ip::tcp::socket Socket)
        : Socket_(std::move(Socket)) {}
    boost::asio::ip::tcp::socket Socket_; ///< Connection to the client.
    std::string Input_;                   ///< Bytes read and not handled yet.
    std::string Output_;                  ///< Bytes being written.
  };

  void accept() {
    Acceptor_.async_accept([this](boost::system::error_code Error,
                                  boost::asio::ip::tcp::socket Socket) {
      if (Error)
        return;
      ++Connections_;
      serve(std::make_shared<Session>(std::move(Socket)));
      accept();
    });
  }

  void serve(const std::shared_ptr<Session> &Current) {
    boost::asio::async_read_until(
        Current->Socket_, boost::asio::dynamic_buffer(Current->Input_),
        "\r\n\r\n",
        [this, Current](boost::system::error_code Error, size_t Count) {
          if (Error || Steps_.empty())
            return;
          Current->Input_.erase(0, Count);
          ++Requests_;
          Step Next = Steps_.front();
          Steps_.pop_front();
          Current->Output_ = Next.Bytes_;
          boost::asio::async_write(
              Current->Socket_, boost::asio::buffer(Current->Output_),
              [this, Current, Next](boost::system::error_code Failed, size_t) {
                if (Next.Resets_)
                  Current->Socket_.set_option(
                      boost::asio::socket_base::linger(true, 0));
                if (Failed || Next.Closes_ || Next.Resets_)
                  Current->Socket_.close();
                else
                  serve(Current);
              });
        });
  }

  boost::asio::ip::tcp::acceptor Acceptor_; ///< Accepts connections.
  std::deque<Step> Steps_;                  ///< Remaining steps.
};

/// Sends a request and runs \p Loop until the attempt has ended.
inline AttemptResult sendAttempt(boost::asio::io_context &Loop,
                                 ConnectionPool &Pool,
                                 const boost::asio::ip::tcp::endpoint &Server,
                                 AttemptSpec Spec) {
  std::optional<AttemptResult> End;
  Pool.send("server", Server, std::move(Spec),
            [&End](AttemptResult Result) { End = std::move(Result); });
  REQUIRE(runUntil(Loop, [&End] { return End.has_value(); }));
  return std::move(*End);
}

} // namespace cranberry::test

#endif
