/// \file division_cost_func.h Cost of servers outside of the assigned region.
#ifndef CRANBERRY_REQUEST_DIVISION_COST_FUNC_H
#define CRANBERRY_REQUEST_DIVISION_COST_FUNC_H

#include "request/object_placement_base.h"

namespace cranberry {

/// Ranks a server of another region than the assigned one as if one more server
/// were preferred to it: the object is cached in the assigned region.
/// \param Assigned Region that is to run the request; nullptr if the request
/// isn't divided.
PreferredServer rankByDivision(const PreferredServer &Server,
                               const std::string *Assigned);

/// \return Cost of the transfer to a server, expressed as latency.
Duration getTransferCost(const BackendServerConfig &Server,
                         DivisionPlace Place);

} // namespace cranberry

#endif
