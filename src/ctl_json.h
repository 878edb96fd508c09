#ifndef BULRUSHWAY_CTL_JSON_H
#define BULRUSHWAY_CTL_JSON_H

// Reads fields of JSON received from a node, which may have any structure. Only for .cpp files of
// bulrushctl.

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bulrushway {

/// Value of a string field; empty when the field is absent or not a string.
std::string TextOf(const nlohmann::json& value, const char* key);

/// Value of an integer field; 0 when the field is absent or not an integer.
int64_t NumberOf(const nlohmann::json& value, const char* key);

/// Value of an array field; an empty array when the field is absent or not an array.
nlohmann::json ListOf(const nlohmann::json& value, const char* key);

/// Formats JSON with indentation; bytes that are not UTF-8 are replaced.
std::string Dump(const nlohmann::json& value);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CTL_JSON_H
