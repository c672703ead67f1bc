// Messages of the other hosts.
#include "rosemaryhook/peer_message.h"
#include "fuzz/target.h"
#include "rosemaryhook/prompt_suspects.h"

namespace rosemaryhook::fuzz {

std::vector<std::string> Seeds() {
  PeerMessage message;
  message.session = "s";
  message.address = "1.2.3.4:7600";
  message.zone = "z1";
  message.number = 5;
  const std::string small = EncodePeerMessage(message);
  message.tokens_used["marsu"] = 12.5;
  message.loads["i-1"] = {3, 640};
  message.used["i-1"] = {"m/a1"};
  message.owned["i-2"] = {{"m/a2", 4}};
  message.load_requests = {{"i-3", "m/a3", 2, true}};
  message.updates = {{"servers", 3, 4, {{"i-1", "{}", 4, false}}, 0, 5, 1}};
  message.limits["i-1"] = {17, 2.5, std::chrono::seconds(1)};

  message.probe = {3, {"i-1"}};
  message.sent = {{"i-1", "m/a1", 10}};
  message.shares_places = true;
  message.processor_share = 0.5;
  message.places.asks = {{1, "booking"}};
  message.places.answers = {{1, {PlaceAnswerKind::kGranted, "i-1", 17, {}}},
                            {2, {PlaceAnswerKind::kRefused}}};
  message.places.ends = {{1, PlaceEnd::kNoRoom}};
  message.places.held = {{1, "i-1", 17}};
  return {small, EncodePeerMessage(message)};
}

}  // namespace rosemaryhook::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace rosemaryhook;
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  const auto parsed = ParsePeerMessage(bytes);
  const auto* message = std::get_if<PeerMessage>(&parsed);
  if (message == nullptr) {
    return 0;
  }
  EncodePeerMessage(*message);
  const Time now(std::chrono::hours(1));
  PromptSuspects prompt_suspects;
  std::set<std::string> changed;
  MergeParts(message->parts, now, &prompt_suspects, &changed);
  return 0;
}
