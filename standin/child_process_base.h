/// \file child_process_base.h Starts and signals what a demo or test runs.
#ifndef CRANBERRY_STANDIN_CHILD_PROCESS_BASE_H
#define CRANBERRY_STANDIN_CHILD_PROCESS_BASE_H

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cranberry::standin {

/// A process that prints one line "ready name=value ..." once it serves.
class ChildProcess {
public:
  /// \param Arguments Program and arguments.
  /// \param LogPath Where its error output goes; empty for nowhere.
  /// \param OutputPath Where its output goes; empty for waitReady().
  ChildProcess(const std::vector<std::string> &Arguments,
               const std::string &LogPath, const std::string &OutputPath = "");

  /// Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Waits for the line "ready ..." and reads its fields.
  /// \return Whether the line came before the output ended.
  bool waitReady();

  /// \return Value of a field of the ready line, or "".
  std::string getField(const std::string &Name) const;

  void signal(int Number) const;

  int getPid() const { return Pid_; }

  /// Waits for the end.
  /// \return Exit status, or minus the signal that ended it.
  int wait();

  /// \return Whether the process has not ended.
  bool isRunning();

private:
  pid_t Pid_ = -1;                            ///< Process.
  int Output_ = -1;                           ///< Read end of its output.
  bool Ended_ = false;                        ///< Whether it was waited for.
  int Status_ = 0;                            ///< As wait() returns it.
  std::map<std::string, std::string> Fields_; ///< Of the ready line.
};

} // namespace cranberry::standin

#endif
