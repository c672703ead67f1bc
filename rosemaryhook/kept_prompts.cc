// A list in order of use, as the engines evict the least recently used parts.
// Within a prompt the first part counts as the most recently used, so that a
// part is never evicted before those that follow it.
#include "rosemaryhook/kept_prompts.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace rosemaryhook {
namespace {

// Requests whose tokens are remembered; above the slots of most runners.
constexpr size_t kMaxSentTokens = 64;

// Probability that a part is cached which the simulation holds well within the
// memory. Below 1 for requests that were sent but did not run.
constexpr double kMostLikely = 0.95;

// Parts of unknown prompts are merged up to this size, a small part of the
// memory, as they are evicted together.
constexpr int64_t kMaxMergedTokens = 2000;

// What running requests use is known to about this share of the memory: their
// output is not known in advance, and reports of their ends are some ms late.
constexpr double kRoomUncertainty = 0.2;

// A simulation that has begun this recently does not know what the runner has
// cached before. Prompts that are not used for longer are seldom used again.
constexpr Duration kLearningTime = std::chrono::seconds(10);

// Sends that were learnt this late arrived after a stall, in which others may
// have been lost; so long, and for as long after it, the order of use is not
// certain.
constexpr Duration kOldSend = std::chrono::seconds(2);
constexpr double kDoubtfulFactor = 0.5;

// A host's own sends: the probability that a part is still cached after one,
// and the age at which it has halved. The host does not see what other hosts'
// requests evict. In normal operation runners keep a prompt for 10 s.
constexpr double kLikelyAfterSend = 0.9;
constexpr double kSendHalfLifeSeconds = 10;
constexpr Duration kSendRetention = std::chrono::seconds(40);

// Far above the prompt of any request; sums of parts cannot overflow.
constexpr double kMaxPartTokens = 1e9;

int64_t ToTokens(double tokens) {
  return tokens > 0 ? static_cast<int64_t>(std::min(tokens, kMaxPartTokens))
                    : 0;
}

// Tokens of the newest `running` requests: those that run are mostly the ones
// that were sent last.
int64_t RunningTokens(const KeptPrompts& kept, int running) {
  const size_t count = std::min(kept.sent_tokens.size(),
                                static_cast<size_t>(std::max(0, running)));
  int64_t tokens = 0;
  for (size_t i = 0; i < count; ++i) {
    tokens += kept.sent_tokens[i];
  }
  return tokens;
}

void Erase(std::list<KeptPart>::iterator part, KeptPrompts* kept) {
  kept->kept_tokens -= part->tokens;
  kept->by_hash.erase(part->hash);
  kept->parts.erase(part);
}

void Touch(const PromptLink& link,
           const std::string& adapter,
           KeptPrompts* kept) {
  const auto known = kept->by_hash.find(link.hash);
  if (known != kept->by_hash.end()) {
    kept->parts.splice(kept->parts.begin(), kept->parts, known->second);
    return;
  }
  kept->parts.push_front({link.hash, link.tokens, adapter});
  kept->by_hash[link.hash] = kept->parts.begin();
  kept->kept_tokens += link.tokens;
}

// Adds a prompt of which no parts are known. Successive ones are merged, which
// keeps the list short.
void AddUnknown(int64_t tokens, KeptPrompts* kept) {
  if (kept->parts.empty() || kept->parts.front().hash != 0 ||
      kept->parts.front().tokens >= kMaxMergedTokens) {
    kept->parts.push_front({});
  }
  kept->parts.front().tokens += tokens;
  kept->kept_tokens += tokens;
}

// Probability that the runner has a part cached, from the tokens of the parts
// that were used no earlier and the room for cached parts.
double LikelihoodAt(int64_t position, int64_t room) {
  const double filled =
      static_cast<double>(position) / std::max(1.0, static_cast<double>(room));
  const double margin =
      (1 + kRoomUncertainty - filled) / (2 * kRoomUncertainty);
  return kMostLikely * std::clamp(margin, 0.0, 1.0);
}

// The positions of the chain's cached parts in the order of use, as the tokens
// up to and with each.
std::vector<int64_t> Positions(const KeptPrompts& kept,
                               const PromptChain& chain) {
  size_t known = 0;
  while (known < chain.size() && kept.by_hash.contains(chain[known].hash)) {
    ++known;
  }
  std::vector<int64_t> positions(known);
  size_t found = 0;
  int64_t tokens = 0;
  for (auto part = kept.parts.begin(); found < known; ++part) {
    tokens += part->tokens;
    for (size_t i = 0; i < known; ++i) {
      if (chain[i].hash == part->hash) {
        positions[i] = tokens;
        ++found;
      }
    }
  }
  return positions;
}

}  // namespace

