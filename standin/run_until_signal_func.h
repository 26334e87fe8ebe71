/// \file run_until_signal_func.h Ends a stand-in's process on SIGTERM.
#ifndef CRANBERRY_STANDIN_RUN_UNTIL_SIGNAL_FUNC_H
#define CRANBERRY_STANDIN_RUN_UNTIL_SIGNAL_FUNC_H

#include <csignal>
#include <pthread.h>

namespace cranberry::standin {

inline sigset_t getStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

/// Called before any thread starts, so that all threads inherit the mask.
inline void blockSignals() {
  sigset_t Signals = getStopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

/// Waits for SIGTERM or SIGINT.
inline void waitForSignal() {
  sigset_t Signals = getStopSignals();
  int Number = 0;
  sigwait(&Signals, &Number);
}

} // namespace cranberry::standin

#endif
