#ifndef BULRUSHWAY_ANSWER_TEXT_H
#define BULRUSHWAY_ANSWER_TEXT_H

// The body of a target stand-in's answer. It repeats what was asked and ends with a checksum, so
// that the load stand-in can tell a whole answer to its own request from a truncated or crossed
// one.

#include <optional>
#include <string>

namespace bulrushway::standin {

/// What an answer says.
struct answer_fields {
  std::string target;
  std::string request_id;
  std::string key;
  /// Path and query of the request as the target got it.
  std::string path;
};

/// The body, with `padding` bytes of filling.
std::string ComposeAnswer(const answer_fields& fields, size_t padding);

/// The fields of a whole body; nothing when it was cut or changed.
std::optional<answer_fields> ParseAnswer(const std::string& body);

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_ANSWER_TEXT_H
