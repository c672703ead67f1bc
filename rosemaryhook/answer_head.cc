// Where an incomplete head is followed by a whole answer, the status line of
// that answer becomes part of a reason phrase, of a name or of a value. A name
// with a slash is a parser's error, so the other two remain. A status line is
// looked for from its version to the digits of its status (RFC 9112, 4). A
// field that only names a protocol, as Via and Upgrade do, does not contain
// one.
#include "rosemaryhook/answer_head.h"

#include <algorithm>

namespace rosemaryhook {
namespace {

constexpr std::string_view kVersion = "HTTP/1.";

// What follows the version: a minor version, a space and a status.
constexpr std::string_view kRest = "# ###";

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsRest(std::string_view text) {
  return text.size() >= kRest.size() &&
         std::equal(kRest.begin(), kRest.end(), text.begin(),
                    [](char expected, char c) {
                      return expected == '#' ? IsDigit(c) : expected == c;
                    });
}

}  // namespace

bool ContainsStatusLine(std::string_view text) {
  for (size_t at = text.find(kVersion); at != std::string_view::npos;
       at = text.find(kVersion, at + 1)) {
    if (IsRest(text.substr(at + kVersion.size()))) {
      return true;
    }
  }
  return false;
}

}  // namespace rosemaryhook
