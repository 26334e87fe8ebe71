/// \file raw_server_base.h Faulty backend server that sends raw bytes.
#ifndef CRANBERRY_TEST_SUPPORT_RAW_SERVER_BASE_H
#define CRANBERRY_TEST_SUPPORT_RAW_SERVER_BASE_H

#include "core/time_type.h"
#include "platform/wire_names.h"
#include "standin/loop_thread_base.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace cranberry::test {

/// How a RawServer ends a connection.
enum class RawEnd : uint8_t {
  Close,         ///< Closes it; a reset if there are unread bytes.
  Reset,         ///< Resets it.
  Shutdown,      ///< Ends its own direction and reads the rest of the request.
  ShutdownReset, ///< Ends its own direction and then resets the connection.
};

/// Bytes that a RawServer sends in response to a request.
struct RawReply {
  std::string Begin_;    ///< Sent once.
  std::string Repeated_; ///< Sent until the connection is closed. If empty, the
                         ///< server ends it.
  RawEnd End_ = RawEnd::Close; ///< How it ends the connection.
  Duration Pause_{0};          ///< Time between the last byte and the end.
};

/// Responds to the first request on each connection with raw bytes.
class RawServer {
public:
  /// \param MakeReply Returns the bytes for the request with an attempt id. It
  /// is called on the server's thread.
  explicit RawServer(
      std::function<RawReply(const std::string &AttemptId)> MakeReply)
      : MakeReply_(std::move(MakeReply)),
        Acceptor_(Thread_.getLoop(),
                  boost::asio::ip::tcp::endpoint(
                      boost::asio::ip::address_v4::loopback(), 0)) {
    Thread_.call([this] { accept(); });
  }

  ~RawServer() { Thread_.stop(); }

  std::string getAddress() const {
    return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  }

  /// \return Number of requests received.
  unsigned getRequests() const { return Requests_; }

private:
  struct Session {
    explicit Session(boost::asio::ip::tcp::socket Socket)
        : Socket_(std::move(Socket)), Timer_(Socket_.get_executor()) {}
    boost::asio::ip::tcp::socket Socket_; ///< Connection to the entry VM.
    boost::asio::steady_timer Timer_;     ///< Ends a pause.
    std::string Input_;                   ///< Bytes of the request.
    RawReply Reply_;                      ///< Bytes of the response.
  };
  using SessionPtr = std::shared_ptr<Session>;

  void accept() {
    Acceptor_.async_accept([this](boost::system::error_code Error,
                                  boost::asio::ip::tcp::socket Socket) {
      if (Error)
        return;
      auto Current = std::make_shared<Session>(std::move(Socket));
      boost::asio::async_read_until(
          Current->Socket_, boost::asio::dynamic_buffer(Current->Input_),
          "\r\n\r\n",
          [this, Current](boost::system::error_code Failed, size_t) {
            if (!Failed)
              respond(Current);
          });
      accept();
    });
  }

  void respond(const SessionPtr &Current) {
    ++Requests_;
    Current->Reply_ = MakeReply_(getAttemptId(Current->Input_));
    // Few large writes take the server little time.
    constexpr size_t ChunkBytes = 65536;
    std::string &Repeated = Current->Reply_.Repeated_;
    if (std::string Once = Repeated; !Once.empty())
      while (Repeated.size() < ChunkBytes)
        Repeated += Once;
    write(Current, Current->Reply_.Begin_);
  }

  static std::string getAttemptId(const std::string &Head) {
    std::string Field = std::string(platform::header::AttemptId) + ": ";
    size_t Begin = Head.find(Field);
    if (Begin == std::string::npos)
      return "";
    Begin += Field.size();
    return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
  }

  void write(const SessionPtr &Current, const std::string &Text) {
    boost::asio::async_write(
        Current->Socket_, boost::asio::buffer(Text),
        [this, Current](boost::system::error_code Error, size_t) {
          if (Error)
            return;
          if (!Current->Reply_.Repeated_.empty())
            write(Current, Current->Reply_.Repeated_);
          else if (Current->Reply_.Pause_ > Duration(0))
            pause(Current);
          else
            end(Current);
        });
  }

  void pause(const SessionPtr &Current) {
    Current->Timer_.expires_after(Current->Reply_.Pause_);
    Current->Timer_.async_wait(
        [this, Current](boost::system::error_code) { end(Current); });
  }

  void end(const SessionPtr &Current) {
    boost::system::error_code Ignored; // The peer may have closed already.
    RawEnd End = Current->Reply_.End_;
    if (End == RawEnd::Shutdown || End == RawEnd::ShutdownReset)
      Current->Socket_.shutdown(boost::asio::socket_base::shutdown_send,
                                Ignored);
    if (End == RawEnd::Reset || End == RawEnd::ShutdownReset)
      Current->Socket_.set_option(boost::asio::socket_base::linger(true, 0),
                                  Ignored);
    if (End == RawEnd::Shutdown)
      readRest(Current);
    else
      Current->Socket_.close(Ignored);
  }

  void readRest(const SessionPtr &Current) {
    constexpr size_t ChunkBytes = 65536;
    Current->Input_.resize(ChunkBytes);
    Current->Socket_.async_read_some(
        boost::asio::buffer(Current->Input_),
        [this, Current](boost::system::error_code Error, size_t) {
          if (!Error)
            readRest(Current);
        });
  }

  std::function<RawReply(const std::string &)> MakeReply_; ///< See RawServer().
  std::atomic<unsigned> Requests_ = 0;      ///< Number of requests received.
  standin::LoopThread Thread_;              ///< Runs all sessions.
  boost::asio::ip::tcp::acceptor Acceptor_; ///< Accepts connections.
};

} // namespace cranberry::test

#endif
