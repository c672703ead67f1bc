// SIGHUP says that the settings have changed. It is blocked rather than ignored
// until it has a handler, so that it is not lost. SIGTERM and SIGINT keep their
// default action until then: nothing has been begun that needs an orderly end.
#include "rosemaryhook/daemon_signals.h"

#include <csignal>
#include <initializer_list>

namespace rosemaryhook {
namespace {

void ChangeMask(int how) {
  sigset_t held;
  sigemptyset(&held);
  sigaddset(&held, SIGHUP);
  sigprocmask(how, &held, nullptr);
}

}  // namespace

void HoldSignals() {
  ChangeMask(SIG_BLOCK);
  // These have no meaning for a daemon and would end it.
  for (const int signal : {SIGPIPE, SIGUSR1, SIGUSR2}) {
    std::signal(signal, SIG_IGN);
  }
}

void ReleaseSignals() {
  ChangeMask(SIG_UNBLOCK);
}

}  // namespace rosemaryhook
