/// \file raw_server_base.h Faulty backend server that sends raw bytes.
#ifndef CRANBERRY_TEST_SUPPORT_RAW_SERVER_BASE_H
#define CRANBERRY_TEST_SUPPORT_RAW_SERVER_BASE_H

#include "platform/wire_names.h"
#include "standin/loop_thread_base.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace cranberry::test {

/// Bytes that a RawServer sends in response to a request.
struct RawReply {
  std::string Begin_;    ///< Sent once.
  std::string Repeated_; ///< Sent until the connection is closed. If empty, the
                         ///< server closes it.
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
        : Socket_(std::move(Socket)) {}
    boost::asio::ip::tcp::socket Socket_; ///< Connection to the entry VM.
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
          if (!Error && !Current->Reply_.Repeated_.empty())
            write(Current, Current->Reply_.Repeated_);
        });
  }

  std::function<RawReply(const std::string &)> MakeReply_; ///< See RawServer().
  std::atomic<unsigned> Requests_ = 0;      ///< Number of requests received.
  standin::LoopThread Thread_;              ///< Runs all sessions.
  boost::asio::ip::tcp::acceptor Acceptor_; ///< Accepts connections.
};

} // namespace cranberry::test

#endif
