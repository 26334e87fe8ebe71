/// \file child_process_base.h Child process of a demo or a test.
#ifndef CRANBERRY_STANDIN_CHILD_PROCESS_BASE_H
#define CRANBERRY_STANDIN_CHILD_PROCESS_BASE_H

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cranberry::standin {

/// A child process that prints a line "ready name=value ..." once it serves.
class ChildProcess {
public:
  /// \param Arguments Program and arguments.
  /// \param LogPath File to append standard error to; empty to discard it.
  /// \param OutputPath File to append standard output to; empty to pipe it to
  /// waitReady().
  ChildProcess(const std::vector<std::string> &Arguments,
               const std::string &LogPath, const std::string &OutputPath = "");

  /// Kills the process if it is still running.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Waits for the line "ready ..." and reads its fields.
  /// \return Whether the line was read before the end of output.
  bool waitReady();

  /// \return Value of a field of the ready line; empty if absent.
  std::string getField(const std::string &Name) const;

  void signal(int Number) const;

  int getPid() const { return Pid_; }

  /// \return Largest resident memory so far, in KiB; 0 if it isn't running.
  size_t getPeakMemory() const;

  /// Waits for the process to exit.
  /// \return Exit status, or the negated number of the terminating signal.
  int wait();

  /// \return Whether the process is still running.
  bool isRunning();

private:
  pid_t Pid_ = -1;     ///< Process id.
  int Output_ = -1;    ///< Read end of the output pipe.
  bool Ended_ = false; ///< Whether it exited and was reaped.
  int Status_ = 0;     ///< Result of wait().
  std::map<std::string, std::string> Fields_; ///< Fields of the ready line.
};

} // namespace cranberry::standin

#endif
