// A model of engines in virtual time, for replays without a network: each reads
// prompts one after another and keeps their beginnings in its memory.
#ifndef ROSEMARYHOOK_TESTING_MODEL_ENGINES_H_
#define ROSEMARYHOOK_TESTING_MODEL_ENGINES_H_

#include <algorithm>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rosemaryhook/runner_choice.h"

namespace rosemaryhook {

struct ModelEngine {
  static constexpr double kTokensPerMs = 38.7;  // at nominal speed
  static constexpr double kMsPerToken = 5;      // of an answer

  double speed = 1;
  int64_t capacity = 174'609;
  double reading_until = 0;                      // ms
  std::multimap<double, int64_t> running;        // end -> tokens
  std::list<std::pair<uint64_t, int64_t>> kept;  // newest first
  int64_t tokens_read = 0;

  // Takes a request at `now`; returns the time of its first token.
  double Send(const PromptChain& chain,
              int64_t prompt,
              int64_t output,
              double now) {
    running.erase(running.begin(), running.upper_bound(now));
    const int64_t fresh = prompt - Take(chain);
    tokens_read += fresh;
    // Pieces of the prompt are read between the tokens of running requests.
    const double shared =
        1 + 0.25 * std::min(12.0, static_cast<double>(running.size()));
    reading_until = std::max(now, reading_until) + static_cast<double>(fresh) *
                                                       shared /
                                                       (kTokensPerMs * speed);
    const double first = reading_until + 60 / speed +
                         2 * static_cast<double>(running.size()) / speed;
    running.emplace(first + static_cast<double>(output) * kMsPerToken / speed,
                    prompt);
    Evict();
    return first;
  }

 private:
  // Returns the cached tokens of the chain, and keeps it from now on.
  int64_t Take(const PromptChain& chain) {
    int64_t cached = 0;
    bool is_cached = true;
    for (const PromptLink& link : chain) {
      const auto found = std::find_if(
          kept.begin(), kept.end(),
          [&](const auto& part) { return part.first == link.hash; });
      is_cached = is_cached && found != kept.end();
      cached += is_cached ? link.tokens : 0;
      if (found != kept.end()) {
        kept.erase(found);
      }
    }
    for (auto link = chain.rbegin(); link != chain.rend(); ++link) {
      kept.emplace_front(link->hash, link->tokens);
    }
    return cached;
  }

  void Evict() {
    int64_t used = 0;
    for (const auto& [end, tokens] : running) {
      used += tokens;
    }
    for (auto part = kept.begin(); part != kept.end();) {
      used += part->second;
      part = used > capacity ? kept.erase(part) : std::next(part);
    }
  }
};

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_TESTING_MODEL_ENGINES_H_
