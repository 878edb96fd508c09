#include "configuration_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace bulrushway {

std::string Quoted(std::string_view text) { return "'" + std::string(text) + "'"; }

std::string EntryName(const route& entry) {
  return "route " + Quoted(entry.name.empty() ? entry.host + entry.prefix : entry.name);
}

std::string EntryName(const service_policy& entry) { return "service " + Quoted(entry.name); }

std::string EntryName(const workspace& entry) { return "workspace " + Quoted(entry.name); }

std::string FormatNumber(double value) {
  std::array<char, 64> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), end.ptr};
}

std::string FormatSeconds(std::chrono::milliseconds value) {
  return FormatNumber(std::chrono::duration<double>(value).count()) + " s";
}

std::string FormatBytes(uint64_t value) { return std::to_string(value) + " bytes"; }

std::string FormatVersion(uint64_t version) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%08llx", static_cast<unsigned long long>(version));
  return text.data();
}

std::string JoinRegions(std::vector<std::string> regions) {
  if (regions.empty()) return "all regions";
  std::sort(regions.begin(), regions.end());
  std::string joined;
  for (const std::string& region : regions) joined += (joined.empty() ? "" : ", ") + region;
  return joined;
}

}  // namespace bulrushway
