#include "rosemaryhook/error.h"

#include "rosemaryhook/enum_names.h"

namespace rosemaryhook {
namespace {

constexpr NameTable<Step, 15> kStepNames{{
    {Step::kSettings, "settings"},
    {Step::kSheet, "sheet"},
    {Step::kParse, "parse"},
    {Step::kAuthenticate, "authenticate"},
    {Step::kRoute, "route"},
    {Step::kAdmit, "admit"},
    {Step::kPlace, "place"},
    {Step::kQueue, "queue"},
    {Step::kLoad, "load"},
    {Step::kConnect, "connect"},
    {Step::kSend, "send"},
    {Step::kReceive, "receive"},
    {Step::kTable, "table"},
    {Step::kPeer, "peer"},
    {Step::kBooking, "booking"},
}};

}  // namespace

std::string_view StepName(Step step) {
  return NameOf(kStepNames, step);
}

std::string ToString(const Error& error) {
  std::string text = "step=" + std::string(StepName(error.step));
  if (!error.peer.empty()) {
    text += " peer=" + error.peer;
  }
  return text + " " + error.message;
}

}  // namespace rosemaryhook
