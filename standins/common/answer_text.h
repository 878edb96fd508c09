#ifndef BULRUSHWAY_ANSWER_TEXT_H
#define BULRUSHWAY_ANSWER_TEXT_H

// The body of a target stand-in's answer. It echoes the request and ends with a checksum, so that
// the load generator can detect truncated answers and answers to another request.

#include <optional>
#include <string>

namespace bulrushway::standin {

/// Fields of an answer's body.
struct answer_fields {
  std::string target;
  std::string request_id;
  std::string key;
  /// Path and query of the request as the target received it.
  std::string path;
};

/// Returns the body with `padding` bytes of padding and its checksum.
std::string ComposeAnswer(const answer_fields& fields, size_t padding);

/// Parses a body; returns nothing if it was truncated or altered.
std::optional<answer_fields> ParseAnswer(const std::string& body);

}  // namespace bulrushway::standin

#endif  // BULRUSHWAY_ANSWER_TEXT_H
