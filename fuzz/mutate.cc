// Runs a fuzz target on mutations of its seeds. The inputs follow from the seed
// and their number alone.
//
//   fuzz_peer_message --inputs 50000 [--seed 1]
#include <fmt/core.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <random>
#include <string_view>

#include "fuzz/target.h"

namespace rosemaryhook::fuzz {
namespace {

constexpr size_t kMaxInputBytes = 65'507;  // of a datagram
constexpr int kMaxMutations = 4;
constexpr size_t kMaxRepeats = kMaxInputBytes;

// Texts at which decoders have failed.
constexpr std::array<std::string_view, 18> kOddTexts{
    "-1",        "1e300",        "nan",  "9223372036854775808",
    "null",      "[]",           "{}",   "\"\"",
    "true",      "\xff\xc3\x28", "\x81", "\x9f",
    "\xa1\x61k", "\xf9\x7e\x01", "\r\n", "[",
    "{\"a\":",   "\\ud800"};

using Random = std::mt19937_64;

size_t Below(size_t limit, Random* random) {
  return limit == 0 ? 0 : (*random)() % limit;
}

void Mutate(const std::vector<std::string>& seeds,
            Random* random,
            std::string* input) {
  const size_t at = Below(input->size() + 1, random);
  const size_t length = Below(std::min<size_t>(input->size() - at, 32), random);
  const std::string_view odd = kOddTexts[Below(kOddTexts.size(), random)];
  switch (Below(7, random)) {
    case 0:
      if (at < input->size()) {
        (*input)[at] = static_cast<char>((*random)());
      }
      break;
    case 1:
      input->erase(at, length);
      break;
    case 2:
      input->insert(at, input->substr(at, length));
      break;
    case 3:
      input->replace(at, length, odd);
      break;
    case 4: {
      std::string repeated;
      for (size_t i = Below(kMaxRepeats, random); i > 0; --i) {
        repeated += odd;
      }
      input->insert(at, repeated);
      break;
    }
    case 5:
      input->resize(at);
      break;
    default:
      const std::string& other = seeds[Below(seeds.size(), random)];
      input->replace(at, length, other, Below(other.size() + 1, random));
      break;
  }
  input->resize(std::min(input->size(), kMaxInputBytes));
}

void RunInput(const std::string& input) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t*>(input.data()),
                         input.size());
}

void Run(uint64_t seed, int inputs) {
  const std::vector<std::string> seeds = Seeds();
  for (const std::string& sound : seeds) {
    RunInput(sound);
  }
  Random random(seed);
  for (int i = 0; i < inputs; ++i) {
    std::string input = seeds[Below(seeds.size(), &random)];
    for (size_t count = 1 + Below(kMaxMutations, &random); count > 0; --count) {
      Mutate(seeds, &random, &input);
    }
    RunInput(input);
  }
  fmt::print("{} inputs of seed {}\n", inputs, seed);
}

}  // namespace
}  // namespace rosemaryhook::fuzz

int main(int argc, char** argv) {
  CLI::App app("Runs a decoder on mutations of sound inputs");
  uint64_t seed = 1;
  int inputs = 10'000;
  app.add_option("--seed", seed, "of the mutations");
  app.add_option("--inputs", inputs, "number of inputs");
  CLI11_PARSE(app, argc, argv);
  rosemaryhook::fuzz::Run(seed, inputs);
}
