#ifndef BULRUSHWAY_QUANTITY_H
#define BULRUSHWAY_QUANTITY_H

// Parsers of the values in settings, inventory and rules, with their units. Each one returns the
// value, or an error message that quotes the input and describes the expected form.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "socket_address.h"

namespace bulrushway {

/// A value, or an error message for the author of the text.
template <class Value>
using parsed = tl::expected<Value, std::string>;

/// Parses a duration such as "250 ms", "1.5 s", "2 min", "1 h" or "7 d". A unit is required.
parsed<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// Parses a size in bytes such as "64 KiB" or "1 MiB"; units are B, KiB, MiB and GiB. A unit is
/// required.
parsed<uint64_t> ParseSize(std::string_view text);

/// Parses a percentage such as "2.8 %" into a fraction from 0 to 1.
parsed<double> ParseShare(std::string_view text);

/// Parses an integer from `minimum` to `maximum`, both included.
parsed<uint64_t> ParseCount(std::string_view text, uint64_t minimum, uint64_t maximum);

/// Parses "yes" or "no".
parsed<bool> ParseYesNo(std::string_view text);

/// Parses an IPv4 address with a port, such as "10.1.2.3:8080".
parsed<socket_address> ParseAddress(std::string_view text);

/// Parses a UTC time such as "2027-03-14 06:30" or "2027-03-14T06:30:00Z".
parsed<std::chrono::sys_seconds> ParseTime(std::string_view text);

/// Formats a time as "2027-03-14 06:30:00" in UTC.
std::string FormatTime(std::chrono::sys_seconds time);

/// Parses a name: lower-case letters, digits, '-' and '_', starting with a letter, at most 32
/// characters.
parsed<std::string> ParseName(std::string_view text);

/// Parses a path prefix such as "/bibs": starts with '/', without query, fragment, '//' or blanks.
parsed<std::string> ParseRoute(std::string_view text);

/// Splits a comma-separated list into trimmed items. Blank text is an empty list.
std::vector<std::string> SplitList(std::string_view text);

/// The candidate with the smallest edit distance to `text`, or an empty string when none is
/// similar.
std::string NearestName(std::string_view text, const std::vector<std::string>& candidates);

}  // namespace bulrushway

#endif  // BULRUSHWAY_QUANTITY_H
