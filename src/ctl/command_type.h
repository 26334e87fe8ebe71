/// \file command_type.h Commands and exit codes of the command-line tool.
#ifndef CRANBERRY_CTL_COMMAND_TYPE_H
#define CRANBERRY_CTL_COMMAND_TYPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace cranberry {

/// Commands of the tool.
enum class Command : uint8_t {
  Apply,          ///< Writes the objects in a file.
  Get,            ///< Prints one object.
  List,           ///< Prints all objects of a kind.
  Delete,         ///< Deletes an object.
  Watch,          ///< Prints object changes as they occur.
  Status,         ///< Prints the status of all entry VMs.
  Drain,          ///< Drains a server or entry VM and shows progress.
  Undrain,        ///< Ends a drain.
  Validate,       ///< Checks the objects in a file without writing.
  Explain,        ///< Explains the routing of a client's requests.
  ExplainRequest, ///< Explains the result of a request from logs.
};

/// Exit codes of the tool; scripts depend on the numbers.
enum class ExitCode : uint8_t {
  Ok = 0,           ///< The command succeeded.
  Refused = 1,      ///< Rejected; the rejected request had no effect.
  Usage = 2,        ///< The command line or the file is invalid.
  Unreachable = 3,  ///< No entry VM responded.
  Conflict = 4,     ///< Another write came first; nothing was written.
  Unknown = 5,      ///< The write may have taken effect.
  WaitTimedOut = 6, ///< The wait timed out.
};

/// Parsed command line.
struct Invocation {
  Command Command_ = Command::Status;  ///< Command to run.
  std::vector<std::string> Arguments_; ///< Arguments of the command.
  std::string Endpoint_;               ///< Entry VM to call, "address:port".
  std::string File_;                   ///< Objects or log; "-" is stdin.
  std::string ExpectedVersion_;        ///< Version required for a write.
  unsigned WaitSeconds_ = 60;          ///< Timeout of drain and watch.
  bool IsJson_ = false;                ///< Whether to print JSON.
};

} // namespace cranberry

#endif
