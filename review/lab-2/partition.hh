/// \file partition.hh The ways between entry VMs, which a partition cuts.
#pragma once

#include "review/lab-2/lab.hh"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace lab {

/// Relays the connections to the peer port of each entry VM. During a partition
/// those between its two sides hang: what is sent on them stays on the way.
class Partition {
public:
  explicit Partition(Lab &To) : Lab_(To) {
    for (size_t Vm = 0; Vm < Lab_.fleet().getVmCount(); ++Vm) {
      int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in Bound = makeAddress("127.0.0.1:0");
      socklen_t Length = sizeof Bound;
      if (bind(Socket, reinterpret_cast<sockaddr *>(&Bound), Length) != 0 ||
          listen(Socket, 128) != 0 ||
          getsockname(Socket, reinterpret_cast<sockaddr *>(&Bound), &Length) !=
              0)
        throw std::runtime_error("no port");
      Listen_.push_back(Socket);
      Addresses_.push_back("127.0.0.1:" + std::to_string(ntohs(Bound.sin_port)));
    }
  }

  ~Partition() {
    Stopping_ = true;
    if (Thread_.joinable())
      Thread_.join();
    for (Way &Each : Ways_)
      close(Each);
    for (int Socket : Listen_)
      ::close(Socket);
  }

  /// \return Peer address of an entry VM as the others are to see it.
  const std::string &getAddress(size_t Vm) const { return Addresses_[Vm]; }

  /// Starts to relay. All entry VMs have to run, as they are told apart by
  /// their process ids.
  void start() {
    Thread_ = std::thread([this] { run(); });
  }

  /// \param Vms Number of the first entry VMs, which are cut off from the rest;
  /// 0 for none.
  void cutFirst(size_t Vms) { CutFirst_ = Vms; }

private:
  struct Way {
    int Near_ = -1;   ///< To the entry VM that connected.
    int Far_ = -1;    ///< To the entry VM that is asked.
    size_t From_ = 0; ///< The former.
    size_t To_ = 0;   ///< The latter.
  };

  static sockaddr_in makeAddress(const std::string &Text) {
    sockaddr_in Result{};
    size_t Colon = Text.find(':');
    Result.sin_family = AF_INET;
    inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Result.sin_addr);
    Result.sin_port = htons(std::atoi(Text.c_str() + Colon + 1));
    return Result;
  }

  static void close(Way &Each) {
    if (Each.Near_ >= 0)
      ::close(Each.Near_);
    if (Each.Far_ >= 0)
      ::close(Each.Far_);
    Each.Near_ = Each.Far_ = -1;
  }

  bool isCut(const Way &Each) const {
    size_t First = CutFirst_;
    return (Each.From_ < First) != (Each.To_ < First);
  }

  /// \return The entry VM whose process has the socket at local \p Port.
  std::optional<size_t> findVm(unsigned Port) {
    std::ifstream Table("/proc/net/tcp");
    std::string Inode;
    char Wanted[16];
    std::snprintf(Wanted, sizeof Wanted, "0100007F:%04X", Port);
    for (std::string Line; Inode.empty() && std::getline(Table, Line);) {
      std::istringstream Words(Line);
      std::vector<std::string> Word;
      for (std::string Each; Words >> Each;)
        Word.push_back(Each);
      if (Word.size() > 9 && Word[1] == Wanted)
        Inode = "socket:[" + Word[9] + "]";
    }
    for (size_t Vm = 0; Vm < Listen_.size(); ++Vm) {
      std::error_code Failed;
      std::string Folder = absl::StrCat(
          "/proc/", Lab_.fleet().vm(Vm).Process_->getPid(), "/fd");
      for (const auto &Each :
           std::filesystem::directory_iterator(Folder, Failed))
        if (std::filesystem::read_symlink(Each.path(), Failed) == Inode)
          return Vm;
    }
    return std::nullopt;
  }

  void accept(size_t To) {
    sockaddr_in Peer{};
    socklen_t Length = sizeof Peer;
    Way Next;
    Next.To_ = To;
    Next.Near_ = accept4(Listen_[To], reinterpret_cast<sockaddr *>(&Peer),
                         &Length, SOCK_CLOEXEC);
    if (Next.Near_ < 0)
      return;
    std::optional<size_t> From = findVm(ntohs(Peer.sin_port));
    sockaddr_in Target = makeAddress(Lab_.fleet().vm(To).Peer_.getAddress());
    Next.Far_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!From || connect(Next.Far_, reinterpret_cast<sockaddr *>(&Target),
                         sizeof Target) != 0) {
      close(Next);
      return;
    }
    Next.From_ = *From;
    Ways_.push_back(Next);
  }

  static bool pass(int From, int To) {
    char Buffer[65536];
    ssize_t Count = recv(From, Buffer, sizeof Buffer, 0);
    for (ssize_t Done = 0; Done < Count;) {
      ssize_t Sent = ::send(To, Buffer + Done, Count - Done, MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Done += Sent;
    }
    return Count > 0;
  }

  void run() {
    while (!Stopping_) {
      std::vector<pollfd> Set;
      for (int Socket : Listen_)
        Set.push_back({Socket, POLLIN, 0});
      for (const Way &Each : Ways_) {
        bool IsOff = isCut(Each);
        Set.push_back({IsOff ? -1 : Each.Near_, POLLIN, 0});
        Set.push_back({IsOff ? -1 : Each.Far_, POLLIN, 0});
      }
      poll(Set.data(), Set.size(), 5);
      size_t At = Listen_.size();
      for (Way &Each : Ways_) {
        bool IsOpen = (!Set[At].revents || pass(Each.Near_, Each.Far_)) &&
                      (!Set[At + 1].revents || pass(Each.Far_, Each.Near_));
        At += 2;
        if (!IsOpen)
          close(Each);
      }
      std::erase_if(Ways_, [](const Way &Each) { return Each.Near_ < 0; });
      for (size_t To = 0; To < Listen_.size(); ++To)
        if (Set[To].revents)
          accept(To);
    }
  }

  Lab &Lab_;                           ///< Fleet.
  std::vector<int> Listen_;            ///< Listening sockets, by entry VM.
  std::vector<std::string> Addresses_; ///< See getAddress().
  std::vector<Way> Ways_;              ///< Open connections.
  std::atomic<size_t> CutFirst_{0};    ///< See cutFirst().
  std::atomic<bool> Stopping_{false};  ///< Ends the thread.
  std::thread Thread_;                 ///< Runs the relay.
};

} // namespace lab
