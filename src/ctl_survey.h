#ifndef BULRUSHWAY_CTL_SURVEY_H
#define BULRUSHWAY_CTL_SURVEY_H

// Asks the whole fleet for its state, starting from the nodes that the operator named. Nodes that
// are known to others but do not answer themselves are listed with the reason.

#include <cstdint>
#include <string>
#include <vector>

#include "ctl_session.h"

namespace bulrushway {

/// State of one node as it tells it itself.
struct node_status {
  socket_address address;
  bool reachable = false;
  /// Why it is not reachable.
  std::string failure;
  /// Known from itself or from others.
  std::string node;
  std::string service;
  std::string data_centre;
  std::string state;
  int64_t lease_ms = 0;
  uint64_t slices = 0;
  uint64_t config_version = 0;
};

/// Asks the named nodes and all that they know. Sorted by name.
std::vector<node_status> SurveyFleet(ctl_session& session);

/// HTTP addresses of the nodes.
std::vector<socket_address> AddressesOf(const std::vector<node_status>& fleet);

/// Prints each node that does not answer to standard error; kUnreachable if there is one.
ctl_exit ReportUnreachable(const ctl_session& session, const std::vector<node_status>& fleet);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CTL_SURVEY_H
