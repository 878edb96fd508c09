#include "configuration_diff.h"

#include <map>

#include "json_text.h"
#include "quantity.h"

namespace bulrushway {
namespace {

using json = nlohmann::json;
using section_fields = std::map<std::string, std::string>;
using document_fields = std::map<std::string, section_fields>;

std::string Join(const std::vector<std::string>& items) {
  std::string joined;
  for (const std::string& item : items) joined += (joined.empty() ? "" : ", ") + item;
  return joined;
}

std::string FormatMilliseconds(std::chrono::milliseconds value) {
  return std::to_string(value.count()) + " ms";
}

void AddIfSet(section_fields& fields, const std::string& key, const std::string& value) {
  if (!value.empty()) fields[key] = value;
}

section_fields FieldsOf(const service_entry& service) {
  section_fields fields;
  fields["kind"] = Name(service.kind);
  fields["slices"] = std::to_string(service.slices);
  fields["slots"] = std::to_string(service.slots);
  fields["connections"] = std::to_string(service.connections);
  fields["default_deadline"] = FormatMilliseconds(service.default_deadline);
  AddIfSet(fields, "idempotent_routes", Join(service.idempotent_routes));
  return fields;
}

section_fields FieldsOf(const upstream_entry& upstream) {
  section_fields fields;
  fields["service"] = upstream.service;
  fields["data_centre"] = upstream.data_centre;
  fields["slots"] = std::to_string(upstream.slots);
  fields["connections"] = std::to_string(upstream.connections);
  return fields;
}

section_fields FieldsOf(const home_region_rule& rule) {
  section_fields fields;
  AddIfSet(fields, "tenant", rule.tenant);
  AddIfSet(fields, "service", rule.service);
  AddIfSet(fields, "route", rule.route);
  fields["regions"] = Join(rule.regions);
  return fields;
}

section_fields FieldsOf(const planned_stop& stop) {
  section_fields fields;
  fields["upstream"] = stop.upstream;
  fields["from"] = FormatTime(stop.from);
  if (stop.until) fields["until"] = FormatTime(*stop.until);
  return fields;
}

section_fields FieldsOf(const tenant_entry& tenant) {
  section_fields fields;
  fields["share"] = std::to_string(tenant.share);
  fields["priority"] = std::to_string(tenant.priority);
  return fields;
}

document_fields FieldsOf(const fleet_inventory& inventory) {
  document_fields document;
  for (const region_entry& region : inventory.regions) {
    document["region " + region.name]["data_centres"] = Join(region.data_centres);
  }
  for (const service_entry& service : inventory.services) {
    document["service " + service.name] = FieldsOf(service);
  }
  for (const upstream_entry& upstream : inventory.upstreams) {
    document["upstream " + upstream.name] = FieldsOf(upstream);
  }
  return document;
}

document_fields FieldsOf(const rule_set& rules) {
  document_fields document;
  for (const home_region_rule& rule : rules.home_region_rules) {
    document["home_regions " + rule.name] = FieldsOf(rule);
  }
  for (const planned_stop& stop : rules.planned_stops) {
    document["planned_stop " + stop.name] = FieldsOf(stop);
  }
  for (const tenant_entry& tenant : rules.tenants) {
    document["tenant " + tenant.name] = FieldsOf(tenant);
  }
  if (!rules.data_centres_out.empty()) {
    document["data_centres"]["out"] = Join(rules.data_centres_out);
  }
  if (rules.max_staleness) {
    document["freshness"]["max_staleness"] = FormatMilliseconds(*rules.max_staleness);
  }
  return document;
}

std::optional<std::string> ValueOf(const section_fields& fields, const std::string& key) {
  const auto found = fields.find(key);
  if (found == fields.end()) return std::nullopt;
  return found->second;
}

std::vector<field_change> DiffFields(const section_fields& before, const section_fields& after) {
  section_fields union_fields = before;
  union_fields.insert(after.begin(), after.end());
  std::vector<field_change> changes;
  for (const auto& [key, unused] : union_fields) {
    field_change change{key, ValueOf(before, key), ValueOf(after, key)};
    if (change.before != change.after) changes.push_back(std::move(change));
  }
  return changes;
}

std::vector<section_change> DiffDocuments(const document_fields& before,
                                          const document_fields& after) {
  document_fields union_sections = before;
  union_sections.insert(after.begin(), after.end());
  std::vector<section_change> changes;
  for (const auto& [section, unused] : union_sections) {
    const auto old_section = before.find(section);
    const auto new_section = after.find(section);
    const section_fields empty;
    const auto& old_fields = old_section == before.end() ? empty : old_section->second;
    const auto& new_fields = new_section == after.end() ? empty : new_section->second;
    section_change change{change_kind::kChanged, section, DiffFields(old_fields, new_fields)};
    if (old_section == before.end()) change.kind = change_kind::kAdded;
    if (new_section == after.end()) change.kind = change_kind::kRemoved;
    if (!change.fields.empty()) changes.push_back(std::move(change));
  }
  return changes;
}

std::string FormatSection(const section_change& change) {
  std::string text(Name(change.kind));
  text += " [" + change.section + "]\n";
  if (change.kind == change_kind::kRemoved) return text;
  for (const field_change& field : change.fields) {
    text += "    " + field.key + ": ";
    if (field.before) text += *field.before + " -> ";
    text += field.after ? *field.after : "(removed)";
    text += "\n";
  }
  return text;
}

json ToJsonValue(const std::optional<std::string>& value) { return value ? json(*value) : json(); }

json ToJsonValue(const std::vector<section_change>& changes) {
  json list = json::array();
  for (const section_change& change : changes) {
    json fields = json::array();
    for (const field_change& field : change.fields) {
      fields.push_back({{"key", field.key},
                        {"before", ToJsonValue(field.before)},
                        {"after", ToJsonValue(field.after)}});
    }
    list.push_back(
        {{"change", Name(change.kind)}, {"section", change.section}, {"fields", fields}});
  }
  return list;
}

}  // namespace

std::string_view Name(change_kind kind) {
  if (kind == change_kind::kAdded) return "added";
  return kind == change_kind::kRemoved ? "removed" : "changed";
}

configuration_diff Diff(const configuration& before, const configuration& after) {
  return {DiffDocuments(FieldsOf(before.inventory), FieldsOf(after.inventory)),
          DiffDocuments(FieldsOf(before.rules), FieldsOf(after.rules))};
}

std::string ToText(const configuration_diff& diff) {
  if (diff.empty()) return "no difference\n";
  std::string text;
  if (!diff.inventory.empty()) text += "inventory:\n";
  for (const section_change& change : diff.inventory) text += "  " + FormatSection(change);
  if (!diff.rules.empty()) text += "rules:\n";
  for (const section_change& change : diff.rules) text += "  " + FormatSection(change);
  return text;
}

std::string ToJson(const configuration_diff& diff) {
  const json value = {{"inventory", ToJsonValue(diff.inventory)},
                      {"rules", ToJsonValue(diff.rules)}};
  return ToJsonText(value);
}

}  // namespace bulrushway
