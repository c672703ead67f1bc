// Reads CBOR that another host has sent.
//
//   const Json json = ParseBoundedCbor(bytes);  // throws Json::exception
#ifndef ROSEMARYHOOK_BOUNDED_CBOR_H_
#define ROSEMARYHOOK_BOUNDED_CBOR_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace rosemaryhook {

// Throws Json::exception for bytes that are not one complete value, and for a
// value that is nested deeply: the library reads a nested value by recursion,
// which would exhaust the stack.
nlohmann::json ParseBoundedCbor(std::string_view bytes);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_BOUNDED_CBOR_H_
