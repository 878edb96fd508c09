#include "answer_text.h"

#include <xxhash.h>

#include <array>
#include <sstream>

namespace bulrushway::standin {
namespace {

const std::string kChecksumName = "checksum: ";

std::string Checksum(const std::string& text) {
  return std::to_string(XXH3_64bits(text.data(), text.size()));
}

// Reads one line "name: value" and returns the value; `name` includes the colon and the space.
std::optional<std::string> ReadField(std::istream& lines, const std::string& name) {
  std::string line;
  if (!std::getline(lines, line) || !line.starts_with(name)) return std::nullopt;
  return line.substr(name.size());
}

}  // namespace

std::string ComposeAnswer(const answer_fields& fields, size_t padding) {
  std::string text = "target: " + fields.target + "\n";
  text += "request: " + fields.request_id + "\n";
  text += "key: " + fields.key + "\n";
  text += "path: " + fields.path + "\n";
  text += "padding: " + std::string(padding, 'x') + "\n";
  return text + kChecksumName + Checksum(text) + "\n";
}

std::optional<answer_fields> ParseAnswer(const std::string& body) {
  const size_t at = body.rfind(kChecksumName);
  if (at == std::string::npos) return std::nullopt;
  const std::string text = body.substr(0, at);
  if (body.substr(at) != kChecksumName + Checksum(text) + "\n") return std::nullopt;
  std::istringstream lines(text);
  const std::array<std::string, 4> names{"target: ", "request: ", "key: ", "path: "};
  std::array<std::string, 4> values;
  for (size_t i = 0; i < names.size(); ++i) {
    auto value = ReadField(lines, names[i]);
    if (!value) return std::nullopt;
    values[i] = std::move(*value);
  }
  return answer_fields{values[0], values[1], values[2], values[3]};
}

}  // namespace bulrushway::standin
