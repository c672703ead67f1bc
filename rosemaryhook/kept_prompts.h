// Which beginnings of prompts a runner probably still has in its KV cache.
//
// At the owner of a runner, for each request that a host sends there:
//
//   RecordKept(prompt, now, &kept);
//   auto cached = ExpectedCached(kept, chain, running, now);  // of a request
//
// At a host, about its own sends, where it has no answer of the owner:
//
//   RecordSentChain(chain, now, &sent);
//   double tokens = ExpectedCached(sent, chain, now);
//
// Load pattern: many requests begin with the same thousands of tokens, and a
// runner that still has them answers hundreds of ms sooner. The KV cache holds
// few such beginnings besides the running requests, and each of many hosts sees
// only a small part of the sends that fill it. The owner is told of all sends,
// so it can follow what the runner evicts.
//
// Pure functions; cost O(parts kept), at most kMaxKeptParts.
#ifndef ROSEMARYHOOK_KEPT_PROMPTS_H_
#define ROSEMARYHOOK_KEPT_PROMPTS_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rosemaryhook/time.h"

namespace rosemaryhook {

// A part of a prompt.
struct PromptLink {
  // Of the model, the adapter and all parts up to this one.
  uint64_t hash = 0;
  int64_t tokens = 0;  // of this part
};

// The first parts of a prompt, in order. A part is cached only if all parts
// before it are.
using PromptChain = std::vector<PromptLink>;

// Bounds the bytes that a chain adds to messages.
constexpr size_t kMaxChainLinks = 8;

// Prompts with fewer tokens have no chain: at most 80 ms of reading in normal
// operation could be saved, and most requests are such.
constexpr double kMinChainTokens = 1000;

// Adds a part to a chain for `scope`, the model and adapter; without effect
// beyond kMaxChainLinks.
void ExtendChain(std::string_view scope,
                 std::string_view part,
                 double tokens,
                 PromptChain* chain);

// The beginning of a request's prompt.
struct PromptPrefix {
  std::string key;    // of the parts that other requests may share
  double tokens = 0;  // of those parts
  // The parts, with the request's own; empty where the KV capacity of the
  // runners is not known.
  PromptChain chain;
  // Runner -> tokens of `chain` that its owner expects to be cached there.
  std::map<std::string, double> cached;
};

// Bounds the memory of one simulation; a runner's KV cache holds a few hundred
// parts.
constexpr size_t kMaxKeptParts = 2048;

struct KeptPart {
  uint64_t hash = 0;  // 0: of prompts without chains
  int64_t tokens = 0;
  std::string adapter;  // empty for the base model, and if `hash` is 0
};

// An owner's simulation of the KV cache of one runner, in one lifetime of it.
struct KeptPrompts {
  int64_t capacity_tokens = 0;  // 0: not known, nothing is simulated
  std::list<KeptPart> parts;    // the most recently used first
  std::unordered_map<uint64_t, std::list<KeptPart>::iterator> by_hash;
  int64_t kept_tokens = 0;  // sum over `parts`
  // Prompt tokens of the newest requests, newest first: those that still run
  // occupy the memory too.
  std::deque<int64_t> sent_tokens;
  Time began;           // when the owner began to simulate
  Time doubtful_until;  // since sends were learnt late, after a stall

  KeptPrompts() = default;
  KeptPrompts(const KeptPrompts&) = delete;  // `by_hash` points into `parts`
  KeptPrompts& operator=(const KeptPrompts&) = delete;
};

// A request that was sent to the runner.
struct SentPrompt {
  PromptChain chain;  // empty if it has none, or is of an earlier version
  std::string adapter;
  double prompt_tokens = 0;  // of the whole prompt, with the parts
  int running = 0;           // requests at the runner
  Time sent_at;
};

// Records a request and evicts what no longer fits.
void RecordKept(const SentPrompt& prompt, Time now, KeptPrompts* kept);

// Drops what is kept for an adapter that was unloaded.
void DropKept(const std::string& adapter, KeptPrompts* kept);

// Expected tokens of `chain` that the runner has cached while `running`
// requests run there. Empty if the simulation has not seen enough sends.
std::optional<double> ExpectedCached(const KeptPrompts& kept,
                                     const PromptChain& chain,
                                     int running,
                                     Time now);

// Parts of prompts that this host sent to one runner.
struct SentPrompts {
  std::unordered_map<uint64_t, Time> sent_at;
};

// Records a chain; evicts the oldest parts beyond kMaxSentParts.
constexpr size_t kMaxSentParts = 128;
void RecordSentChain(const PromptChain& chain, Time now, SentPrompts* sent);
double ExpectedCached(const SentPrompts& sent,
                      const PromptChain& chain,
                      Time now);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_KEPT_PROMPTS_H_
