// Recognizes a head that was read from parts of two answers.
//
//   head.contains_status_line |= ContainsStatusLine(field.value());
#ifndef ROSEMARYHOOK_ANSWER_HEAD_H_
#define ROSEMARYHOOK_ANSWER_HEAD_H_

#include <string_view>

namespace rosemaryhook {

// Whether `text`, a reason phrase or the value of a field, contains the version
// and the status of an HTTP/1 answer. Linear in its length.
bool ContainsStatusLine(std::string_view text);

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ANSWER_HEAD_H_
