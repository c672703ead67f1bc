// Reads of the store through another host.
//
//   const std::string peer = PeerToAsk(self, hosts, avoided, now);
//   ReadChanges({&pool, peer}, table, after, wait, deadline);
//
// Load pattern: the store turns some hosts away for many seconds while it
// serves the others. What changed meanwhile has to be in force everywhere, and
// may be longer than a message between hosts. A host that the store does not
// answer sends its question to one that the store answers, which passes it on
// and returns the store's answer as it is.
#ifndef ROSEMARYHOOK_PEER_READS_H_
#define ROSEMARYHOOK_PEER_READS_H_

#include <map>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Address for such reads of a host that is heard and that the store answers;
// empty if there is none. Hosts that ask spread over all that can answer. A
// host that does not read itself may not know that the store turns it away, so
// once one failed, those are asked that passed on lately what they had read.
// `avoided`: addresses that failed, and until when they are left alone.
std::string PeerToAsk(const std::string& self,
                      const std::map<std::string, PeerHost>& hosts,
                      const std::map<std::string, Time>& avoided,
                      Time now);

// Whether `request` is another host's read of the store.
bool IsPeerRead(const HttpRequest& request);

// Answers it with what the store says. 503 while the store does not answer this
// host either.
awaitable<void> AnswerPeerRead(std::shared_ptr<DirectDaemon> daemon,
                               const HttpRequest& request,
                               HttpReply& reply);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_PEER_READS_H_
