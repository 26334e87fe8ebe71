/// \file child_process.cpp Child process of a demo or a test.
#include "standin/child_process_base.h"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace cranberry::standin {

ChildProcess::ChildProcess(const std::vector<std::string> &Arguments,
                           const std::string &LogPath,
                           const std::string &OutputPath) {
  int Pipe[2];
  if (pipe2(Pipe, O_CLOEXEC) != 0)
    throw std::runtime_error("can't create a pipe");
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  if (OutputPath.empty())
    posix_spawn_file_actions_adddup2(&Actions, Pipe[1], STDOUT_FILENO);
  else
    posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO,
                                     OutputPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_addopen(
      &Actions, STDERR_FILENO, LogPath.empty() ? "/dev/null" : LogPath.c_str(),
      O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<char *> Argv;
  Argv.reserve(Arguments.size() + 1);
  for (const std::string &Argument : Arguments)
    Argv.push_back(const_cast<char *>(Argument.c_str()));
  Argv.push_back(nullptr);
  int Error =
      posix_spawn(&Pid_, Argv[0], &Actions, nullptr, Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  close(Pipe[1]);
  Output_ = Pipe[0];
  if (Error != 0)
    throw std::runtime_error("can't start " + Arguments[0]);
}

ChildProcess::~ChildProcess() {
  if (!Ended_) {
    signal(SIGKILL);
    wait();
  }
  close(Output_);
}

bool ChildProcess::waitReady() {
  std::string Line;
  char C = 0;
  while (read(Output_, &C, 1) == 1) {
    if (C != '\n') {
      Line += C;
      continue;
    }
    if (Line.starts_with("ready")) {
      std::istringstream Words(Line);
      for (std::string Word; Words >> Word;)
        if (size_t Equals = Word.find('='); Equals != std::string::npos)
          Fields_[Word.substr(0, Equals)] = Word.substr(Equals + 1);
      return true;
    }
    Line.clear();
  }
  return false;
}

std::string ChildProcess::getField(const std::string &Name) const {
  auto Found = Fields_.find(Name);
  return Found == Fields_.end() ? "" : Found->second;
}

size_t ChildProcess::getPeakMemory() const {
  std::ifstream File("/proc/" + std::to_string(Pid_) + "/status");
  std::string Field;
  while (File >> Field)
    if (size_t Size = 0; Field == "VmHWM:" && File >> Size)
      return Size;
  return 0;
}

void ChildProcess::signal(int Number) const {
  if (!Ended_)
    kill(Pid_, Number);
}

int ChildProcess::wait() {
  if (Ended_)
    return Status_;
  int Raw = 0;
  waitpid(Pid_, &Raw, 0);
  Ended_ = true;
  Status_ = WIFEXITED(Raw) ? WEXITSTATUS(Raw) : -WTERMSIG(Raw);
  return Status_;
}

bool ChildProcess::isRunning() {
  int Raw = 0;
  if (Ended_ || waitpid(Pid_, &Raw, WNOHANG) != Pid_)
    return !Ended_;
  Ended_ = true;
  Status_ = WIFEXITED(Raw) ? WEXITSTATUS(Raw) : -WTERMSIG(Raw);
  return false;
}

} // namespace cranberry::standin
