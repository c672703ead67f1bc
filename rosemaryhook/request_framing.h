// Bounds what the framing of a request's body may take beyond its data.
//
//   framing.wire_bytes += read;
//   framing.data_bytes = body.size();
//   if (IsFramingTooLong(framing)) { ... }
//
// Load pattern: a caller sends chunks of one byte with long extensions, so that
// the limit on the body is never reached and the host parses without an end.
#ifndef ROSEMARYHOOK_REQUEST_FRAMING_H_
#define ROSEMARYHOOK_REQUEST_FRAMING_H_

#include <cstddef>

namespace rosemaryhook {

// Chunks of one byte take five bytes beyond their data; three are for zeros
// before the size or a short extension.
constexpr size_t kMaxFramingPerDataByte = 8;

// Bytes of framing that any body may have: extensions of long chunks, and the
// trailer.
constexpr size_t kFramingAllowanceBytes = 16 << 10;

struct BodyFraming {
  size_t wire_bytes = 0;  // read after the head, chunks' lines included
  size_t data_bytes = 0;
};

bool IsFramingTooLong(const BodyFraming& framing);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_REQUEST_FRAMING_H_
