// Errors and results.
//
//   Result<Settings> settings = ParseSettings(text, "host.yaml");
//   if (const Error* error = Failure(settings)) return Report(*error);
//   Use(std::get<Settings>(settings));
//
// An Error carries the processing step at which it occurred and the other side
// of the connection, if there is one.
#ifndef ROSEMARYHOOK_ERROR_H_
#define ROSEMARYHOOK_ERROR_H_

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace rosemaryhook {

// The processing step at which an error occurred.
enum class Step {
  kSettings,
  kSheet,
  kParse,
  kAuthenticate,
  kRoute,
  kAdmit,
  kPlace,
  kQueue,
  kLoad,
  kConnect,
  kSend,
  kReceive,
  kTable,
  kPeer,
  kBooking,
};

// The name of `step` in logs and error bodies.
std::string_view StepName(Step step);

struct Error {
  Step step = Step::kParse;
  std::string peer;  // address or name of the other side, empty if none
  std::string message;
};

// "step=connect peer=127.0.0.1:80 message", for output to operators.
std::string ToString(const Error& error);

template <typename T>
using Result = std::variant<T, Error>;

// Success of an operation that yields no value.
struct Done {};

// The error in `result`, or nullptr if it holds a value.
template <typename T>
const Error* Failure(const Result<T>& result) {
  return std::get_if<Error>(&result);
}

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ERROR_H_
