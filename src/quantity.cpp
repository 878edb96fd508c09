#include "quantity.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace bulrushway {
namespace {

constexpr std::string_view kBlanks = " \t";
constexpr size_t kMaxNameLength = 32;

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::string Quote(std::string_view text) { return "'" + std::string(text) + "'"; }

struct unit {
  std::string_view name;
  double factor;
};

constexpr std::array<unit, 5> kDurationUnits = {
    {{"ms", 1}, {"s", 1e3}, {"min", 60e3}, {"h", 3600e3}, {"d", 86400e3}}};
constexpr std::array<unit, 4> kSizeUnits = {
    {{"B", 1}, {"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}}};
constexpr std::array<unit, 1> kShareUnits = {{{"%", 0.01}}};
// Keeps values in the range in which a double represents every integer.
constexpr double kMaxQuantity = 1e15;

// Parses a non-negative number followed by one of `units`. Errors end with `expected_form`.
template <size_t Count>
parsed<double> ParseWithUnit(std::string_view text, const std::array<unit, Count>& units,
                             std::string_view expected_form) {
  const std::string_view trimmed = Trim(text);
  const auto fail = [&](std::string_view why) {
    return tl::unexpected<std::string>(Quote(trimmed) + " " + std::string(why) + "; write " +
                                       std::string(expected_form) + ".");
  };
  const size_t digits = std::min(trimmed.find_first_not_of("0123456789."), trimmed.size());
  double number = 0;
  const auto [end, code] = std::from_chars(trimmed.data(), trimmed.data() + digits, number);
  if (digits == 0 || code != std::errc{} || end != trimmed.data() + digits) {
    return fail("does not start with a non-negative number");
  }
  const std::string_view name = Trim(trimmed.substr(digits));
  if (name.empty()) return fail("has no unit");
  const auto found = std::find_if(units.begin(), units.end(),
                                  [&](const unit& candidate) { return candidate.name == name; });
  if (found == units.end()) return fail("has the unknown unit " + Quote(name));
  const double value = number * found->factor;
  if (value > kMaxQuantity) return fail("is too large");
  return value;
}

// Parses `width` digits at the front of `text` and removes them.
bool ConsumeNumber(std::string_view& text, size_t width, int& value) {
  if (text.size() < width) return false;
  const auto [end, code] = std::from_chars(text.data(), text.data() + width, value);
  if (code != std::errc{} || end != text.data() + width || value < 0) return false;
  text.remove_prefix(width);
  return true;
}

bool ConsumeCharacter(std::string_view& text, std::string_view any_of) {
  if (text.empty() || any_of.find(text.front()) == std::string_view::npos) return false;
  text.remove_prefix(1);
  return true;
}

size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= left.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= right.size(); ++j) {
      const size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

}  // namespace

parsed<std::chrono::milliseconds> ParseDuration(std::string_view text) {
  const auto value = ParseWithUnit(
      text, kDurationUnits, "a duration with one of the units ms, s, min, h, d, such as '250 ms'");
  if (!value) return tl::unexpected<std::string>(value.error());
  const double rounded = std::round(*value);
  if (std::abs(rounded - *value) > 1e-6) {
    return tl::unexpected<std::string>(
        Quote(Trim(text)) + " is not a whole number of milliseconds; write whole milliseconds.");
  }
  return std::chrono::milliseconds(static_cast<int64_t>(rounded));
}

parsed<uint64_t> ParseSize(std::string_view text) {
  const auto value = ParseWithUnit(
      text, kSizeUnits, "a size with one of the units B, KiB, MiB, GiB, such as '64 KiB'");
  if (!value) return tl::unexpected<std::string>(value.error());
  return static_cast<uint64_t>(std::llround(*value));
}

parsed<double> ParseShare(std::string_view text) {
  const auto value = ParseWithUnit(text, kShareUnits, "a share from 0 % to 100 %, such as '2.8 %'");
  if (!value) return tl::unexpected<std::string>(value.error());
  if (*value > 1) {
    return tl::unexpected<std::string>(Quote(Trim(text)) +
                                       " is more than 100 %; write a share from 0 % to 100 %.");
  }
  return *value;
}

parsed<uint64_t> ParseCount(std::string_view text, uint64_t minimum, uint64_t maximum) {
  const std::string_view trimmed = Trim(text);
  uint64_t value = 0;
  const auto [end, code] = std::from_chars(trimmed.data(), trimmed.data() + trimmed.size(), value);
  const bool is_number = code == std::errc{} && end == trimmed.data() + trimmed.size();
  if (is_number && value >= minimum && value <= maximum) return value;
  return tl::unexpected<std::string>(Quote(trimmed) +
                                     (is_number ? " is out of range" : " is not a whole number") +
                                     "; write a whole number from " + std::to_string(minimum) +
                                     " to " + std::to_string(maximum) + ".");
}

parsed<bool> ParseYesNo(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  if (trimmed == "yes") return true;
  if (trimmed == "no") return false;
  return tl::unexpected<std::string>(Quote(trimmed) +
                                     " is neither 'yes' nor 'no'; write one of them.");
}

parsed<socket_address> ParseAddress(std::string_view text) {
  result<socket_address> address = ParseSocketAddress(std::string(Trim(text)));
  if (!address) return tl::unexpected<std::string>(std::move(address.error().message));
  return *std::move(address);
}

parsed<std::chrono::sys_seconds> ParseTime(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  std::string_view rest = trimmed;
  const tl::unexpected<std::string> invalid(
      Quote(trimmed) +
      " is not a valid time; write date and time in UTC, such as '2027-03-14 06:30'.");
  int year = 0;
  int month = 0;
  int day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  const bool has_date = ConsumeNumber(rest, 4, year) && ConsumeCharacter(rest, "-") &&
                        ConsumeNumber(rest, 2, month) && ConsumeCharacter(rest, "-") &&
                        ConsumeNumber(rest, 2, day) && ConsumeCharacter(rest, " T");
  const bool has_minute = has_date && ConsumeNumber(rest, 2, hour) && ConsumeCharacter(rest, ":") &&
                          ConsumeNumber(rest, 2, minute);
  if (!has_minute) return invalid;
  if (ConsumeCharacter(rest, ":") && !ConsumeNumber(rest, 2, second)) return invalid;
  ConsumeCharacter(rest, "Z");
  const std::chrono::year_month_day date{std::chrono::year(year),
                                         std::chrono::month(static_cast<unsigned>(month)),
                                         std::chrono::day(static_cast<unsigned>(day))};
  if (!rest.empty() || !date.ok() || hour > 23 || minute > 59 || second > 59) return invalid;
  const std::chrono::sys_days midnight(date);
  return midnight + std::chrono::hours(hour) + std::chrono::minutes(minute) +
         std::chrono::seconds(second);
}

std::string FormatTime(std::chrono::sys_seconds time) {
  const auto midnight = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(midnight);
  const std::chrono::hh_mm_ss clock(time - midnight);
  std::array<char, 64> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%04d-%02u-%02u %02d:%02d:%02d",
                static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
                static_cast<int>(clock.minutes().count()),
                static_cast<int>(clock.seconds().count()));
  return buffer.data();
}

parsed<std::string> ParseName(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz0123456789-_";
  const bool valid = !trimmed.empty() && trimmed.size() <= kMaxNameLength &&
                     trimmed.front() >= 'a' && trimmed.front() <= 'z' &&
                     trimmed.find_first_not_of(kAllowed) == std::string_view::npos;
  if (valid) return std::string(trimmed);
  return tl::unexpected<std::string>(
      Quote(trimmed) +
      " is not a valid name; write a lower-case letter followed by lower-case letters, digits, "
      "'-' or '_', at most " +
      std::to_string(kMaxNameLength) + " characters.");
}

parsed<std::string> ParseRoute(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  const bool valid = trimmed.starts_with('/') && trimmed.find("//") == std::string_view::npos &&
                     trimmed.find_first_of(" \t?#") == std::string_view::npos;
  if (valid) return std::string(trimmed);
  return tl::unexpected<std::string>(
      Quote(trimmed) +
      " is not a valid route; write a path that starts with '/', such as '/bibs'.");
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  if (Trim(text).empty()) return items;
  while (true) {
    const size_t comma = text.find(',');
    items.emplace_back(Trim(text.substr(0, comma)));
    if (comma == std::string_view::npos) return items;
    text.remove_prefix(comma + 1);
  }
}

std::string NearestName(std::string_view text, const std::vector<std::string>& candidates) {
  std::string best;
  size_t best_distance = text.size() / 3 + 2;
  for (const std::string& candidate : candidates) {
    const size_t distance = EditDistance(text, candidate);
    if (distance >= best_distance) continue;
    best_distance = distance;
    best = candidate;
  }
  return best;
}

}  // namespace bulrushway
