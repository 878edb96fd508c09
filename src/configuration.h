#ifndef BULRUSHWAY_CONFIGURATION_H
#define BULRUSHWAY_CONFIGURATION_H

// The configuration that operators edit while the system runs: the inventory (regions, services,
// upstreams) and the rules (home regions, data centres out of service, planned stops, tenants). A
// process has one version of both in force at a time. There is no list of instances: targets
// register themselves, and an upstream that is not in the inventory has its service's defaults.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushway {

/// How a request of a service is routed to a target.
enum class service_kind {
  /// Any target of the service can answer.
  kLookup,
  /// Only the owner of the request's key can answer.
  kKeyed,
};

/// "lookup" or "keyed".
std::string_view Name(service_kind kind);

/// A region with its data centres.
struct region_entry {
  std::string name;
  std::vector<std::string> data_centres;
  /// Line in the inventory document.
  int line = 0;
};

/// A service, with the defaults for its upstreams.
struct service_entry {
  std::string name;
  service_kind kind = service_kind::kLookup;
  /// Number of slices that the key space is divided into; a power of two. Fixed while the service
  /// exists.
  uint32_t slices = 1024;
  /// Maximum number of concurrent requests of an upstream.
  uint32_t slots = 12;
  /// Maximum number of connections that an upstream accepts.
  uint32_t connections = 130;
  /// Deadline of a request that does not set one.
  std::chrono::milliseconds default_deadline{2000};
  /// Path prefixes of idempotent routes: their requests may run more than once.
  std::vector<std::string> idempotent_routes;
  /// Line in the inventory document.
  int line = 0;
};

/// An upstream that the inventory lists.
struct upstream_entry {
  /// Name of the node that runs next to the target.
  std::string name;
  std::string service;
  std::string data_centre;
  uint32_t slots = 0;
  uint32_t connections = 0;
  /// Line in the inventory document.
  int line = 0;
};

/// Regions with their data centres, services and upstreams.
struct fleet_inventory {
  std::vector<region_entry> regions;
  std::vector<service_entry> services;
  std::vector<upstream_entry> upstreams;

  /// The entry of this name, or null.
  const region_entry* FindRegion(std::string_view name) const;
  const service_entry* FindService(std::string_view name) const;
  const upstream_entry* FindUpstream(std::string_view name) const;
  /// The region that contains the data centre, or null.
  const region_entry* RegionOf(std::string_view data_centre) const;
};

/// Restricts matching requests to a set of regions. An empty condition matches every request.
struct home_region_rule {
  std::string name;
  std::string tenant;
  std::string service;
  /// Path prefix.
  std::string route;
  std::vector<std::string> regions;
  /// Line in the rules document.
  int line = 0;
};

/// A time window in which an upstream receives no new work.
struct planned_stop {
  std::string name;
  std::string upstream;
  std::chrono::sys_seconds from;
  /// End of the window, exclusive; absent: until the stop is removed.
  std::optional<std::chrono::sys_seconds> until;
  /// Line in the rules document.
  int line = 0;
};

/// A tenant's share and priority when requests compete for a target.
struct tenant_entry {
  std::string name;
  /// Weight relative to other tenants.
  uint32_t share = 100;
  /// Load shedding order: priority 9 is shed first, 0 last.
  uint32_t priority = 5;
  /// Line in the rules document.
  int line = 0;
};

/// The rules that operators set in addition to the inventory.
struct rule_set {
  std::vector<home_region_rule> home_region_rules;
  std::vector<std::string> data_centres_out;
  /// Line of `data_centres_out` in the rules document.
  int data_centres_out_line = 0;
  std::vector<planned_stop> planned_stops;
  std::vector<tenant_entry> tenants;
  /// A process refuses new work when its rules have not been confirmed for this long; absent: no
  /// limit.
  std::optional<std::chrono::milliseconds> max_staleness;

  /// Whether operators have taken the data centre out of service.
  bool IsDataCentreOut(std::string_view data_centre) const;
  /// The tenant's entry, or null when the defaults apply.
  const tenant_entry* FindTenant(std::string_view name) const;
};

/// One version of the configuration.
struct configuration {
  uint64_t version = 0;
  fleet_inventory inventory;
  rule_set rules;
};

/// Reserved name of a region that does not exist. No target can serve a request restricted to it.
inline constexpr std::string_view kNoRegion = "nowhere";

/// Whether `path`, without its query, equals `route` or is a subpath of it.
bool MatchesRoute(std::string_view path, std::string_view route);

/// Regions that the request is restricted to: the intersection of the regions of all matching
/// rules. Empty when no rule matches. Just kNoRegion when the matching rules have no region in
/// common.
std::vector<std::string> HomeRegions(const rule_set& rules, std::string_view service,
                                     std::string_view tenant, std::string_view path);

/// Whether a request on this path is idempotent, so that it may run more than once.
bool IsIdempotentRoute(const service_entry& service, std::string_view path);

/// The planned stop of the upstream that is active at `now`, or null.
const planned_stop* FindActiveStop(const rule_set& rules, std::string_view upstream,
                                   std::chrono::sys_seconds now);

/// Slots of an upstream; the service's default when the inventory does not list it.
uint32_t SlotsOf(const fleet_inventory& inventory, std::string_view upstream,
                 std::string_view service);

/// Connections of an upstream; the service's default when the inventory does not list it.
uint32_t ConnectionsOf(const fleet_inventory& inventory, std::string_view upstream,
                       std::string_view service);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_H
