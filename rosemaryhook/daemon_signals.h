// Signals that a daemon may get before it handles them.
//
//   HoldSignals();     // first in main
//   ...                // install handlers
//   ReleaseSignals();  // what came meanwhile is handled now
#ifndef ROSEMARYHOOK_DAEMON_SIGNALS_H_
#define ROSEMARYHOOK_DAEMON_SIGNALS_H_

namespace rosemaryhook {

void HoldSignals();
void ReleaseSignals();

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DAEMON_SIGNALS_H_
