/// \file print_func.h Tables for terminals.
#ifndef CRANBERRY_CTL_PRINT_FUNC_H
#define CRANBERRY_CTL_PRINT_FUNC_H

#include "ctl/fleet_status_func.h"

#include <nlohmann/json_fwd.hpp>

#include <ostream>

namespace cranberry {

void printError(std::ostream &Out, const nlohmann::json &Error);
void printObject(std::ostream &Out, const nlohmann::json &Object);
void printObjects(std::ostream &Out, const nlohmann::json &List);
void printChange(std::ostream &Out, const nlohmann::json &Change);
void printExplanation(std::ostream &Out, const nlohmann::json &Explanation);
void printFleetStatus(std::ostream &Out, const FleetStatus &Fleet);

} // namespace cranberry

#endif
