#ifndef BULRUSHWAY_ERROR_H
#define BULRUSHWAY_ERROR_H

// The error that every fallible function returns. It says whose fault it is, at which step it arose
// and with which peer, so that a log line is enough to find the cause.

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace bulrushway {

/// Whose mistake an error is.
enum class error_kind {
  /// The user gave bad input: a setting, an inventory, a request.
  kUser,
  /// A peer process, a target or the platform did not answer or answered wrongly.
  kPeer,
  /// A row or message was changed by somebody else first; read again and decide again.
  kConflict,
  /// A bug of this program.
  kInternal,
};

/// What went wrong, where, and with whom.
struct error {
  error_kind kind = error_kind::kInternal;
  /// The step, as a verb phrase: "parse settings", "commit transaction".
  std::string step;
  /// The peer: an address, a file with its line, a node name. Empty when there is none.
  std::string peer;
  /// A full sentence that quotes the offending value.
  std::string message;
};

/// A value or an error.
template <class Value>
using result = tl::expected<Value, error>;

/// Makes the unexpected side of a result.
inline tl::unexpected<error> Failure(error_kind kind, std::string step, std::string peer,
                                     std::string message) {
  return tl::unexpected<error>(error{kind, std::move(step), std::move(peer), std::move(message)});
}

/// "step (peer): message", for logs and terminals.
std::string ToString(const error& failure);

}  // namespace bulrushway

#endif  // BULRUSHWAY_ERROR_H
