/// \file connection_pool.cpp Pool of keep-alive connections to HTTP servers.
#include "net/connection_pool_base.h"

#include "net/ingress_server_base.h"

#include <algorithm>

namespace cranberry {

namespace {

bool isUsable(const ServerConnectionPtr &Connection, Time Now,
              Duration MaxIdle) {
  return Connection->isReusable() && Now < Connection->getIdleDeadline() &&
         Now - Connection->getIdleSince() <= MaxIdle;
}

} // namespace

ServerConnectionPtr ConnectionPool::popIdleConnection(const std::string &Key,
                                                      Duration MaxIdle) {
  auto Found = IdleConnections_.find(Key);
  if (Found == IdleConnections_.end())
    return nullptr;
  std::vector<ServerConnectionPtr> &Idle = Found->second;
  Time Now = getNow();
  while (!Idle.empty()) {
    if (isUsable(Idle.back(), Now, MaxIdle)) {
      ServerConnectionPtr Newest = std::move(Idle.back());
      Idle.pop_back();
      return Newest;
    }
    if (Idle.back()->isReusable())
      return nullptr; // The remaining connections are older.
    Idle.pop_back();
  }
  return nullptr;
}

AttemptHandle ConnectionPool::send(const std::string &Key,
                                   const boost::asio::ip::tcp::endpoint &Server,
                                   AttemptSpec Spec,
                                   AttemptCallback OnComplete) {
  ServerConnectionPtr Connection = popIdleConnection(Key, Spec.MaxIdleTime_);
  bool IsNew = !Connection;
  if (IsNew) {
    ++OpenedCount_;
    Connection = std::make_shared<ServerConnection>(IoContext_);
  }
  std::weak_ptr<ServerConnection> Weak = Connection;
  AttemptCallback ReturnToPool =
      [this, Key, Weak,
       OnComplete = std::move(OnComplete)](AttemptResult Result) {
        ServerConnectionPtr Used = Weak.lock();
        if (Used && Used->isReusable())
          IdleConnections_[Key].push_back(Used);
        OnComplete(std::move(Result));
      };
  if (IsNew)
    Connection->connectAndSend(Server, std::move(Spec),
                               std::move(ReturnToPool));
  else
    Connection->send(std::move(Spec), std::move(ReturnToPool));
  return AttemptHandle(Connection);
}

void ConnectionPool::closeIdle(const std::string &Key) {
  auto Found = IdleConnections_.find(Key);
  if (Found == IdleConnections_.end())
    return;
  for (const ServerConnectionPtr &Connection : Found->second)
    Connection->close();
  IdleConnections_.erase(Found);
}

void ConnectionPool::closeExpired(Time Now) {
  for (auto &[Key, Idle] : IdleConnections_) {
    auto IsOld = [Now](const ServerConnectionPtr &Connection) {
      bool Old = !isUsable(Connection, Now, Duration::max());
      if (Old)
        Connection->close();
      return Old;
    };
    Idle.erase(std::remove_if(Idle.begin(), Idle.end(), IsOld), Idle.end());
  }
  absl::erase_if(IdleConnections_,
                 [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace cranberry
