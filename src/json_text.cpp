#include "json_text.h"

#include <stdexcept>
#include <string>

namespace bulrushway {
namespace {

constexpr int kMaxDepth = 32;

// Whether the text opens more than kMaxDepth lists and objects within one another. Of an invalid
// text it may say either.
bool IsNestedTooDeeply(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      // The next character is escaped.
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxDepth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

// The library's messages end with the token that it read last, which may be a credential.
std::string WithoutQuotedInput(const std::string& message) {
  return message.substr(0, message.find("; last read: "));
}

}  // namespace

nlohmann::json ParseJson(std::string_view text) {
  if (IsNestedTooDeeply(text)) {
    throw std::runtime_error("the text is nested more than " + std::to_string(kMaxDepth) +
                             " levels deep");
  }
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::parse_error& failure) {
    throw std::runtime_error(WithoutQuotedInput(failure.what()));
  }
}

std::string ToJsonText(const nlohmann::json& value, int indent) {
  return value.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace bulrushway
