/// \file vm_discovery_base.h Finds other entry VMs in the store.
#ifndef CRANBERRY_STEERING_VM_DISCOVERY_BASE_H
#define CRANBERRY_STEERING_VM_DISCOVERY_BASE_H

#include "core/time_type.h"
#include "observe/event_log_base.h"
#include "platform/store_client_base.h"
#include "platform/store_type.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace cranberry {

/// Reads the addresses of other entry VMs from the store until heartbeats reach
/// one of them. Those tell of all others, so that later lists only serve groups
/// of VMs that have never met; their total rate doesn't grow with the fleet.
class VmDiscovery {
public:
  /// Called after each list with the addresses of the other entry VMs.
  using Handler = std::function<void(const std::vector<std::string> &Peers)>;

  /// \param Self Peer address of this VM.
  /// \param Seed Seed of the random intervals.
  VmDiscovery(boost::asio::io_context &Loop, platform::StoreClient &Store,
              EventLog &Log, std::string Self, uint64_t Seed, Handler OnList);

  /// Starts with a list at once.
  void start();

  /// \param Members Number of entry VMs that heartbeats know, this one
  /// included.
  void setMemberCount(size_t Members) { Members_ = Members; }

private:
  void requestPage(const std::string &After);
  void handlePage(const platform::StoreResponse &Reply,
                  const std::string &After);
  void finish();
  Duration getInterval();

  platform::StoreClient &Store_;    ///< Calls to the store.
  EventLog &Log_;                   ///< Event log.
  std::string Self_;                ///< Peer address of this VM.
  Handler OnList_;                  ///< See Handler.
  boost::asio::steady_timer Timer_; ///< Timer of the next list.
  std::mt19937_64 Random_;          ///< Draws intervals.
  std::vector<std::string> Peers_;  ///< Addresses listed so far.
  size_t Members_ = 1;              ///< See setMemberCount().
  Duration Interval_{0};            ///< Last interval without contact.
  bool IsFirst_ = true;             ///< Whether no list has succeeded.
};

} // namespace cranberry

#endif
