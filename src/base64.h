#ifndef BULRUSHWAY_BASE64_H
#define BULRUSHWAY_BASE64_H

// Base64 encoding, used for the values of rows on the wire.

#include <optional>
#include <string>

namespace bulrushway {

std::string EncodeBase64(const std::string& bytes);
/// Decodes base64; nullopt when the text is not valid.
std::optional<std::string> DecodeBase64(std::string text);

}  // namespace bulrushway

#endif  // BULRUSHWAY_BASE64_H
