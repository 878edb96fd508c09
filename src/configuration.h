#ifndef BULRUSHWAY_CONFIGURATION_H
#define BULRUSHWAY_CONFIGURATION_H

// What operators edit while the system runs: the inventory (places, services, upstreams) and the
// rules (home regions, data centres out, planned stops, tenants). One version of both is in force
// at a process at a time. There is no list of instances: targets announce themselves, and an
// upstream that is not in the inventory has its service's defaults.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushway {

/// How the requests of a service find a target.
enum class service_kind {
  /// Any target of the service answers.
  kLookup,
  /// Only the owner of the request's key answers.
  kKeyed,
};

/// "lookup" or "keyed".
std::string_view Name(service_kind kind);

/// A region with its data centres.
struct region_entry {
  std::string name;
  std::vector<std::string> data_centres;
  /// Line in the inventory.
  int line = 0;
};

/// A service and the defaults of its upstreams.
struct service_entry {
  std::string name;
  service_kind kind = service_kind::kLookup;
  /// Parts that the keys are divided into; a power of two. Never changes while the service exists.
  uint32_t slices = 1024;
  /// Requests that an upstream runs at a time.
  uint32_t slots = 12;
  /// Connections that an upstream accepts.
  uint32_t connections = 130;
  /// Deadline of a request that names none.
  std::chrono::milliseconds default_deadline{2000};
  /// Path prefixes of routes that may run twice without harm.
  std::vector<std::string> idempotent_routes;
  /// Line in the inventory.
  int line = 0;
};

/// An upstream from the asset register.
struct upstream_entry {
  /// Name of the node beside the target.
  std::string name;
  std::string service;
  std::string data_centre;
  uint32_t slots = 0;
  uint32_t connections = 0;
  /// Line in the inventory.
  int line = 0;
};

/// Places, services and upstreams.
struct fleet_inventory {
  std::vector<region_entry> regions;
  std::vector<service_entry> services;
  std::vector<upstream_entry> upstreams;

  /// The entry of this name, or null.
  const region_entry* FindRegion(std::string_view name) const;
  const service_entry* FindService(std::string_view name) const;
  const upstream_entry* FindUpstream(std::string_view name) const;
  /// The region that the data centre stands in, or null.
  const region_entry* RegionOf(std::string_view data_centre) const;
};

/// Binds requests to regions. Conditions that are empty hold for all requests.
struct home_region_rule {
  std::string name;
  std::string tenant;
  std::string service;
  /// Path prefix.
  std::string route;
  std::vector<std::string> regions;
  /// Line in the rules.
  int line = 0;
};

/// A time in which an upstream gets no new work.
struct planned_stop {
  std::string name;
  std::string upstream;
  std::chrono::sys_seconds from;
  /// End; absent: until the stop is removed.
  std::optional<std::chrono::sys_seconds> until;
  /// Line in the rules.
  int line = 0;
};

/// A tenant's part of a target under contention.
struct tenant_entry {
  std::string name;
  /// Share relative to other tenants.
  uint32_t share = 100;
  /// 0 is shed last, 9 first.
  uint32_t priority = 5;
  /// Line in the rules.
  int line = 0;
};

/// What operators lay down on top of the inventory.
struct rule_set {
  std::vector<home_region_rule> home_region_rules;
  std::vector<std::string> data_centres_out;
  /// Line of the data centres out in the rules.
  int data_centres_out_line = 0;
  std::vector<planned_stop> planned_stops;
  std::vector<tenant_entry> tenants;
  /// A process that has not confirmed its rules for this long refuses new work; absent: never.
  std::optional<std::chrono::milliseconds> max_staleness;

  bool IsDataCentreOut(std::string_view data_centre) const;
  /// The tenant's entry, or null: defaults apply.
  const tenant_entry* FindTenant(std::string_view name) const;
};

/// One version in force.
struct configuration {
  uint64_t version = 0;
  fleet_inventory inventory;
  rule_set rules;
};

/// Stands for a region that does not exist: a request bound to it is served nowhere.
inline constexpr std::string_view kNoRegion = "nowhere";

/// True when `path` (its query aside) is `route` or lies below it.
bool MatchesRoute(std::string_view path, std::string_view route);

/// Regions to which the request is bound: those that all rules for it allow. Empty: it is not
/// bound. When the rules have no region in common, the list holds just kNoRegion.
std::vector<std::string> HomeRegions(const rule_set& rules, std::string_view service,
                                     std::string_view tenant, std::string_view path);

/// Whether a request on this path may run twice without harm.
bool IsIdempotentRoute(const service_entry& service, std::string_view path);

/// The planned stop that keeps new work from the upstream at `now`, or null.
const planned_stop* FindActiveStop(const rule_set& rules, std::string_view upstream,
                                   std::chrono::sys_seconds now);

/// Slots of an upstream, listed or not.
uint32_t SlotsOf(const fleet_inventory& inventory, std::string_view upstream,
                 std::string_view service);

/// Connections of an upstream, listed or not.
uint32_t ConnectionsOf(const fleet_inventory& inventory, std::string_view upstream,
                       std::string_view service);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_H
