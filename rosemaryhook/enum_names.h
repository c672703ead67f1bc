// Conversion between enum values and their names, by a table.
//
//   constexpr NameTable<Colour, 2> kNames{{{Colour::kRed, "red"}, ...}};
//   NameOf(kNames, Colour::kRed);      // "red"
//   ValueOf(kNames, "red");            // Colour::kRed, or nullopt
#ifndef ROSEMARYHOOK_ENUM_NAMES_H_
#define ROSEMARYHOOK_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace rosemaryhook {

template <typename E, size_t N>
using NameTable = std::array<std::pair<E, std::string_view>, N>;

template <typename E, size_t N>
constexpr std::string_view NameOf(const NameTable<E, N>& table, E value) {
  for (const auto& [key, name] : table) {
    if (key == value) {
      return name;
    }
  }
  return "unknown";
}

template <typename E, size_t N>
constexpr std::optional<E> ValueOf(const NameTable<E, N>& table,
                                   std::string_view name) {
  for (const auto& [key, candidate] : table) {
    if (candidate == name) {
      return key;
    }
  }
  return std::nullopt;
}

}  // namespace rosemaryhook

#endif  // ROSEMARYHOOK_ENUM_NAMES_H_
