// Parsing is driven by a table with one entry per field: its name, the member
// of Settings that it sets, and what is expected.
#include "rosemaryhook/settings.h"

#include <fmt/core.h>
#include <yaml-cpp/yaml.h>

#include <fstream>
#include <functional>
#include <sstream>
#include <vector>

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

Setter SetNumber(double RepeatBounds::*member, double low, double high) {
  return [=](const std::string& text, Settings* settings) {
    try {
      size_t end = 0;
      const double value = std::stod(text, &end);
      settings->repeats.*member = value;
      return end == text.size() && value >= low && value <= high;
    } catch (const std::exception&) {
      return false;
    }
  };
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
      {"heartbeat_ms", "milliseconds from 500 to 10000", false,
       SetMillis(&Settings::heartbeat, 500, 10'000)},
      {"fault_injection", "true or false", false,
       [](const std::string& text, Settings* settings) {
         settings->fault_injection = text == "true";
         return text == "true" || text == "false";
       }},
      {"serving", "relay or direct", false,
       [](const std::string& text, Settings* settings) {
         const auto mode = ValueOf(kServingNames, text);
         settings->serving = mode.value_or(ServingMode::kRelay);
         return mode.has_value();
       }},
      {"readiness", kAddress, false, SetAddress(&Settings::readiness)},
      {"order_lease_ms", "milliseconds from 0 to 60000", false,
       SetMillis(&Settings::order_lease, 0, 60'000)},
      {"rate_window_ms", "milliseconds from 1000 to 15000", false,
       SetMillis(&Settings::rate_window, 1'000, 15'000)},
      {"repeat_share", "a number from 0 to 10", false,
       SetNumber(&RepeatBounds::share, 0, 10)},
      {"repeat_reserve", "a number from 0 to 1000000", false,
       SetNumber(&RepeatBounds::reserve, 0, 1e6)},
      {"repeat_window_ms", "milliseconds from 1000 to 11000", false,
       [](const std::string& text, Settings* settings) {
         int64_t value = 0;
         const bool is_valid = ParseCount(text, 1'000, 11'000, &value);
         settings->repeats.window = std::chrono::milliseconds(value);
         return is_valid;
       }},
      {"drain_limit_ms", "milliseconds from 1000 to 3600000", false,
       SetMillis(&Settings::drain_limit, 1'000, 3'600'000)},
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
