/// \file command_func.h Runs the commands of the command-line tool.
#ifndef CRANBERRY_CTL_COMMAND_FUNC_H
#define CRANBERRY_CTL_COMMAND_FUNC_H

#include "ctl/command_type.h"

namespace cranberry {

/// Runs a command. Results are printed to standard output, errors with their
/// numeric code to standard error.
/// \return Exit code of the process.
ExitCode runCommand(const Invocation &Call);

} // namespace cranberry

#endif
