// Sends datagrams to other hosts and logs what was sent.
#ifndef ROSEMARYHOOK_DIRECT_DATAGRAMS_H_
#define ROSEMARYHOOK_DIRECT_DATAGRAMS_H_

#include <memory>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Sends an encoded message of `kind`. A datagram that cannot be sent now counts
// as lost; it is not sent again.
void SendDatagram(const std::string& address,
                  DatagramKind kind,
                  const std::string& bytes,
                  DirectDaemon* daemon);

// Starts the coroutine that logs the account of traffic at intervals.
void StartTrafficLog(const std::shared_ptr<DirectDaemon>& daemon);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_DIRECT_DATAGRAMS_H_
