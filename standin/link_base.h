/// \file link_base.h Network link with fault injection.
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

/// A TCP relay to one address that can drop connections, delay data and stall.
class Link {
public:
  /// \param Target "address:port" to relay to.
  explicit Link(std::string Target = "");
  ~Link();

  /// \return "address:port" on which the link listens.
  const std::string &getAddress() const { return Address_; }

  /// \name Fault injection and counters; safe to call from any thread.
  /// @{
  void setTarget(const std::string &Target);
  void setMode(LinkMode Mode);
  void setDelay(Duration Delay) { DelayMicros_ = Delay.count(); }

  /// Stalls each connection on which the connecting side sends \p Text at a
  /// time, and so tells callers apart. With an empty text no further one.
  void setStalledText(const std::string &Text);
  uint64_t getBytes() const { return Bytes_; }
  /// @}

private:
  struct Chunk {
    Time Due_;         ///< Time of delivery.
    std::string Data_; ///< Data not yet delivered.
  };
  struct Flow {
    int Near_ = -1;          ///< Socket of the connecting side.
    int Far_ = -1;           ///< Socket to the target.
    std::deque<Chunk> Out_;  ///< Data for the target.
    std::deque<Chunk> Back_; ///< Data for the connecting side.
    bool IsFlooded_ = false; ///< Whether the response without an end began.
    bool Stuck_ = false;     ///< Whether it is stalled for good.
    bool IsWaiting_ = false; ///< Whether the connecting side awaits a response.
    bool NearEnded_ = false; ///< Connecting side has closed.
    bool FarEnded_ = false;  ///< Target has closed.
  };

  void run();
  void accept();
  bool relay(Flow &F, Time Now);
  bool hasStalledText(const std::deque<Chunk> &Data);
  bool readInto(int Socket, std::deque<Chunk> &Queue, bool &Ended, Time Now);
  bool deliver(int Socket, std::deque<Chunk> &Queue, Time Now);
  static void flood(Flow &F, Time Now);
  static void closeFlow(Flow &F);

  std::mutex Mutex_;                           ///< Guards the next two.
  std::string Target_;                         ///< "address:port" to relay to.
  std::string StalledText_;                    ///< See setStalledText().
  std::string Address_;                        ///< Listening address.
  int Listen_ = -1;                            ///< Listening socket.
  std::vector<std::unique_ptr<Flow>> Flows_;   ///< Open connections.
  std::atomic<LinkMode> Mode_{LinkMode::Pass}; ///< Current mode.
  std::atomic<bool> MarkStuck_{false};   ///< Existing connections are to stall.
  std::atomic<bool> MarkWaiting_{false}; ///< The same if a response is awaited.
  std::atomic<int64_t> DelayMicros_{0};  ///< One-way delay, microseconds.
  std::atomic<uint64_t> Bytes_{0};       ///< Number of bytes delivered.
  std::atomic<bool> Stopping_{false};    ///< Ends the thread.
  std::thread Thread_;                   ///< Runs the relay loop.
};

} // namespace cranberry::standin

#endif
