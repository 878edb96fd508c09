#include "configuration_findings.h"

#include <algorithm>
#include <map>
#include <utility>

#include "configuration_text.h"
#include "home_regions.h"

namespace bulrushway {
namespace {

using finding_list = std::vector<configuration_finding>;

std::string TheEntry(const std::string& entry) { return "The " + entry; }

void FindHiddenRoutes(const std::vector<route>& routes, finding_list& findings) {
  std::map<std::pair<std::string, std::string>, const route*> first_routes;
  for (const route& current : routes) {
    const auto [first, added] =
        first_routes.emplace(std::pair(current.host, current.prefix), &current);
    if (added) continue;
    const std::string entry = EntryName(current);
    findings.push_back({finding_kind::kHiddenRoute, entry,
                        TheEntry(entry) + " never matches: the " + EntryName(*first->second) +
                            " comes before it and has the same host " + Quoted(current.host) +
                            " and prefix " + Quoted(current.prefix) + ".",
                        "Remove one of the two routes, or change the host or prefix of one."});
  }
}

void CheckMatchable(const route& current, finding_list& findings) {
  const std::string entry = EntryName(current);
  const bool host_matches = std::none_of(current.host.begin(), current.host.end(),
                                         [](char c) { return c == ':' || (c >= 'A' && c <= 'Z'); });
  if (!host_matches) {
    findings.push_back({finding_kind::kUnmatchableRoute, entry,
                        TheEntry(entry) + " never matches: its host " + Quoted(current.host) +
                            " has capital letters or a port, and the hosts of requests are "
                            "compared in lower case and without their port.",
                        "Write the host in lower case and without a port."});
  }
  if (current.prefix.find('?') != std::string::npos) {
    findings.push_back({finding_kind::kUnmatchableRoute, entry,
                        TheEntry(entry) + " never matches: its prefix " + Quoted(current.prefix) +
                            " has a question mark, and the query of a request is not compared.",
                        "Remove the query from the prefix."});
  }
}

void CheckSplit(const route& current, const route_table& table, finding_list& findings) {
  const std::string entry = EntryName(current);
  for (const weighted_service& part : current.split) {
    if (part.weight > 0) continue;
    findings.push_back({finding_kind::kZeroWeight, entry,
                        TheEntry(entry) + " gives the service " + Quoted(part.service) +
                            " a weight of 0, so that the service gets none of its requests.",
                        "Remove the service from the split, or give it a weight above 0."});
  }
  std::vector<std::string> unknown;
  for (const weighted_service& part : current.split) {
    if (table.FindService(part.service) != nullptr) continue;
    if (std::find(unknown.begin(), unknown.end(), part.service) != unknown.end()) continue;
    unknown.push_back(part.service);
    findings.push_back({finding_kind::kUnknownService, entry,
                        TheEntry(entry) + " sends requests to the service " + Quoted(part.service) +
                            ", which the configuration does not have.",
                        "Add the service, or correct its name in the route."});
  }
}

// Public routes are exempt: their requests belong to no workspace.
void CheckRegions(const route& current, const std::vector<workspace>& workspaces,
                  finding_list& findings) {
  if (current.is_public || current.home_regions.empty()) return;
  std::string excluded;
  for (const workspace& candidate : workspaces) {
    const auto is_allowed = [&](const std::string& region) {
      return AllowsRegion(candidate.home_regions, region);
    };
    if (std::any_of(current.home_regions.begin(), current.home_regions.end(), is_allowed)) continue;
    if (!excluded.empty()) excluded += ", ";
    excluded += Quoted(candidate.name) + " (" + JoinRegions(candidate.home_regions) + ")";
  }
  if (excluded.empty()) return;
  const std::string entry = EntryName(current);
  findings.push_back({finding_kind::kNoCommonRegion, entry,
                      TheEntry(entry) + " is allowed in " + JoinRegions(current.home_regions) +
                          " only and has no region in common with these workspaces: " + excluded +
                          ". Their requests to it are refused.",
                      "Allow a common region in the route or in each of these workspaces, unless "
                      "they are not meant to use the route."});
}

void CheckTimeout(const route& current, finding_list& findings) {
  if (current.timeout >= current.latency_target) return;
  const std::string entry = EntryName(current);
  const bool is_default = current.latency_target == route{}.latency_target;
  findings.push_back({finding_kind::kTimeoutBelowTarget, entry,
                      TheEntry(entry) + " has a timeout of " + FormatSeconds(current.timeout) +
                          ", which is below its latency target of " +
                          FormatSeconds(current.latency_target) +
                          (is_default ? " (which is also the value if none is given)." : "."),
                      "Raise the timeout, or set a latency target that is not above it."});
}

void CheckWorkspace(const workspace& current, finding_list& findings) {
  const std::string entry = EntryName(current);
  if (current.api_keys.empty()) {
    findings.push_back({finding_kind::kWorkspaceWithoutKeys, entry,
                        TheEntry(entry) + " has no API key, so that no request can belong to it.",
                        "Add a key, or remove the workspace if it is no longer used."});
  }
  if (!current.HasQuota() && current.burst > 0) {
    findings.push_back({finding_kind::kBurstWithoutRate, entry,
                        TheEntry(entry) + " has a burst of " + FormatNumber(current.burst) +
                            " beside a rate of 0. A rate of 0 means no limit, so that the burst "
                            "has no effect.",
                        "Set a rate above 0, or remove the burst."});
  }
}

void CheckLimits(const caller_limits& limits, finding_list& findings) {
  if (limits.header_bytes > limits.body_bytes) {
    findings.push_back({finding_kind::kHeaderLimitAboveBodyLimit, kLimitsEntry,
                        "The size limit of headers, " + FormatBytes(limits.header_bytes) +
                            ", is above that of bodies, " + FormatBytes(limits.body_bytes) + ".",
                        "Lower the limit of headers, or raise that of bodies."});
  }
  if (limits.request_timeout > limits.idle_timeout) {
    findings.push_back({finding_kind::kHeaderTimeoutAboveIdleTimeout, kLimitsEntry,
                        "The timeout for headers, " + FormatSeconds(limits.request_timeout) +
                            ", is above that of idle connections, " +
                            FormatSeconds(limits.idle_timeout) + ".",
                        "Lower the timeout for headers, or raise that of idle connections."});
  }
}

}  // namespace

std::string_view Name(finding_kind kind) {
  switch (kind) {
    case finding_kind::kHiddenRoute:
      return "hidden-route";
    case finding_kind::kUnmatchableRoute:
      return "unmatchable-route";
    case finding_kind::kZeroWeight:
      return "zero-weight";
    case finding_kind::kUnknownService:
      return "unknown-service";
    case finding_kind::kNoCommonRegion:
      return "no-common-region";
    case finding_kind::kTimeoutBelowTarget:
      return "timeout-below-target";
    case finding_kind::kBurstWithoutRate:
      return "burst-without-rate";
    case finding_kind::kHeaderLimitAboveBodyLimit:
      return "header-limit-above-body-limit";
    case finding_kind::kHeaderTimeoutAboveIdleTimeout:
      return "header-timeout-above-idle-timeout";
    case finding_kind::kWorkspaceWithoutKeys:
      return "workspace-without-keys";
  }
  return "unknown";
}

std::vector<configuration_finding> FindProblems(const route_table& table) {
  finding_list findings;
  FindHiddenRoutes(table.routes(), findings);
  for (const route& current : table.routes()) {
    CheckMatchable(current, findings);
    CheckSplit(current, table, findings);
    CheckRegions(current, table.workspaces(), findings);
    CheckTimeout(current, findings);
  }
  for (const workspace& current : table.workspaces()) CheckWorkspace(current, findings);
  CheckLimits(table.limits(), findings);
  return findings;
}

}  // namespace bulrushway
