// nlohmann's reader calls itself for each level, also for the parts of strings
// of indefinite length, so the structure is walked without recursion before it
// is decoded.
#include "rosemaryhook/bounded_cbor.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace rosemaryhook {
namespace {

enum class Major : uint8_t {
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7,
};

// The first bytes of an item.
struct ItemHead {
  Major major = Major::kUnsigned;
  uint64_t argument = 0;
};

// Arguments below this are in the first byte.
constexpr uint8_t kFirstLongArgument = 24;
constexpr uint8_t kLastLongArgument = 27;

// Removes an item's head from the beginning of `rest`.
std::optional<ItemHead> TakeHead(std::string_view* rest) {
  if (rest->empty()) {
    return std::nullopt;
  }
  const auto first = static_cast<uint8_t>(rest->front());
  rest->remove_prefix(1);
  ItemHead head{static_cast<Major>(first >> 5), first & 0x1fU};
  if (head.argument < kFirstLongArgument) {
    return head;
  }
  if (head.argument > kLastLongArgument) {
    return std::nullopt;
  }
  const size_t size = size_t{1} << (head.argument - kFirstLongArgument);
  if (rest->size() < size) {
    return std::nullopt;
  }
  head.argument = 0;
  for (size_t i = 0; i < size; ++i) {
    head.argument = head.argument << 8 | static_cast<uint8_t>((*rest)[i]);
  }
  rest->remove_prefix(size);
  return head;
}

// Removes one item's head and, for a string, its content. Returns the number of
// items within it, or nothing if it exceeds `rest` or is of a refused form.
std::optional<uint64_t> TakeItem(std::string_view* rest) {
  const auto head = TakeHead(rest);
  if (!head || head->major == Major::kTag) {
    return std::nullopt;
  }
  const bool is_string =
      head->major == Major::kBytes || head->major == Major::kText;
  const bool has_items =
      head->major == Major::kArray || head->major == Major::kMap;
  // Each item takes a byte at least.
  if ((is_string || has_items) && head->argument > rest->size()) {
    return std::nullopt;
  }
  if (is_string) {
    rest->remove_prefix(head->argument);
  }
  if (!has_items) {
    return 0;
  }
  return head->major == Major::kMap ? 2 * head->argument : head->argument;
}

bool IsBounded(std::string_view rest) {
  std::vector<uint64_t> open;  // items left at each level
  do {
    const auto items = TakeItem(&rest);
    if (!items) {
      return false;
    }
    if (*items > 0) {
      open.push_back(*items);
    }
    if (open.size() > kMaxCborDepth) {
      return false;
    }
    // A container counts for its level once its own items are complete.
    bool is_complete = *items == 0;
    while (is_complete && !open.empty()) {
      is_complete = --open.back() == 0;
      if (is_complete) {
        open.pop_back();
      }
    }
  } while (!open.empty());
  return rest.empty();
}

}  // namespace

nlohmann::json DecodeCbor(std::string_view bytes) {
  using nlohmann::json;
  if (!IsBounded(bytes)) {
    return json(json::value_t::discarded);
  }
  return json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

}  // namespace rosemaryhook
