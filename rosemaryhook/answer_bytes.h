// Counts the bytes of an answer and decides when there are too many that are
// not its data.
//
//   bytes.framing += parsed - data;
//   bytes.data += data;
//   if (IsFramingExcessive(bytes)) ...
//
// Failure pattern: a faulty backend server writes bytes without end in a part
// of an answer that a bound on the body does not count. A process that keeps
// them runs out of memory, and the requests of all its callers end with it.
#ifndef ROSEMARYHOOK_ANSWER_BYTES_H_
#define ROSEMARYHOOK_ANSWER_BYTES_H_

#include <cstddef>
#include <cstdint>

namespace rosemaryhook {

// The longest head, status line included.
constexpr size_t kMaxHeadBytes = 16 << 10;

// What may be kept until it can be parsed: a head, the line before a chunk, or
// the last chunk with all its trailer fields.
constexpr size_t kMaxUnparsedBytes = 32 << 10;

// Heads with status 1xx before the final one.
constexpr int kMaxInterimHeads = 8;

// Of the rest of an answer to another request, which is read only to reach the
// answer that follows.
constexpr uint64_t kMaxSkippedBytes = 1 << 20;

struct AnswerBytes {
  // Heads, sizes and extensions of chunks, trailers.
  uint64_t framing = 0;
  uint64_t data = 0;
};

// Whether there is more framing than in any honest answer, also one in chunks
// of a few bytes.
bool IsFramingExcessive(const AnswerBytes& bytes);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ANSWER_BYTES_H_
