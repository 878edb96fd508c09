#ifndef BULRUSHWAY_PARSE_NUMBER_H
#define BULRUSHWAY_PARSE_NUMBER_H

// Parsing of plain numbers, as headers and settings of the platform have them.

#include <charconv>
#include <optional>
#include <string_view>

namespace bulrushway {

/// Parses a text that is a number and nothing else; empty otherwise, and when out of range.
template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number value{};
  const char* last = text.data() + text.size();
  const auto [end, problem] = std::from_chars(text.data(), last, value);
  if (problem != std::errc{} || end != last) return std::nullopt;
  return value;
}

}  // namespace bulrushway

#endif  // BULRUSHWAY_PARSE_NUMBER_H
