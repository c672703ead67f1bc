// The store's answers, and the rows within them that hosts wrote themselves.
#include "fuzz/target.h"
#include "platform/store_codec.h"
#include "rosemaryhook/runner_ownership.h"
#include "rosemaryhook/token_record.h"

namespace rosemaryhook::fuzz {

std::vector<std::string> Seeds() {
  const OwnerRow owner;
  return {R"({"rows":[{"key":"a","value":"bm9kZS0x","ver":4},)"
          R"({"key":"b","ver":5,"tombstone":true}],"has_more":true,"ver":9,)"
          R"("now_ms":12.5})",
          R"({"ver":7})", EncodeOwnerRow(owner),
          R"({"clock_ms":5,"customers":{"marsu":{"limit":9.5,"near":true,)"
          R"("slots":[1,0,2]}}})"};
}

}  // namespace rosemaryhook::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace rosemaryhook;
  const std::string text(reinterpret_cast<const char*>(data), size);
  platform::ParseRows(text);
  platform::ParseCommitVersion(text);
  const auto owner = ParseOwnerRow(text);
  if (const auto* row = std::get_if<OwnerRow>(&owner)) {
    EncodeOwnerRow(*row);
  }
  const auto record = ParseTokenRecord(text);
  if (const auto* written = std::get_if<WrittenTokenRecord>(&record)) {
    EncodeTokenRecord(written->record, written->clock_ms);
    TokenLimits limits;
    RestoreTokens(written->record, Duration::zero(), std::chrono::seconds(8),
                  Time(std::chrono::hours(1)), &limits);
  }
  return 0;
}
