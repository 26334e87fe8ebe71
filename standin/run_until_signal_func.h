/// \file run_until_signal_func.h Runs a process until SIGTERM or SIGINT.
#ifndef CRANBERRY_STANDIN_RUN_UNTIL_SIGNAL_FUNC_H
#define CRANBERRY_STANDIN_RUN_UNTIL_SIGNAL_FUNC_H

#include <csignal>
#include <pthread.h>

namespace cranberry::standin {

/// \return Signals that request a stop: SIGTERM and SIGINT.
inline sigset_t getStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

/// Blocks the stop signals and ignores SIGPIPE. Must be called before any
/// thread starts, so that all threads inherit the mask.
inline void blockSignals() {
  sigset_t Signals = getStopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

/// Blocks until SIGTERM or SIGINT arrives. Requires blockSignals().
inline void waitForSignal() {
  sigset_t Signals = getStopSignals();
  int Number = 0;
  sigwait(&Signals, &Number);
}

} // namespace cranberry::standin

#endif
