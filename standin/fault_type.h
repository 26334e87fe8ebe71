/// \file fault_type.h Faults that a stand-in can be switched to.
#ifndef CRANBERRY_STANDIN_FAULT_TYPE_H
#define CRANBERRY_STANDIN_FAULT_TYPE_H

#include "core/time_type.h"

namespace cranberry::standin {

/// Faults of the platform.
struct PlatformFaults {
  bool Down_ = false;       ///< Calls get no answer.
  Duration Delay_{0};       ///< Added to every answer.
  unsigned LoseWrites_ = 0; ///< Next writes that work but are not answered.
  unsigned DropWrites_ = 0; ///< Next writes that are lost before they work.
  Duration ReadLag_{0};     ///< Age of what reads return.
};

/// Faults of a backend server.
struct ServerFaults {
  double SlowFactor_ = 1.0;   ///< Multiplies every service time.
  bool Draining_ = false;     ///< Health says so; new work is refused.
  bool HidesDrain_ = false;   ///< Whether new work is taken all the same.
  bool HealthDown_ = false;   ///< Health endpoint says nothing.
  unsigned LoseAnswers_ = 0;  ///< Next requests that run but are not answered.
  unsigned CrossAnswers_ = 0; ///< Next answers that carry another's id.
};

/// What a link does with bytes.
enum class LinkMode : uint8_t {
  Pass,   ///< Delivers them.
  Cut,    ///< Closes connections and refuses new ones.
  Silent, ///< Accepts connections but delivers nothing on any.
  Stuck,  ///< Delivers nothing on old connections; new ones pass.
};

} // namespace cranberry::standin

#endif
