// Reads of the store that another host forwards.
//
//   const std::string peer = ChooseReadPeer(self, hosts, avoided, now);
//   ReadChanges({&pool, peer}, table, after, wait, deadline);
//
// Load pattern: the store refuses some hosts for many seconds while it serves
// the others. Changes made meanwhile must take effect on every host, and may be
// too long for a message between hosts. A host that the store does not answer
// sends its read request to a host that the store answers, which forwards it
// and returns the store's response unchanged.
#ifndef ROSEMARYHOOK_PEER_READS_H_
#define ROSEMARYHOOK_PEER_READS_H_

#include <map>
#include <string>

#include "rosemaryhook/direct_daemon.h"

namespace rosemaryhook {

// Chooses a reachable host that the store answers, and returns its address for
// such reads; empty if there is none. Requesting hosts are spread over all
// hosts that can serve them. A host that does not poll the store may not know
// that the store refuses it. So while a host is in `avoided`, only hosts that
// broadcast a list update within kPollerTimeout are chosen. `avoided`: address
// of a host that failed -> time until which it is not chosen.
std::string ChooseReadPeer(const std::string& self,
                           const std::map<std::string, PeerHost>& hosts,
                           const std::map<std::string, Time>& avoided,
                           Time now);

// Whether `request` is a read of the store for another host.
bool IsPeerRead(const HttpRequest& request);

// Forwards such a read and replies with the store's response. Replies 503 if
// the store does not answer this host either, or if kMaxPeerReads are in
// progress.
awaitable<void> AnswerPeerRead(std::shared_ptr<DirectDaemon> daemon,
                               const HttpRequest& request,
                               HttpReply& reply);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_PEER_READS_H_
