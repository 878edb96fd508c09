#ifndef BULRUSHWAY_ROUTE_TABLE_H
#define BULRUSHWAY_ROUTE_TABLE_H

// One version of the operators' configuration, prepared for routing: the route that matches a
// request, the service that runs it, and the limits that apply.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "workspace.h"
#include "workspace_keys.h"

namespace bulrushway {

/// A service that gets a share of a route's requests.
struct weighted_service {
  std::string service;
  double weight = 1;
};

/// Rules for the requests to one host under one path prefix.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Requests are idempotent and may run more than once.
  bool idempotent = false;
  /// Answers are large.
  bool large_answers = false;
  /// Maximum time until the caller gets an answer.
  std::chrono::milliseconds timeout{1000};
  /// Latency objective of the route.
  std::chrono::milliseconds latency_target{1000};
  /// Maximum number of targets to which one request is sent.
  uint32_t max_attempts = 1;
  /// Priority of the requests; 0 is the most urgent.
  uint32_t rank = 0;
  /// Services that share the requests by weight; never empty.
  std::vector<weighted_service> split;
  /// Regions that may serve the requests; empty means all.
  std::vector<std::string> home_regions;
  /// Requests need no key of a workspace.
  bool is_public = false;
};

/// Limits and properties of the targets of a service.
struct service_policy {
  std::string name;
  std::string health_path;
  /// Maximum connections that one target accepts in total.
  uint32_t max_connections = 64;
  /// Warm-up time: the target is cold for this long after its start.
  std::chrono::milliseconds warm_up{0};
  /// Maximum request rate of a cold target.
  double cold_requests_per_second = 0;
  /// Each key is owned by one target at a time.
  bool keyed = false;
};

/// Size limits and timeouts of callers' requests.
struct caller_limits {
  size_t header_bytes = 16 << 10;
  size_t body_bytes = 1 << 20;
  std::chrono::milliseconds request_timeout{3000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// A version of the configuration. Immutable once built.
class route_table {
 public:
  route_table() = default;
  route_table(uint64_t version, std::vector<route> routes, std::vector<service_policy> services,
              const caller_limits& limits, std::vector<workspace> workspaces = {});

  /// Version assigned by the operators; increases with each change.
  uint64_t version() const { return version_; }
  const caller_limits& limits() const { return limits_; }
  const std::vector<route>& routes() const { return routes_; }
  const std::map<std::string, service_policy>& services() const { return services_; }
  /// Empty where callers need no keys.
  const std::vector<workspace>& workspaces() const { return workspaces_; }

  /// The route of the host with the longest prefix of the path, or null.
  const route* Find(std::string_view host, std::string_view target) const;
  /// The workspace that has the API key, or null.
  const workspace* FindWorkspaceByKey(std::string_view key) const;
  /// The workspace of this name, or null.
  const workspace* FindWorkspace(std::string_view name) const;
  /// Name of the first keyed service; empty when there is none.
  std::string KeyedService() const;
  /// The policy of the service, or null.
  const service_policy* FindService(const std::string& service) const;

 private:
  uint64_t version_ = 0;
  std::vector<route> routes_;
  std::map<std::string, service_policy> services_;
  caller_limits limits_;
  std::vector<workspace> workspaces_;
  workspace_keys workspace_keys_;
  // Indices of routes by host, longest prefix first.
  std::map<std::string, std::vector<size_t>, std::less<>> by_host_;
};

/// The service that runs this request. Requests are split by a hash of their id, so that every
/// process makes the same choice without coordination and a repeat goes to the same service.
const std::string& ChooseService(const route& matched_route, std::string_view request_id);

}  // namespace bulrushway

#endif  // BULRUSHWAY_ROUTE_TABLE_H
