#ifndef BULRUSHWAY_ERROR_H
#define BULRUSHWAY_ERROR_H

// The error type of all fallible functions. It states who caused the error, the failed step and the
// peer involved, so that a log line is enough to find the cause.

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace bulrushway {

/// Who caused an error.
enum class error_kind {
  /// The user provided invalid input: a setting, an inventory, a request.
  kUser,
  /// A peer process, a target or the platform did not answer, or sent an invalid answer.
  kPeer,
  /// A concurrent change of a row or message came first; read it again and retry.
  kConflict,
  /// A bug of this program.
  kInternal,
};

/// What failed, at which step, and with which peer.
struct error {
  error_kind kind = error_kind::kInternal;
  /// The failed step, as a verb phrase: "parse settings", "commit transaction".
  std::string step;
  /// The peer: an address, a file with its line, a node name. Empty when there is none.
  std::string peer;
  /// A full sentence that quotes the invalid value.
  std::string message;
};

/// A value or an error.
template <class Value>
using result = tl::expected<Value, error>;

/// Makes a result that holds an error.
inline tl::unexpected<error> Failure(error_kind kind, std::string step, std::string peer,
                                     std::string message) {
  return tl::unexpected<error>(error{kind, std::move(step), std::move(peer), std::move(message)});
}

/// Formats as "step (peer): message", for logs and terminals.
std::string ToString(const error& failure);

}  // namespace bulrushway

#endif  // BULRUSHWAY_ERROR_H
