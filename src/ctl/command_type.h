/// \file command_type.h Commands and exit codes of the command-line tool.
#ifndef CRANBERRY_CTL_COMMAND_TYPE_H
#define CRANBERRY_CTL_COMMAND_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace cranberry {

/// What the tool is asked to do.
enum class Command : uint8_t {
  Apply,          ///< Writes the objects of a file.
  Get,            ///< Prints one object.
  List,           ///< Prints all objects of a kind.
  Delete,         ///< Deletes an object.
  Watch,          ///< Prints changes as they come.
  Status,         ///< Prints the state of the fleet.
  Drain,          ///< Drains a server or entry VM, with progress.
  Undrain,        ///< Ends a drain.
  Validate,       ///< Checks the objects of a file without writing.
  Explain,        ///< Says why a client's requests go where they go.
  ExplainRequest, ///< Says from logs what became of a request.
};

/// Exit codes.
enum class ExitCode : uint8_t {
  Ok = 0,           ///< Done.
  Refused = 1,      ///< Refused; nothing was changed by the refused part.
  Usage = 2,        ///< Command line or file is wrong.
  Unreachable = 3,  ///< No entry VM answered.
  Conflict = 4,     ///< Another write came first.
  Unknown = 5,      ///< The write may have taken effect.
  WaitTimedOut = 6, ///< A wait ended before its condition was met.
};

/// A command line that was read.
struct Invocation {
  Command Command_ = Command::Status;  ///< Command.
  std::vector<std::string> Arguments_; ///< Words after the command.
  std::string Endpoint_;               ///< "address:port" of an entry VM.
  std::string File_;                   ///< File with objects; "-" is stdin.
  std::string ExpectedVersion_;        ///< Version that must be there.
  unsigned WaitSeconds_ = 60;          ///< Longest wait of drain and watch.
  bool IsJson_ = false;                ///< JSON in place of tables.
};

} // namespace cranberry

#endif
