// What hosts tell each other by datagram.
//
// Every figure is a newest value or a total, so a lost, doubled or reordered
// datagram does no harm beyond its delay.
#ifndef ROSEMARYHOOK_PEER_MESSAGE_H_
#define ROSEMARYHOOK_PEER_MESSAGE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform/store_codec.h"
#include "rosemaryhook/error.h"
#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/runner_choice.h"

namespace rosemaryhook {

// A request to the owner of `runner` to load an adapter there.
struct LoadRequest {
  std::string runner;
  std::string adapter;
  int64_t version = 0;
  bool is_missing = false;  // the runner refused a request for lack of it
};

// What changed in one of the store's lists, from a host that reads it.
struct ListUpdate {
  std::string list;
  int64_t from = 0;  // version of the store before
  int64_t to = 0;    // and after
  std::vector<platform::StoreRow> rows;
  // The receiver's newest message that had come when the store was asked.
  int64_t acked_message = 0;
  int64_t clock_ms = 0;  // the store's steady clock when it answered
};

struct PeerMessage {
  std::string session;
  std::string address;  // ip:port for datagrams
  std::string zone;
  int64_t number = 0;               // grows with each message of the session
  Duration age{};                   // of the session
  bool is_draining = false;         // ends soon
  bool is_leaving = false;          // gives no more orders
  bool is_store_reachable = false;  // the store answers this host
  std::string operators;            // ip:port; not in every message
  std::map<std::string, double> tokens_used;  // customer -> tokens in all
  std::map<std::string, RunnerLoad> loads;    // runner -> sent by this host
  // Runner -> adapters that requests of this host run on or ended on lately.
  std::map<std::string, std::set<std::string>> used;
  std::map<std::string, RunnerLoad> totals;   // owned runner -> of all hosts
  std::map<std::string, HeldAdapters> owned;  // runner -> usable adapters
  std::vector<LoadRequest> load_requests;
  std::vector<ListUpdate> updates;
  Json suspects = Json::object();
};

std::string EncodePeerMessage(const PeerMessage& message);
Result<PeerMessage> ParsePeerMessage(const std::string& bytes);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_PEER_MESSAGE_H_
