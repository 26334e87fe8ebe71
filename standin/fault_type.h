/// \file fault_type.h Faults that stand-ins inject.
#ifndef CRANBERRY_STANDIN_FAULT_TYPE_H
#define CRANBERRY_STANDIN_FAULT_TYPE_H

#include "core/time_type.h"

namespace cranberry::standin {

/// Faults that the platform stand-in injects.
struct PlatformFaults {
  bool Down_ = false; ///< Calls get no response.
  Duration Delay_{0}; ///< Delay added to every response.
  unsigned LoseWrites_ =
      0; ///< Number of next writes to apply without a response.
  unsigned DropWrites_ =
      0; ///< Number of next writes to discard without a response.
  Duration ReadLag_{0}; ///< Age of the state that watches return.
};

/// Faults that a backend server stand-in injects.
struct ServerFaults {
  double SlowFactor_ = 1.0; ///< Multiplies every service time.
  bool Draining_ = false;   ///< Reported by /health; new requests are refused.
  bool HidesDrain_ = false; ///< Accepts new requests while draining.
  bool HealthDown_ = false; ///< /health does not respond.
  unsigned LoseResponses_ =
      0; ///< Number of next requests to run without a response.
  unsigned SwapResponses_ =
      0; ///< Number of next responses with another request's id.
};

/// How a link treats connections and data.
enum class LinkMode : uint8_t {
  Pass,   ///< Relays data.
  Cut,    ///< Closes connections and refuses new ones.
  Silent, ///< Accepts connections but relays nothing on any.
  Stuck,  ///< Stalls existing connections; relays on new ones.
  /// Stalls existing connections on which a response is awaited.
  StuckWaiting,
  Flood, ///< Responds to data with a body without an end.
};

} // namespace cranberry::standin

#endif
