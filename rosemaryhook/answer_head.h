// Recognizes a head that was read from parts of two answers.
//
//   is_joined = is_joined || ContainsStatusLine(field.value());
//
// Failure pattern: a faulty backend server writes bytes after a complete
// answer, and they end within a head. The next answer on the connection
// completes that head, which then has the status of one answer and the id of
// another.
#ifndef ROSEMARYHOOK_ANSWER_HEAD_H_
#define ROSEMARYHOOK_ANSWER_HEAD_H_

#include <string_view>

namespace rosemaryhook {

// Whether `text`, a reason phrase or the value of a field, contains the version
// and the status of an HTTP/1 answer. Linear in its length.
bool ContainsStatusLine(std::string_view text);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ANSWER_HEAD_H_
