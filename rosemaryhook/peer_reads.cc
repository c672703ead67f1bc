// A read is forwarded to the store only, never to a further host.
#include "rosemaryhook/peer_reads.h"

#include <algorithm>

#include "rosemaryhook/list_sharing.h"
#include "rosemaryhook/placement.h"

namespace rosemaryhook {
namespace {

// Time in which the store has to go on with its answer. Below the requesting
// host's own timeout.
constexpr Duration kStoreProgressTimeout = std::chrono::milliseconds(500);

// The whole answer, which goes through two links.
constexpr Duration kMaxForwardTime = std::chrono::seconds(4);

// Maximum number of reads that are forwarded concurrently. Bounds memory and
// the share of this host's link.
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

// Passes the body on as it arrives: on narrow links a long one takes longer
// than the requesting host waits without progress.
awaitable<void> ForwardAnswer(const HttpHead& head,
                              HttpExchange& exchange,
                              HttpReply& reply) {
  Headers headers =
      platform::StoreEraHeaders(platform::ParseStoreEra(head.headers));
  if (!co_await reply.Begin(head.status, std::move(headers))) {
    co_return exchange.Cancel();
  }
  size_t bytes = 0;
  while (true) {
    auto chunk = co_await exchange.ReadChunk();
    if (Failure(chunk) != nullptr) {
      co_return reply.Abort();
    }
    std::string& data = std::get<std::string>(chunk);
    bytes += data.size();
    if (data.empty()) {
      co_await reply.End();
      co_return;
    }
    if (bytes > kMaxStoreAnswerBytes ||
        !co_await reply.Chunk(std::move(data))) {
      exchange.Cancel();
      co_return reply.Abort();
    }
  }
}

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
  call.deadline = Now() + kMaxForwardTime;
  call.progress_timeout = kStoreProgressTimeout;
  call.connect_timeout = kStoreProgressTimeout;
  const ScopedPeerRead read(daemon.get());
  HttpExchange exchange(&daemon->pool);
  auto started = co_await exchange.Start(std::move(call));
  daemon->metrics.Count("peer_reads_total");
  if (Failure(started) != nullptr) {
    co_await reply.Send(503, {}, "");
    co_return;
  }
  if (exchange.stated_length() > kMaxStoreAnswerBytes) {
    exchange.Cancel();
    // Changes that are too long for one answer are read as a whole table.
    co_await reply.Send(410, {}, "");
    co_return;
  }
  co_await ForwardAnswer(std::get<HttpHead>(started), exchange, reply);
}

}  // namespace rosemaryhook
