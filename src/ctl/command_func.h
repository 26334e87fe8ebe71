/// \file command_func.h Carries out the commands of the command-line tool.
#ifndef CRANBERRY_CTL_COMMAND_FUNC_H
#define CRANBERRY_CTL_COMMAND_FUNC_H

#include "ctl/command_type.h"

namespace cranberry {

/// Runs a command; prints results to standard output and errors to standard
/// error, each with its numbered code.
ExitCode runCommand(const Invocation &Call);

} // namespace cranberry

#endif
