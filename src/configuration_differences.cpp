// FindDifferences of configuration_findings.h.

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "configuration_findings.h"
#include "configuration_text.h"

namespace bulrushway {
namespace {

using difference_list = std::vector<configuration_difference>;

// A property of an entry with its value as text.
struct property {
  std::string name;
  std::string value;
};
using property_list = std::vector<property>;

std::string YesNo(bool value) { return value ? "yes" : "no"; }

// The services with the share of each; the order does not matter.
std::string FormatSplit(const std::vector<weighted_service>& split) {
  std::vector<std::string> parts;
  parts.reserve(split.size());
  for (const weighted_service& part : split) {
    parts.push_back(Quoted(part.service) + " with weight " + FormatNumber(part.weight));
  }
  std::sort(parts.begin(), parts.end());
  std::string joined;
  for (const std::string& part : parts) joined += (joined.empty() ? "" : " and ") + part;
  return joined;
}

property_list PropertiesOf(const route& entry) {
  return {{"host", Quoted(entry.host)},
          {"prefix", Quoted(entry.prefix)},
          {"permission to repeat requests", YesNo(entry.idempotent)},
          {"mark for large answers", YesNo(entry.large_answers)},
          {"timeout", FormatSeconds(entry.timeout)},
          {"latency target", FormatSeconds(entry.latency_target)},
          {"number of attempts", std::to_string(entry.max_attempts)},
          {"priority", std::to_string(entry.rank)},
          {"list of services", FormatSplit(entry.split)},
          {"list of allowed regions", JoinRegions(entry.home_regions)},
          {"mark as public", YesNo(entry.is_public)}};
}

property_list PropertiesOf(const service_policy& entry) {
  return {{"health path", Quoted(entry.health_path)},
          {"connections to a target", std::to_string(entry.max_connections)},
          {"warm-up time", FormatSeconds(entry.warm_up)},
          {"rate of a cold target", FormatNumber(entry.cold_requests_per_second) + " per second"},
          {"exclusive ownership of keys", YesNo(entry.keyed)}};
}

property_list PropertiesOf(const workspace& entry) {
  return {{"priority", entry.rank ? std::to_string(*entry.rank) : "that of the route"},
          {"rate",
           entry.HasQuota() ? FormatNumber(entry.requests_per_second) + " per second" : "no limit"},
          {"burst", FormatNumber(entry.burst)},
          {"list of allowed regions", JoinRegions(entry.home_regions)}};
}

property_list PropertiesOf(const caller_limits& limits) {
  return {{"size limit of headers", FormatBytes(limits.header_bytes)},
          {"size limit of bodies", FormatBytes(limits.body_bytes)},
          {"timeout for headers", FormatSeconds(limits.request_timeout)},
          {"timeout of idle connections", FormatSeconds(limits.idle_timeout)}};
}

std::string CountKeys(size_t count) {
  return std::to_string(count) + (count == 1 ? " API key" : " API keys");
}

std::string Summarize(const property_list& properties) {
  std::string text;
  for (const property& item : properties) {
    text += (text.empty() ? "" : ", ") + item.name + ": " + item.value;
  }
  return text;
}

// Both lists have the same names in the same order.
void CompareProperties(const std::string& entry, const property_list& before,
                       const property_list& after, difference_list& differences) {
  for (size_t i = 0; i < before.size(); ++i) {
    if (before[i].value == after[i].value) continue;
    differences.push_back({change_kind::kChanged, entry,
                           "The " + before[i].name + " of the " + entry + " changes from " +
                               before[i].value + " to " + after[i].value + "."});
  }
}

// The texts tell how many keys differ, and never which.
void CompareKeys(const std::string& entry, const workspace& before, const workspace& after,
                 difference_list& differences) {
  const std::set<std::string> old_keys(before.api_keys.begin(), before.api_keys.end());
  const std::set<std::string> new_keys(after.api_keys.begin(), after.api_keys.end());
  std::vector<std::string> added;
  std::vector<std::string> removed;
  std::set_difference(new_keys.begin(), new_keys.end(), old_keys.begin(), old_keys.end(),
                      std::back_inserter(added));
  std::set_difference(old_keys.begin(), old_keys.end(), new_keys.begin(), new_keys.end(),
                      std::back_inserter(removed));
  if (added.empty() && removed.empty()) return;
  std::string text = "The " + entry;
  if (!added.empty()) text += " gains " + CountKeys(added.size());
  if (!added.empty() && !removed.empty()) text += " and";
  if (!removed.empty()) text += " loses " + CountKeys(removed.size());
  text += ", and has " + CountKeys(new_keys.size()) + " in all.";
  differences.push_back({change_kind::kChanged, entry, text});
}

template <class Entry>
void CompareDetails(const std::string&, const Entry&, const Entry&, difference_list&) {}

void CompareDetails(const std::string& entry, const workspace& before, const workspace& after,
                    difference_list& differences) {
  CompareKeys(entry, before, after, differences);
}

template <class Entry>
std::string DetailsOf(const Entry&) {
  return {};
}

std::string DetailsOf(const workspace& entry) {
  const std::set<std::string> keys(entry.api_keys.begin(), entry.api_keys.end());
  return ", with " + CountKeys(keys.size());
}

// Entries by name. Entries of the same name are numbered from the second on.
template <class Entry>
std::map<std::string, const Entry*> IndexByName(const std::vector<Entry>& entries) {
  std::map<std::string, const Entry*> index;
  std::map<std::string, int> counts;
  for (const Entry& entry : entries) {
    std::string name = EntryName(entry);
    const int count = ++counts[name];
    if (count > 1) name += " (number " + std::to_string(count) + " of this name)";
    index.emplace(std::move(name), &entry);
  }
  return index;
}

template <class Entry>
void CompareEntries(const std::vector<Entry>& before, const std::vector<Entry>& after,
                    difference_list& differences) {
  const auto old_entries = IndexByName(before);
  const auto new_entries = IndexByName(after);
  for (const auto& [name, entry] : old_entries) {
    if (new_entries.contains(name)) continue;
    differences.push_back({change_kind::kRemoved, name, "The " + name + " is removed."});
  }
  for (const auto& [name, entry] : new_entries) {
    const auto old_entry = old_entries.find(name);
    if (old_entry == old_entries.end()) {
      differences.push_back({change_kind::kAdded, name,
                             "The " + name + " is added (" + Summarize(PropertiesOf(*entry)) + ")" +
                                 DetailsOf(*entry) + "."});
      continue;
    }
    CompareProperties(name, PropertiesOf(*old_entry->second), PropertiesOf(*entry), differences);
    CompareDetails(name, *old_entry->second, *entry, differences);
  }
}

// The first route of each host and prefix; the others are hidden by it.
std::map<std::pair<std::string, std::string>, std::string> EffectiveRoutes(
    const std::vector<route>& routes) {
  std::map<std::pair<std::string, std::string>, std::string> effective;
  for (const route& entry : routes) {
    effective.emplace(std::pair(entry.host, entry.prefix), EntryName(entry));
  }
  return effective;
}

// The order of routes matters where several have the same host and prefix.
void CompareOrder(const route_table& before, const route_table& after,
                  difference_list& differences) {
  const auto old_routes = EffectiveRoutes(before.routes());
  for (const auto& [place, name] : EffectiveRoutes(after.routes())) {
    const auto old_route = old_routes.find(place);
    if (old_route == old_routes.end() || old_route->second == name) continue;
    differences.push_back({change_kind::kChanged, name,
                           "Requests to the host " + Quoted(place.first) + " and prefix " +
                               Quoted(place.second) + " are matched by the " + name +
                               " in place of the " + old_route->second + "."});
  }
}

std::vector<service_policy> ServicesOf(const route_table& table) {
  std::vector<service_policy> services;
  services.reserve(table.services().size());
  for (const auto& [name, policy] : table.services()) services.push_back(policy);
  return services;
}

}  // namespace

std::vector<configuration_difference> FindDifferences(const route_table& before,
                                                      const route_table& after) {
  difference_list differences;
  if (before.version() != after.version()) {
    differences.push_back({change_kind::kChanged, "version",
                           "The version changes from " + FormatVersion(before.version()) + " to " +
                               FormatVersion(after.version()) + "."});
  }
  CompareProperties(kLimitsEntry, PropertiesOf(before.limits()), PropertiesOf(after.limits()),
                    differences);
  CompareEntries(before.routes(), after.routes(), differences);
  CompareOrder(before, after, differences);
  const auto old_services = ServicesOf(before);
  const auto new_services = ServicesOf(after);
  CompareEntries(old_services, new_services, differences);
  CompareEntries(before.workspaces(), after.workspaces(), differences);
  return differences;
}

}  // namespace bulrushway
