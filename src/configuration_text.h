#ifndef BULRUSHWAY_CONFIGURATION_TEXT_H
#define BULRUSHWAY_CONFIGURATION_TEXT_H

// Formats the entries and values of a route_table for the reports of configuration_findings.h.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "route_table.h"

namespace bulrushway {

/// Entry name of the limits on callers.
inline constexpr const char* kLimitsEntry = "limits";

/// The text in single quotes.
std::string Quoted(std::string_view text);

/// "route 'r1'"; a route without a name goes by its host and prefix.
std::string EntryName(const route& entry);
/// "service 's1'".
std::string EntryName(const service_policy& entry);
/// "workspace 'runners'".
std::string EntryName(const workspace& entry);

/// The shortest decimal text of a number.
std::string FormatNumber(double value);
/// "0.25 s".
std::string FormatSeconds(std::chrono::milliseconds value);
/// "16384 bytes".
std::string FormatBytes(uint64_t value);
/// A version as eight hexadecimal digits, as operators write it.
std::string FormatVersion(uint64_t version);
/// The regions in order of their names, or "all regions".
std::string JoinRegions(std::vector<std::string> regions);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_TEXT_H
