/// \file command_table.h Name, arguments and help of each command.
#ifndef CRANBERRY_CTL_TABLE_COMMAND_TABLE_H
#define CRANBERRY_CTL_TABLE_COMMAND_TABLE_H

#include "ctl/command_type.h"

namespace cranberry {

/// One command.
struct CommandRow {
  Command Command_;        ///< Command.
  const char *Name_;       ///< Word on the command line.
  unsigned ArgumentCount_; ///< Number of words that must follow.
  bool NeedsFile_;         ///< Whether --file must be given.
  bool NeedsEndpoint_;     ///< Whether it calls an entry VM.
  const char *Usage_;      ///< Arguments for the help text.
  const char *Help_;       ///< One line of help.
};

// clang-format off
inline constexpr CommandRow CommandTable[] = {
    {Command::Apply, "apply", 0, true, true, "--file FILE [--version N]", "write the objects of a file"},
    {Command::Get, "get", 2, false, true, "KIND NAME", "print one object"},
    {Command::List, "list", 1, false, true, "KIND", "print all objects of a kind"},
    {Command::Delete, "delete", 2, false, true, "KIND NAME [--version N]", "delete an object"},
    {Command::Watch, "watch", 0, false, true, "[--wait SECONDS]", "print changes as they come"},
    {Command::Status, "status", 0, false, true, "", "regions, headroom, drains, versions, problems"},
    {Command::Drain, "drain", 2, false, true, "server|vm NAME [--wait SECONDS]", "drain and show progress"},
    {Command::Undrain, "undrain", 2, false, true, "server|vm NAME", "end a drain"},
    {Command::Validate, "validate", 0, true, true, "--file FILE", "check the objects of a file"},
    {Command::Explain, "explain", 2, false, true, "SERVICE CLIENT", "why requests go where they go"},
    {Command::ExplainRequest, "explain", 1, false, false, "REQUEST [--file LOG]", "what became of a request, from a log or standard input"},
};
// clang-format on

} // namespace cranberry

#endif
