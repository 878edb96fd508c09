#ifndef BULRUSHWAY_QUANTITY_H
#define BULRUSHWAY_QUANTITY_H

// Values with units as people write them in settings, inventory and rules. Each parser answers with
// the value or with a sentence that quotes the input and says what would be right.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "socket_address.h"

namespace bulrushway {

/// A value, or a sentence for the person who wrote it.
template <class Value>
using parsed = tl::expected<Value, std::string>;

/// A duration such as "250 ms", "1.5 s", "2 min", "1 h" or "7 d". A unit is required.
parsed<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// A size in bytes such as "64 KiB" or "1 MiB"; units are B, KiB, MiB and GiB. A unit is required.
parsed<uint64_t> ParseSize(std::string_view text);

/// A share such as "2.8 %", as a fraction from 0 to 1.
parsed<double> ParseShare(std::string_view text);

/// A whole number from `least` to `most`.
parsed<uint64_t> ParseCount(std::string_view text, uint64_t minimum, uint64_t maximum);

/// "yes" or "no".
parsed<bool> ParseYesNo(std::string_view text);

/// An IPv4 address with a port, such as "10.1.2.3:8080".
parsed<socket_address> ParseAddress(std::string_view text);

/// A UTC point in time such as "2027-03-14 06:30" or "2027-03-14T06:30:00Z".
parsed<std::chrono::sys_seconds> ParseTime(std::string_view text);

/// "2027-03-14 06:30:00", UTC.
std::string FormatTime(std::chrono::sys_seconds time);

/// A name: lower-case letters, digits, '-' and '_', starting with a letter, at most 32 characters.
parsed<std::string> ParseName(std::string_view text);

/// A path prefix of routes: starts with '/', without query, '//' or blanks, such as "/bibs".
parsed<std::string> ParseRoute(std::string_view text);

/// The parts of a list separated by commas, trimmed. An empty text is an empty list.
std::vector<std::string> SplitList(std::string_view text);

/// The candidate most like `text`, or an empty string when none is near.
std::string NearestName(std::string_view text, const std::vector<std::string>& candidates);

}  // namespace bulrushway

#endif  // BULRUSHWAY_QUANTITY_H
