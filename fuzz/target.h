// A fuzz target decodes one input as a daemon would. An input that ends the
// process, or that is decoded to what cannot be encoded again, is a failure.
#ifndef FUZZ_TARGET_H_
#define FUZZ_TARGET_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

namespace rosemaryhook::fuzz {

// Sound inputs, from which the others are made.
std::vector<std::string> Seeds();

}  // namespace rosemaryhook::fuzz

#endif  // FUZZ_TARGET_H_
