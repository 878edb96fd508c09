#include "configuration.h"

#include <algorithm>

namespace bulrushway {
namespace {

template <class Entry>
const Entry* FindByName(const std::vector<Entry>& entries, std::string_view name) {
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [&](const Entry& entry) { return entry.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool Applies(const home_region_rule& rule, std::string_view service, std::string_view tenant,
             std::string_view path) {
  if (!rule.service.empty() && rule.service != service) return false;
  if (!rule.tenant.empty() && rule.tenant != tenant) return false;
  return rule.route.empty() || MatchesRoute(path, rule.route);
}

}  // namespace

std::string_view Name(service_kind kind) {
  return kind == service_kind::kKeyed ? "keyed" : "lookup";
}

const region_entry* fleet_inventory::FindRegion(std::string_view name) const {
  return FindByName(regions, name);
}

const service_entry* fleet_inventory::FindService(std::string_view name) const {
  return FindByName(services, name);
}

const upstream_entry* fleet_inventory::FindUpstream(std::string_view name) const {
  return FindByName(upstreams, name);
}

const region_entry* fleet_inventory::RegionOf(std::string_view data_centre) const {
  const auto found = std::find_if(regions.begin(), regions.end(), [&](const region_entry& region) {
    return Contains(region.data_centres, data_centre);
  });
  return found == regions.end() ? nullptr : &*found;
}

bool rule_set::IsDataCentreOut(std::string_view data_centre) const {
  return Contains(data_centres_out, data_centre);
}

const tenant_entry* rule_set::FindTenant(std::string_view name) const {
  return FindByName(tenants, name);
}

bool MatchesRoute(std::string_view path, std::string_view route) {
  path = path.substr(0, path.find_first_of("?#"));
  if (!path.starts_with(route)) return false;
  return path.size() == route.size() || route.ends_with('/') || path[route.size()] == '/';
}

std::vector<std::string> HomeRegions(const rule_set& rules, std::string_view service,
                                     std::string_view tenant, std::string_view path) {
  std::vector<std::string> allowed;
  bool bound = false;
  for (const home_region_rule& rule : rules.home_region_rules) {
    if (!Applies(rule, service, tenant, path)) continue;
    if (!bound) allowed = rule.regions;
    bound = true;
    std::erase_if(allowed, [&](const std::string& name) { return !Contains(rule.regions, name); });
  }
  if (bound && allowed.empty()) allowed.emplace_back(kNoRegion);
  return allowed;
}

bool IsIdempotentRoute(const service_entry& service, std::string_view path) {
  return std::any_of(service.idempotent_routes.begin(), service.idempotent_routes.end(),
                     [&](const std::string& route) { return MatchesRoute(path, route); });
}

const planned_stop* FindActiveStop(const rule_set& rules, std::string_view upstream,
                                   std::chrono::sys_seconds now) {
  for (const planned_stop& stop : rules.planned_stops) {
    if (stop.upstream != upstream || now < stop.from) continue;
    if (!stop.until || now < *stop.until) return &stop;
  }
  return nullptr;
}

uint32_t SlotsOf(const fleet_inventory& inventory, std::string_view upstream,
                 std::string_view service) {
  if (const upstream_entry* entry = inventory.FindUpstream(upstream)) return entry->slots;
  const service_entry* defaults = inventory.FindService(service);
  return defaults == nullptr ? service_entry{}.slots : defaults->slots;
}

uint32_t ConnectionsOf(const fleet_inventory& inventory, std::string_view upstream,
                       std::string_view service) {
  if (const upstream_entry* entry = inventory.FindUpstream(upstream)) return entry->connections;
  const service_entry* defaults = inventory.FindService(service);
  return defaults == nullptr ? service_entry{}.connections : defaults->connections;
}

}  // namespace bulrushway
