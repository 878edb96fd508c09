#ifndef BULRUSHWAY_BASE64_H
#define BULRUSHWAY_BASE64_H

// Values of rows travel as base64.

#include <optional>
#include <string>

namespace bulrushway {

std::string EncodeBase64(const std::string& bytes);
/// The bytes; none when the text is not base64.
std::optional<std::string> DecodeBase64(std::string text);

}  // namespace bulrushway

#endif  // BULRUSHWAY_BASE64_H
