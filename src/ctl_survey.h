#ifndef BULRUSHWAY_CTL_SURVEY_H
#define BULRUSHWAY_CTL_SURVEY_H

// Queries the status of all nodes, starting from those named by --nodes. Nodes that others list as
// members but that do not answer are included, with the reason.

#include <cstdint>
#include <string>
#include <vector>

#include "ctl_session.h"

namespace bulrushway {

/// Status of one node.
struct node_status {
  socket_address address;
  bool reachable = false;
  /// Reason why the node is not reachable.
  std::string failure;
  /// The fields below come from the node or, if it does not answer, from another node's members.
  std::string node;
  std::string service;
  std::string data_centre;
  std::string state;
  int64_t lease_ms = 0;
  uint64_t slices = 0;
  uint64_t config_version = 0;
};

/// Queries the nodes named by --nodes and all members that they report. Sorted by name.
std::vector<node_status> SurveyFleet(ctl_session& session);

/// HTTP addresses of the nodes.
std::vector<socket_address> AddressesOf(const std::vector<node_status>& fleet);

/// Prints each node that does not answer to standard error; returns kUnreachable if there are any.
ctl_exit ReportUnreachable(const ctl_session& session, const std::vector<node_status>& fleet);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CTL_SURVEY_H
