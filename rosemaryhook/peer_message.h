// Messages between hosts, sent as UDP datagrams.
//
// Every value is the newest state or a running total, so a datagram that is
// lost, duplicated or reordered only delays the information.
#ifndef ROSEMARYHOOK_PEER_MESSAGE_H_
#define ROSEMARYHOOK_PEER_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "platform/store_codec.h"
#include "rosemaryhook/copy_value.h"
#include "rosemaryhook/error.h"
#include "rosemaryhook/fleet_state.h"
#include "rosemaryhook/place_message.h"
#include "rosemaryhook/runner_choice.h"

namespace rosemaryhook {

// Asks the owner of `runner` to load an adapter there.
struct LoadRequest {
  std::string runner;
  std::string adapter;
  int64_t version = 0;
  bool is_missing = false;  // a request was refused as it is not loaded
  bool is_copy = false;     // no request waits for it
  // Time within which it must be loaded for the request that waits to be
  // answered within its objective.
  Duration useful_for{};
  // Of a copy: what the owner of a runner that holds the adapter measured.
  CopyOffer offer{};
};

// Changes of one of the store's tables, from a host that polls it.
struct ListUpdate {
  std::string list;
  int64_t from = 0;  // version of the store before the changes
  int64_t to = 0;    // version after the changes
  std::vector<platform::StoreRow> rows;
  // Number of the receiver's newest message that had arrived when the request
  // to the store was sent.
  int64_t acked_message = 0;
  int64_t clock_ms = 0;  // the store's steady clock when it answered
  int64_t era = 0;       // of the store (platform::ParseStoreEra)
  // The changes are too long to be read as such, and no update has their rows:
  // the whole table has to be read.
  bool is_long = false;
};

// Asks the owners of runners for the loads that they count.
struct LoadProbe {
  int64_t id = 0;  // of the sender; 0 if there is none
  std::vector<std::string> runners;
  PromptChain chain;  // of the prompt of the request that is to be sent
};

// Requests that a host has just sent to a runner for one adapter.
struct SentRequest {
  std::string runner;
  std::string adapter;
  double prompt_tokens = 0;
  PromptChain chain;
  Time sent_at;  // not sent; from the message
};

// What a backend server told a host of its limit (named_limit.h).
struct PeerLimit {
  int64_t start_ms = 0;         // of the server
  std::optional<double> per_s;  // empty if it has ended
  Duration age{};               // of the statement
};

// What a host was told of how brittle the servers of a service are.
struct PeerBrittle {
  std::optional<double> refusals_per_s;  // empty if that has ended
  Duration age{};                        // of the statement
};

// A stream's record that the receiver is asked to write.
struct PeerRecord {
  std::string key;
  std::string row;
};

struct PeerMessage {
  std::string session;
  std::string address;  // ip:port for datagrams
  std::string zone;
  int64_t number = 0;               // sequence number within the session
  Duration age{};                   // of the session
  bool is_draining = false;         // shuts down soon
  bool is_leaving = false;          // gives no more orders
  bool is_store_reachable = false;  // the store answers this host
  bool is_cut_off = false;          // reaches no backend servers
  int64_t list_version = 0;         // up to which it knows the list of servers
  bool records_streams = false;     // writes records for other hosts
  bool relays_messages = false;     // forwards them in its zone
  std::string operators;            // ip:port; not in every message
  std::map<std::string, double> tokens_used;  // customer -> total of session
  std::map<std::string, RunnerLoad> loads;    // runner -> of this host
  // Runner -> adapters that requests of this host use or used recently.
  std::map<std::string, std::set<std::string>> used;
  std::map<std::string, RunnerLoad> totals;   // owned runner -> of all hosts
  std::map<std::string, HeldAdapters> owned;  // runner -> usable adapters
  // Owned runners to which the sender has lost its path.
  std::set<std::string> unreached;
  std::vector<LoadRequest> load_requests;
  LoadProbe probe;
  int64_t answered_probe = 0;  // id of the receiver's probe; 0 if none
  std::vector<SentRequest> sent;
  // Owned runner -> tokens of the probe's chain that are probably cached there;
  // without those whose cache is unknown.
  std::map<std::string, double> cached_tokens;
  std::map<std::string, RunnerModel>
      models;  // owned runner -> from its answers
  // Runner -> observations for its owner.
  std::map<std::string, std::vector<FirstTokenObservation>> observations;
  std::vector<ListUpdate> updates;
  // Address of a host -> `acked_message` of `updates` for it, in messages that
  // are forwarded to several hosts.
  std::map<std::string, int64_t> acked_messages;
  std::map<std::string, PeerLimit> limits;     // by runner
  std::map<std::string, PeerBrittle> brittle;  // by service
  std::set<std::string> refused_by;            // brittle runners, just now
  Json parts = Json::object();                 // prompt_suspects.h
  std::vector<PeerRecord> records;
  std::vector<std::string> records_written;  // keys, for the receiver
  bool shares_places = false;  // takes part in sharing plain servers' slots
  double processor_share = 0;  // cores; 0: not in every message
  PeerPlaces places;
  std::optional<PeerDuties> duties;
  std::vector<PeerUsage> usage;
  // Service -> zone -> requests that its servers there run for the sender. The
  // zone is empty for those that wait for a server.
  std::map<std::string, std::map<std::string, int>> work;
};

// Encodes a message as CBOR; ParsePeerMessage returns an error for bytes that
// are not such a message.
std::string EncodePeerMessage(const PeerMessage& message);
Result<PeerMessage> ParsePeerMessage(const std::string& bytes);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_PEER_MESSAGE_H_
