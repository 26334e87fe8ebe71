/// \file link_base.h Stand-in for a network link between two ends.
#ifndef CRANBERRY_STANDIN_LINK_BASE_H
#define CRANBERRY_STANDIN_LINK_BASE_H

#include "core/time_type.h"
#include "standin/fault_type.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cranberry::standin {

/// A TCP relay to one address that can be cut, delayed and silenced.
class Link {
public:
  /// \param Target "address:port" to relay to.
  explicit Link(std::string Target = "");
  ~Link();

  /// \return "address:port" to connect to.
  const std::string &getAddress() const { return Address_; }

  /// \name Switches and counts; safe from any thread.
  /// @{
  void setTarget(const std::string &Target);
  void setMode(LinkMode Mode);
  void setDelay(Duration Delay) { DelayMicros_ = Delay.count(); }
  uint64_t getBytes() const { return Bytes_; }
  /// @}

private:
  struct Chunk {
    Time Due_;         ///< When it is delivered.
    std::string Data_; ///< Bytes.
  };
  struct Flow {
    int Near_ = -1;          ///< Socket of the end that connected.
    int Far_ = -1;           ///< Socket to the target.
    std::deque<Chunk> Out_;  ///< Towards the target.
    std::deque<Chunk> Back_; ///< Towards the end that connected.
    bool Stuck_ = false;     ///< Delivers nothing any more.
    bool NearEnded_ = false; ///< Near end has closed its side.
    bool FarEnded_ = false;  ///< Far end has closed its side.
  };

  void run();
  void accept();
  bool pump(Flow &F, Time Now);
  bool readInto(int Socket, std::deque<Chunk> &Queue, bool &Ended, Time Now);
  bool deliver(int Socket, std::deque<Chunk> &Queue, Time Now);
  static void closeFlow(Flow &F);

  std::mutex Mutex_;                           ///< Guards Target_.
  std::string Target_;                         ///< Where to relay to.
  std::string Address_;                        ///< As bound.
  int Listen_ = -1;                            ///< Listening socket.
  std::vector<std::unique_ptr<Flow>> Flows_;   ///< Open connections.
  std::atomic<LinkMode> Mode_{LinkMode::Pass}; ///< Current mode.
  std::atomic<bool> MarkStuck_{false};  ///< Old connections are to be stuck.
  std::atomic<int64_t> DelayMicros_{0}; ///< One-way delay.
  std::atomic<uint64_t> Bytes_{0};      ///< Bytes delivered.
  std::atomic<bool> Stopping_{false};   ///< Ends the thread.
  std::thread Thread_;                  ///< Relays.
};

} // namespace cranberry::standin

#endif
