#ifndef BULRUSHWAY_HEADER_NAMES_H
#define BULRUSHWAY_HEADER_NAMES_H

// Names of the HTTP headers that callers, the router and targets exchange. They are defined by the
// platform, and its adapter fills them in.

#include <string>

namespace bulrushway {

struct header_names {
  /// Request id of the caller; echoed in answers.
  std::string request_id;
  /// Timeout of the sender in milliseconds.
  std::string time_left;
  /// Key of a request to a keyed service.
  std::string key;
  /// Service beside the process at which the request entered; set by the router.
  std::string caller;
  /// Workspace on whose behalf the request runs; set by the router.
  std::string workspace;
  /// Id of the target that must run the request; any other target refuses it.
  std::string target_instance;
  /// Id of the target that answered.
  std::string answering_instance;
  /// Signature of a target on its answers.
  std::string signature;
  /// Present when the target has not run the request.
  std::string not_run;
  /// Load of a target at the time of its answer.
  std::string load;
  /// Requests per second that a target in need takes from all processes together.
  std::string limit;
  /// Present while a target is leaving.
  std::string leaving;
  /// Milliseconds for which a target remains cold.
  std::string cold_left;
  /// Seconds after which a refused caller may retry.
  std::string retry_after;

  bool operator==(const header_names&) const = default;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_HEADER_NAMES_H
