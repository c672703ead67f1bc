// The bound grows with the data, so that it holds for a body of any limit in
// chunks of any size, and a body without data has only the allowance.
#include "rosemaryhook/request_framing.h"

namespace rosemaryhook {

bool IsFramingTooLong(const BodyFraming& framing) {
  return framing.wire_bytes >
         framing.data_bytes * (1 + kMaxFramingPerDataByte) +
             kFramingAllowanceBytes;
}

}  // namespace rosemaryhook
