/// \file command_table.h Name, arguments and help of each command.
#ifndef CRANBERRY_CTL_TABLE_COMMAND_TABLE_H
#define CRANBERRY_CTL_TABLE_COMMAND_TABLE_H

#include "ctl/command_type.h"

namespace cranberry {

/// Command of the tool.
struct CommandRow {
  Command Command_;        ///< Command to run.
  const char *Name_;       ///< Name on the command line.
  unsigned ArgumentCount_; ///< Required number of arguments.
  bool NeedsFile_;         ///< Whether --file must be given.
  bool NeedsEndpoint_;     ///< Whether an endpoint must be given.
  const char *Usage_;      ///< Arguments for the help text.
  const char *Help_;       ///< One line of help.
};

// clang-format off
inline constexpr CommandRow CommandTable[] = {
    {Command::Apply, "apply", 0, true, true, "--file FILE [--version N]", "write the objects in a file"},
    {Command::Get, "get", 2, false, true, "KIND NAME", "print one object"},
    {Command::List, "list", 1, false, true, "KIND", "print all objects of a kind"},
    {Command::Delete, "delete", 2, false, true, "KIND NAME [--version N]", "delete an object"},
    {Command::Watch, "watch", 0, false, true, "[--wait SECONDS]", "print object changes as they occur"},
    {Command::Status, "status", 0, false, true, "", "show regions, headroom, drains, versions and problems"},
    {Command::Drain, "drain", 2, false, true, "server|vm NAME [--wait SECONDS]", "drain a server or entry VM and show progress"},
    {Command::Undrain, "undrain", 2, false, true, "server|vm NAME", "end a drain"},
    {Command::Validate, "validate", 0, true, true, "--file FILE", "check the objects in a file without writing"},
    {Command::Explain, "explain", 2, false, true, "SERVICE CLIENT", "explain the routing of a client's requests"},
    {Command::ExplainRequest, "explain", 1, false, false, "REQUEST [--file LOG]", "explain the result of a request from a log or standard input"},
};
// clang-format on

} // namespace cranberry

#endif
