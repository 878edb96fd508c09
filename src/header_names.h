#ifndef BULRUSHWAY_HEADER_NAMES_H
#define BULRUSHWAY_HEADER_NAMES_H

// Names of the HTTP headers by which callers, this system and targets understand each other. They
// belong to the platform that the system runs on; the platform's adapter fills them in.

#include <string>

namespace bulrushway {

struct header_names {
  /// The caller's id of the request; echoed in answers.
  std::string request_id;
  /// Milliseconds that the sender will wait.
  std::string time_left;
  /// Key of a divided service.
  std::string key;
  /// Service that runs where the request began; set by this system.
  std::string caller;
  /// Id of the target that is to run the request; any other refuses it.
  std::string target_instance;
  /// Id of the target that gave an answer.
  std::string answering_instance;
  /// Signature of a target on its own answers.
  std::string signature;
  /// Present when a target says that it has not run the request.
  std::string not_run;
  /// Load of a target at the moment of its answer.
  std::string load;
  /// Milliseconds for which a target stays cold.
  std::string cold_left;
  /// Seconds after which a refused caller may come back.
  std::string retry_after;

  bool operator==(const header_names&) const = default;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HEADER_NAMES_H
