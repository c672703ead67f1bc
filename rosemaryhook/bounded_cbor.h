// Decodes CBOR (RFC 8949) that another process has sent.
//
//   const nlohmann::json message = DecodeCbor(bytes);
//   if (message.is_discarded()) { ... }
//
// Values that are nested deeply would exhaust the stack, and lengths beyond the
// end of the bytes would exhaust the memory or throw; both are refused, as are
// the forms that nlohmann's encoder never writes: tags and indefinite lengths.
#ifndef ROSEMARYHOOK_BOUNDED_CBOR_H_
#define ROSEMARYHOOK_BOUNDED_CBOR_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace rosemaryhook {

// Messages between hosts are nested up to eight levels deep.
constexpr size_t kMaxCborDepth = 32;

// Returns a discarded value if `bytes` is not exactly one document.
nlohmann::json DecodeCbor(std::string_view bytes);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_BOUNDED_CBOR_H_
