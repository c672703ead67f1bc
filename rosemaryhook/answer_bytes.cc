// A chunk has at least one byte of data, so a bound on the framing for each
// byte of data bounds extensions in many chunks too. Heads and trailers do not
// depend on the data.
#include "rosemaryhook/answer_bytes.h"

namespace rosemaryhook {
namespace {

// A chunk of one byte has five bytes of framing: a digit and two line ends. The
// rest is for short extensions.
constexpr uint64_t kFramingPerDataByte = 16;

// Heads, trailers, and the extensions of the first chunks.
constexpr uint64_t kFixedFramingBytes = (kMaxInterimHeads + 4) * kMaxHeadBytes;

}  // namespace

bool IsFramingExcessive(const AnswerBytes& bytes) {
  return bytes.framing > kFixedFramingBytes &&
         (bytes.framing - kFixedFramingBytes) / kFramingPerDataByte >
             bytes.data;
}

}  // namespace rosemaryhook
