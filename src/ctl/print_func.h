/// \file print_func.h Prints results as tables for terminals.
#ifndef CRANBERRY_CTL_PRINT_FUNC_H
#define CRANBERRY_CTL_PRINT_FUNC_H

#include "ctl/fleet_status_func.h"

#include <nlohmann/json_fwd.hpp>

#include <ostream>

namespace cranberry {

/// Prints an error object of the API with its code, field and reason.
void printError(std::ostream &Out, const nlohmann::json &Error);
/// Prints one object with its specification as JSON.
void printObject(std::ostream &Out, const nlohmann::json &Object);
/// Prints a list of objects as a table.
void printObjects(std::ostream &Out, const nlohmann::json &List);
/// Prints one change of a watch on one line.
void printChange(std::ostream &Out, const nlohmann::json &Change);
/// Prints the entry VMs and server owners that serve a client.
void printExplanation(std::ostream &Out, const nlohmann::json &Explanation);
/// Prints entry VMs, slot usage, drains and problems.
void printFleetStatus(std::ostream &Out, const FleetStatus &Fleet);

} // namespace cranberry

#endif
