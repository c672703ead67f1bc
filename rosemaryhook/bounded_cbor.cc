// The parser's handler is told of each array and map before it is read, and
// ends the parser at the one that is too deep.
#include "rosemaryhook/bounded_cbor.h"

namespace rosemaryhook {
namespace {

using Json = nlohmann::json;
using DomBuilder = nlohmann::detail::json_sax_dom_parser<Json>;

// Messages between hosts are nested up to five levels deep.
constexpr int kMaxDepth = 32;

// Builds the value. The parser calls the handler's functions by name, so these
// take the place of those of DomBuilder.
class BoundedBuilder : public DomBuilder {
 public:
  explicit BoundedBuilder(Json* value) : DomBuilder(*value) {}

  bool start_object(size_t size) {
    return Enter() && DomBuilder::start_object(size);
  }
  bool end_object() {
    --depth_;
    return DomBuilder::end_object();
  }
  bool start_array(size_t size) {
    return Enter() && DomBuilder::start_array(size);
  }
  bool end_array() {
    --depth_;
    return DomBuilder::end_array();
  }

 private:
  bool Enter() { return ++depth_ <= kMaxDepth; }

  int depth_ = 0;
};

}  // namespace

Json ParseBoundedCbor(std::string_view bytes) {
  Json value;
  BoundedBuilder builder(&value);
  if (!Json::sax_parse(bytes, &builder, Json::input_format_t::cbor)) {
    throw Json::out_of_range::create(408, "nested too deeply", nullptr);
  }
  return value;
}

}  // namespace rosemaryhook
