// A read is forwarded to the store only, never to a further host.
#include "rosemaryhook/peer_reads.h"

#include <algorithm>

#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Below the requesting host's own timeout.
constexpr Duration kForwardedReadTimeout = std::chrono::milliseconds(500);

// Maximum number of reads that are forwarded concurrently. Bounds memory: a
// response of the store has at most kMaxStoreAnswerBytes.
constexpr int kMaxPeerReads = 16;

// Counts a read until its answer is sent: the answer is held until then.
class ScopedPeerRead {
 public:
  explicit ScopedPeerRead(DirectDaemon* daemon) : daemon_(daemon) {
    ++daemon_->peer_reads;
  }
  ~ScopedPeerRead() { --daemon_->peer_reads; }
  ScopedPeerRead(const ScopedPeerRead&) = delete;
  ScopedPeerRead& operator=(const ScopedPeerRead&) = delete;

 private:
  DirectDaemon* daemon_;
};

}  // namespace

std::string ChooseReadPeer(const std::string& self,
                           const std::map<std::string, PeerHost>& hosts,
                           const std::map<std::string, Time>& avoided,
                           Time now) {
  const auto is_avoided = [&](const auto& entry) { return now < entry.second; };
  const bool has_failed =
      std::any_of(avoided.begin(), avoided.end(), is_avoided);
  std::string peer;
  uint64_t max_weight = 0;
  for (const auto& [session, host] : hosts) {
    const auto failed = avoided.find(host.operators);
    if (!host.is_store_reachable || host.is_draining || host.is_leaving ||
        host.operators.empty() || now - host.last_seen >= kPollerTimeout ||
        (has_failed && now - host.last_broadcast >= kPollerTimeout) ||
        (failed != avoided.end() && is_avoided(*failed))) {
      continue;
    }
    const uint64_t weight = RendezvousWeight(self, host.address);
    if (peer.empty() || weight > max_weight) {
      peer = host.operators;
      max_weight = weight;
    }
  }
  return peer;
}

bool IsPeerRead(const HttpRequest& request) {
  return request.method == "GET" && platform::IsReadTarget(request.target);
}

awaitable<void> AnswerPeerRead(std::shared_ptr<DirectDaemon> daemon,
                               const HttpRequest& request,
                               HttpReply& reply) {
  if (daemon->runner_contact.is_lost || daemon->peer_reads >= kMaxPeerReads) {
    daemon->metrics.Count("peer_reads_refused_total");
    co_await reply.Send(503, {}, "");
    co_return;
  }
  HttpCall call;
  call.address = daemon->store.address;
  call.method = "GET";
  call.target = request.target;
  call.deadline = Now() + kForwardedReadTimeout;
  const ScopedPeerRead read(daemon.get());
  auto fetched =
      co_await Fetch(&daemon->pool, std::move(call), kMaxStoreAnswerBytes);
  daemon->metrics.Count("peer_reads_total");
  if (const Error* error = Failure(fetched)) {
    // Changes that are too long for one answer are read as a whole table.
    co_await reply.Send(IsBodyTooLong(*error) ? 410 : 503, {}, "");
    co_return;
  }
  HttpAnswer& answer = std::get<HttpAnswer>(fetched);
  co_await reply.Send(
      answer.status,
      platform::StoreEraHeaders(platform::ParseStoreEra(answer.headers)),
      std::move(answer.body));
}

}  // namespace rosemaryhook