void ExtendChain(std::string_view scope,
                 std::string_view part,
                 double tokens,
                 PromptChain* chain) {
  if (chain->size() >= kMaxChainLinks) {
    return;
  }
  const uint64_t before = chain->empty()
                              ? XXH3_64bits(scope.data(), scope.size())
                              : chain->back().hash;
  chain->push_back({XXH3_64bits_withSeed(part.data(), part.size(), before),
                    ToTokens(tokens)});
}

void RecordKept(const SentPrompt& prompt, Time now, KeptPrompts* kept) {
  if (kept->capacity_tokens <= 0) {
    return;
  }
  if (now - prompt.sent_at > kOldSend) {
    kept->doubtful_until = now + kOldSend;
  }
  for (auto link = prompt.chain.rbegin(); link != prompt.chain.rend(); ++link) {
    Touch(*link, prompt.adapter, kept);
  }
  if (prompt.chain.empty()) {
    AddUnknown(ToTokens(prompt.prompt_tokens), kept);
  }
  kept->sent_tokens.push_front(ToTokens(prompt.prompt_tokens));
  if (kept->sent_tokens.size() > kMaxSentTokens) {
    kept->sent_tokens.pop_back();
  }
  const int64_t room =
      kept->capacity_tokens - RunningTokens(*kept, prompt.running);
  while (!kept->parts.empty() &&
         (kept->kept_tokens > room || kept->parts.size() > kMaxKeptParts)) {
    Erase(std::prev(kept->parts.end()), kept);
  }
}

void DropKept(const std::string& adapter, KeptPrompts* kept) {
  for (auto part = kept->parts.begin(); part != kept->parts.end();) {
    const auto next = std::next(part);
    if (part->adapter == adapter) {
      Erase(part, kept);
    }
    part = next;
  }
}

std::optional<double> ExpectedCached(const KeptPrompts& kept,
                                     const PromptChain& chain,
                                     int running,
                                     Time now) {
  if (kept.capacity_tokens <= 0) {
    return std::nullopt;
  }
  const std::vector<int64_t> positions = Positions(kept, chain);
  const int64_t room = kept.capacity_tokens - RunningTokens(kept, running);
  double likelihood = now < kept.doubtful_until ? kDoubtfulFactor : 1;
  double tokens = 0;
  double least = 1;
  for (size_t i = 0; i < positions.size(); ++i) {
    // Parts of one prompt are evicted together more often than not, so the
    // probabilities are not multiplied.
    least = std::min(least, LikelihoodAt(positions[i], room));
    tokens += likelihood * least * static_cast<double>(chain[i].tokens);
  }
  if (tokens == 0 && now - kept.began < kLearningTime) {
    return std::nullopt;
  }
  return tokens;
}

void RecordSentChain(const PromptChain& chain, Time now, SentPrompts* sent) {
  for (const PromptLink& link : chain) {
    sent->sent_at[link.hash] = now;
  }
  if (sent->sent_at.size() > kMaxSentParts) {
    std::erase_if(sent->sent_at, [now](const auto& entry) {
      return now - entry.second > kSendRetention;
    });
  }
  while (sent->sent_at.size() > kMaxSentParts) {
    sent->sent_at.erase(std::min_element(
        sent->sent_at.begin(), sent->sent_at.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

double ExpectedCached(const SentPrompts& sent,
                      const PromptChain& chain,
                      Time now) {
  double tokens = 0;
  double least = kLikelyAfterSend;
  for (const PromptLink& link : chain) {
    const auto sent_at = sent.sent_at.find(link.hash);
    if (sent_at == sent.sent_at.end() ||
        now - sent_at->second > kSendRetention) {
      break;
    }
    const double age_s =
        std::chrono::duration<double>(now - sent_at->second).count();
    least = std::min(
        least, kLikelyAfterSend * std::exp2(-age_s / kSendHalfLifeSeconds));
    tokens += least * static_cast<double>(link.tokens);
  }
  return tokens;
}

}  // namespace rosemaryhook
