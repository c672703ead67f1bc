// Parsing is driven by a table with one entry per field: its name, the member
// of Settings that it sets, and what is expected.
#include "rosemaryhook/settings.h"

#include <fmt/core.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>
#include <vector>

#include "platform/duty_codec.h"
#include "rosemaryhook/enum_names.h"
#include "rosemaryhook/http.h"

namespace rosemaryhook {
namespace {

constexpr NameTable<ServingMode, 2> kServingNames{{
    {ServingMode::kRelay, "relay"},
    {ServingMode::kDirect, "direct"},
}};

// Sets one field of Settings from a scalar; false if the text is not valid.
using Setter = std::function<bool(const std::string&, Settings*)>;

struct Field {
  std::string name;
  std::string expected;
  bool required;
  Setter set;
  bool may_be_empty = false;  // then it has its default
};

Setter SetName(std::string Settings::*member) {
  return [member](const std::string& text, Settings* settings) {
    settings->*member = text;
    return !text.empty() && text.find_first_of(" \t\"=") == std::string::npos;
  };
}

Setter SetAddress(std::string Settings::*member) {
  return [member](const std::string& text, Settings* settings) {
    settings->*member = text;
    return Failure(ParseAddress(text)) == nullptr;
  };
}

bool ParseCount(const std::string& text,
                int64_t low,
                int64_t high,
                int64_t* value) {
  try {
    size_t end = 0;
    *value = std::stoll(text, &end);
    return end == text.size() && *value >= low && *value <= high;
  } catch (const std::exception&) {
    return false;
  }
}

Setter SetMillis(Duration Settings::*member, int64_t low, int64_t high) {
  return [=](const std::string& text, Settings* settings) {
    int64_t value = 0;
    const bool is_valid = ParseCount(text, low, high, &value);
    settings->*member = std::chrono::milliseconds(value);
    return is_valid;
  };
}

std::optional<double> ParseFinite(const std::string& text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

// Sets a figure that the platform fills in. A host that does not start for its
// sake would serve nobody, so the nearest value in range is used.
template <typename Set>
Field PlatformField(const char* name,
                    const char* expected,
                    double low,
                    double high,
                    Set set) {
  const auto set_nearest = [=](const std::string& text, Settings* settings) {
    const std::optional<double> value = ParseFinite(text);
    if (!value) {
      return false;
    }
    const double nearest = std::clamp(*value, low, high);
    if (nearest != *value) {
      settings->adjusted.push_back(fmt::format("{}={}", name, nearest));
    }
    set(nearest, settings);
    return true;
  };
  return {name, expected, false, set_nearest, true};
}

Duration MillisOf(double value) {
  return std::chrono::milliseconds(static_cast<int64_t>(value));
}

// Neither an address nor a window that cannot be used stops the host: it then
// performs no duties, or reports no usage.
bool SetDutyAddress(const std::string& text, Settings* settings) {
  if (Failure(ParseAddress(text)) != nullptr) {
    settings->adjusted.emplace_back("duty_address=");
    return true;
  }
  settings->duty_address = text;
  return true;
}

bool SetDuties(const std::string& text, Settings* settings) {
  std::string unknown;
  settings->duties = platform::ParseDuties(text, &unknown);
  if (!unknown.empty()) {
    settings->adjusted.push_back("duties-without=" + unknown);
  }
  return true;
}

// Windows of another length than the platform's would all be wrong.
bool SetUsageWindow(const std::string& text, Settings* settings) {
  constexpr double kMinWindowMs = 1000;
  constexpr double kMaxWindowMs = 3'600'000;
  const std::optional<double> value = ParseFinite(text);
  if (!value) {
    return false;
  }
  if (*value < kMinWindowMs || *value > kMaxWindowMs) {
    settings->adjusted.emplace_back("usage_window_ms=0");
  } else {
    settings->usage_window = MillisOf(*value);
  }
  return true;
}

Setter SetBytes(size_t Settings::*member, int64_t low, int64_t high) {
  return [=](const std::string& text, Settings* settings) {
    int64_t value = 0;
    const bool is_valid = ParseCount(text, low, high, &value);
    settings->*member = static_cast<size_t>(value);
    return is_valid;
  };
}

const std::vector<Field>& Fields() {
  constexpr char kName[] = "a name without spaces, quotes or =";
  constexpr char kAddress[] = "an address as IP:PORT";
  static const std::vector<Field> fields{
      {"host", kName, true, SetName(&Settings::host)},
      {"zone", kName, true, SetName(&Settings::zone)},
      {"callers", kAddress, true, SetAddress(&Settings::callers)},
      {"peers", kAddress, true, SetAddress(&Settings::peers)},
      {"operators", kAddress, true, SetAddress(&Settings::operators)},
      {"table", kAddress, true, SetAddress(&Settings::table)},
      {"body_bytes", "bytes from 1024 to 1048576", false,
       SetBytes(&Settings::body_bytes, 1 << 10, 1 << 20)},
      {"memory_mb", "whole megabytes from 0 to 1048576, or nothing", false,
       [](const std::string& text, Settings* settings) {
         return text.empty() ||
                SetBytes(&Settings::memory_mb, 0, 1 << 20)(text, settings);
       }},
      {"header_timeout_ms", "milliseconds from 100 to 60000", false,
       SetMillis(&Settings::header_timeout, 100, 60'000)},
      {"answer_limit_ms", "milliseconds from 1000 to 3600000", false,
       SetMillis(&Settings::answer_limit, 1'000, 3'600'000)},
      {"silence_limit_ms", "milliseconds from 500 to 600000", false,
       SetMillis(&Settings::silence_limit, 500, 600'000)},
      PlatformField("heartbeat_ms", "milliseconds from 500 to 10000", 500,
                    10000,
                    [](double value, Settings* settings) {
                      settings->heartbeat = MillisOf(value);
                    }),
      {"fault_injection", "true or false", false,
       [](const std::string& text, Settings* settings) {
         settings->fault_injection = text == "true";
         return text == "true" || text == "false";
       }},
      {"weighs_copies", "true or false", false,
       [](const std::string& text, Settings* settings) {
         settings->weighs_copies = text == "true";
         return text == "true" || text == "false";
       }},
      {"serving", "relay or direct", false,
       [](const std::string& text, Settings* settings) {
         const auto mode = ValueOf(kServingNames, text);
         settings->serving = mode.value_or(ServingMode::kRelay);
         return mode.has_value();
       }},
      {"readiness", kAddress, false, SetAddress(&Settings::readiness)},
      {"source_address", "an IP address", false,
       [](const std::string& text, Settings* settings) {
         settings->source_address = text;
         beast::error_code ec;
         asio::ip::make_address(text, ec);
         return !ec;
       }},
      PlatformField("order_lease_ms", "milliseconds from 0 to 60000", 0, 60000,
                    [](double value, Settings* settings) {
                      settings->order_lease = MillisOf(value);
                    }),
      PlatformField("processor_share", "a number from 0.01 to 1024", 0.01, 1024,
                    [](double value, Settings* settings) {
                      settings->processor_share = value;
                    }),
      PlatformField("rate_window_ms", "milliseconds from 1000 to 15000", 1000,
                    15000,
                    [](double value, Settings* settings) {
                      settings->rate_window = MillisOf(value);
                    }),
      PlatformField("repeat_share", "a number from 0 to 10", 0, 10,
                    [](double value, Settings* settings) {
                      settings->repeats.share = value;
                    }),
      PlatformField("repeat_reserve", "a number from 0 to 1000000", 0, 1e6,
                    [](double value, Settings* settings) {
                      settings->repeats.reserve = value;
                    }),
      PlatformField("repeat_window_ms", "milliseconds from 1000 to 11000", 1000,
                    11000,
                    [](double value, Settings* settings) {
                      settings->repeats.window = MillisOf(value);
                    }),
      {"duty_address", kAddress, false, SetDutyAddress, true},
      {"duties", "names separated by commas", false, SetDuties, true},
      {"usage_window_ms", "milliseconds from 1000 to 3600000", false,
       SetUsageWindow, true},
      PlatformField("usage_late_ms", "milliseconds from 1000 to 3600000", 1000,
                    3600000,
                    [](double value, Settings* settings) {
                      settings->usage_late = MillisOf(value);
                    }),
      PlatformField("duties_per_s", "a number from 1 to 10000", 1, 10000,
                    [](double value, Settings* settings) {
                      settings->duties_per_s = value;
                    }),
      PlatformField("drain_limit_ms", "milliseconds from 1000 to 3600000", 1000,
                    3600000,
                    [](double value, Settings* settings) {
                      settings->drain_limit = MillisOf(value);
                    }),
  };
  return fields;
}

Error MakeError(const std::string& file,
                int line,
                const std::string& field,
                const std::string& message) {
  return Error{Step::kSettings, "",
               fmt::format("{}:{}: {}: {}", file, line, field, message)};
}

const Field* FindField(const std::string& name) {
  for (const Field& field : Fields()) {
    if (field.name == name) {
      return &field;
    }
  }
  return nullptr;
}

Result<Settings> ParseMap(const YAML::Node& root, const std::string& file) {
  Settings settings;
  std::vector<std::string> seen;
  for (const auto& entry : root) {
    const int line = entry.first.Mark().line + 1;
    const std::string name = entry.first.as<std::string>("");
    const Field* field = FindField(name);
    if (field == nullptr) {
      return MakeError(file, line, name, "expected a known field");
    }
    if (std::find(seen.begin(), seen.end(), name) != seen.end()) {
      return MakeError(file, line, name, "expected the field only once");
    }
    seen.push_back(name);
    if (field->may_be_empty && entry.second.IsNull()) {
      continue;
    }
    const bool is_scalar = entry.second.IsScalar();
    const std::string text = is_scalar ? entry.second.Scalar() : "";
    if (!is_scalar || !field->set(text, &settings)) {
      return MakeError(file, line, name,
                       fmt::format("expected {}, not \"{}\"", field->expected,
                                   is_scalar ? text : "a list or map"));
    }
  }
  for (const Field& field : Fields()) {
    if (field.required &&
        std::find(seen.begin(), seen.end(), field.name) == seen.end()) {
      return MakeError(file, root.Mark().line + 1, field.name,
                       "is missing; expected " + field.expected);
    }
  }
  if (settings.serving == ServingMode::kDirect && settings.readiness.empty()) {
    return MakeError(file, root.Mark().line + 1, "readiness",
                     "is missing; expected an address as IP:PORT");
  }
  return settings;
}

}  // namespace

std::string_view ServingModeName(ServingMode mode) {
  return NameOf(kServingNames, mode);
}

Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file) {
  try {
    const YAML::Node root = YAML::Load(text);
    if (!root.IsMap()) {
      return MakeError(file, 1, "settings", "expected a map of fields");
    }
    return ParseMap(root, file);
  } catch (const YAML::Exception& e) {
    return MakeError(file, e.mark.line + 1, "settings",
                     "expected YAML: " + e.msg);
  }
}

Result<Settings> LoadSettings(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    return MakeError(file, 0, "settings", "cannot be read");
  }
  std::stringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), file);
}

}  // namespace rosemaryhook
