#include "rosemaryhook/log.h"

#include <fmt/core.h>

#include <algorithm>
#include <cstdio>

#include "rosemaryhook/time.h"

namespace rosemaryhook {
namespace {

std::string log_host;

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return c == ' ' || c == '"' || c == '=' || c == '\\' ||
                  static_cast<unsigned char>(c) < 0x20;
         });
}

void AppendQuoted(std::string_view value, std::string* out) {
  out->push_back('"');
  for (char c : value) {
    if (c == '"' || c == '\\') {
      out->push_back('\\');
      out->push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      *out += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      out->push_back(c);
    }
  }
  out->push_back('"');
}

}  // namespace

void SetLogHost(std::string_view host) {
  log_host = host;
}

std::string FormatLogLine(std::string_view event,
                          std::initializer_list<LogField> fields) {
  std::string line = fmt::format("event={}", event);
  for (const LogField& field : fields) {
    line += fmt::format(" {}=", field.key);
    if (NeedsQuotes(field.value)) {
      AppendQuoted(field.value, &line);
    } else {
      line += field.value;
    }
  }
  return line;
}

void Log(std::string_view event, std::initializer_list<LogField> fields) {
  fmt::print(stderr, "ms={} host={} {}\n", WallMillis(), log_host,
             FormatLogLine(event, fields));
}

}  // namespace rosemaryhook
