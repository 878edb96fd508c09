#ifndef BULRUSHWAY_CONFIGURATION_FINDINGS_H
#define BULRUSHWAY_CONFIGURATION_FINDINGS_H

// Findings of a configuration that is valid but has entries without effect or limits that
// contradict each other, and the differences between two versions. No text contains an API key.

#include <string>
#include <string_view>
#include <vector>

#include "configuration_diff.h"
#include "route_table.h"

namespace bulrushway {

/// What is wrong with an entry.
enum class finding_kind {
  /// An earlier route has the same host and prefix.
  kHiddenRoute,
  /// The host has capitals or a port, or the prefix a query: no request is matched by these.
  kUnmatchableRoute,
  /// A part of a split gets no requests.
  kZeroWeight,
  /// A route names a service that the configuration does not have.
  kUnknownService,
  /// A route and workspaces allow no region in common.
  kNoCommonRegion,
  /// A route's timeout is shorter than its latency target.
  kTimeoutBelowTarget,
  /// A workspace has a burst, and no rate that it could exceed.
  kBurstWithoutRate,
  /// The size limit of headers is above that of bodies.
  kHeaderLimitAboveBodyLimit,
  /// The timeout of headers is above that of idle connections.
  kHeaderTimeoutAboveIdleTimeout,
  /// A workspace has no API key.
  kWorkspaceWithoutKeys,
};

/// Name of the kind in reports, such as "hidden-route".
std::string_view Name(finding_kind kind);

/// A finding about one entry, in full sentences.
struct configuration_finding {
  finding_kind kind = finding_kind::kHiddenRoute;
  /// The entry, such as "route 'r1'".
  std::string entry;
  std::string problem;
  std::string remedy;
};

/// All findings, in the order of routes, workspaces and limits.
std::vector<configuration_finding> FindProblems(const route_table& table);

/// An entry, or one of its properties, that differs.
struct configuration_difference {
  change_kind kind = change_kind::kChanged;
  /// The entry, such as "workspace 'runners'".
  std::string entry;
  /// A full sentence.
  std::string text;
};

/// The differences from `before` to `after`: version, limits, routes, services, workspaces. Entries
/// are matched by name. API keys are counted.
std::vector<configuration_difference> FindDifferences(const route_table& before,
                                                      const route_table& after);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_FINDINGS_H
