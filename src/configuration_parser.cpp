#include "configuration_parser.h"

#include <bit>
#include <utility>

#include "configuration_check.h"
#include "ini_section_reader.h"
#include "quantity.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kInventoryStep = "read inventory";
constexpr std::string_view kRulesStep = "read rules";
constexpr uint64_t kMaxSlices = 1 << 20;
constexpr uint64_t kMaxSlots = 10'000;
constexpr uint64_t kMaxConnections = 100'000;
constexpr uint64_t kMaxShare = 10'000;
constexpr uint64_t kLowestPriority = 9;
constexpr milliseconds kMaxDeadline{600'000};
// Every process polls the platform at shorter intervals than this. A bound below the poll interval
// would make a healthy process refuse work.
constexpr milliseconds kMinStaleness{90'000};

constexpr std::string_view kRegionPrefix = "region ";
constexpr std::string_view kServicePrefix = "service ";
constexpr std::string_view kUpstreamPrefix = "upstream ";
constexpr std::string_view kHomePrefix = "home_regions ";
constexpr std::string_view kStopPrefix = "planned_stop ";
constexpr std::string_view kTenantPrefix = "tenant ";

auto CountBetween(uint64_t minimum, uint64_t maximum) {
  return [minimum, maximum](std::string_view text) { return ParseCount(text, minimum, maximum); };
}

parsed<service_kind> ParseKind(std::string_view text) {
  if (text == "lookup") return service_kind::kLookup;
  if (text == "keyed") return service_kind::kKeyed;
  return tl::unexpected<std::string>("'" + std::string(text) +
                                     "' is not a kind of service; write lookup or keyed.");
}

parsed<uint64_t> ParseSlices(std::string_view text) {
  parsed<uint64_t> value = ParseCount(text, 1, kMaxSlices);
  if (!value || std::has_single_bit(*value)) return value;
  return tl::unexpected<std::string>("'" + std::string(text) +
                                     "' is not a power of two; write for example 1024.");
}

parsed<milliseconds> ParseDeadline(std::string_view text) {
  parsed<milliseconds> value = ParseDuration(text);
  if (!value || (*value > milliseconds(0) && *value <= kMaxDeadline)) return value;
  return tl::unexpected<std::string>("'" + std::string(text) +
                                     "' is out of range; write a duration from 1 ms to 10 min.");
}

parsed<milliseconds> ParseStaleness(std::string_view text) {
  parsed<milliseconds> value = ParseDuration(text);
  if (!value || value->count() >= kMinStaleness.count()) return value;
  return tl::unexpected<std::string>(
      "'" + std::string(text) + "' is too short; write at least '90 s', or leave the key out.");
}

// Parses the name after a section's prefix. An invalid name is reported and returned as empty.
std::string NameAfter(std::string_view prefix, const ini_section& section,
                      ini_section_reader& reader) {
  parsed<std::string> name = ParseName(section.name.substr(prefix.size()));
  if (name) return *std::move(name);
  reader.Report("", "the name after '" + std::string(prefix) + "': " + name.error());
  return {};
}

// Calls `read` for each section whose name starts with `prefix`.
template <class Read>
void ForEachSection(const ini_document& document, std::string_view prefix, std::string_view step,
                    std::vector<error>& errors, Read read) {
  for (const ini_section& section : document.sections) {
    if (!section.name.starts_with(prefix)) continue;
    ini_section_reader reader(document.file, section, step, errors);
    read(section, reader);
    reader.ReportUnknownKeys();
  }
}

region_entry ReadRegion(const ini_section& section, ini_section_reader& reader) {
  region_entry entry;
  entry.name = NameAfter(kRegionPrefix, section, reader);
  entry.line = section.line;
  reader.ReadRequiredList("data_centres", "lima-a, lima-b", entry.data_centres, ParseName);
  return entry;
}

service_entry ReadService(const ini_section& section, ini_section_reader& reader) {
  service_entry entry;
  entry.name = NameAfter(kServicePrefix, section, reader);
  entry.line = section.line;
  reader.ReadRequired("kind", "keyed", entry.kind, ParseKind);
  reader.ReadOptional("slices", entry.slices, ParseSlices);
  reader.ReadOptional("slots", entry.slots, CountBetween(1, kMaxSlots));
  reader.ReadOptional("connections", entry.connections, CountBetween(1, kMaxConnections));
  reader.ReadOptional("default_deadline", entry.default_deadline, ParseDeadline);
  reader.ReadOptionalList("idempotent_routes", entry.idempotent_routes, ParseRoute);
  return entry;
}

upstream_entry ReadUpstream(const ini_section& section, ini_section_reader& reader,
                            const fleet_inventory& inventory) {
  upstream_entry entry;
  entry.name = NameAfter(kUpstreamPrefix, section, reader);
  entry.line = section.line;
  reader.ReadRequired("service", "corredores", entry.service, ParseName);
  reader.ReadRequired("data_centre", "lima-a", entry.data_centre, ParseName);
  const service_entry* service = inventory.FindService(entry.service);
  entry.slots = service == nullptr ? 0 : service->slots;
  entry.connections = service == nullptr ? 0 : service->connections;
  reader.ReadOptional("slots", entry.slots, CountBetween(1, kMaxSlots));
  reader.ReadOptional("connections", entry.connections, CountBetween(1, kMaxConnections));
  return entry;
}

home_region_rule ReadHomeRegionRule(const ini_section& section, ini_section_reader& reader) {
  home_region_rule rule;
  rule.name = NameAfter(kHomePrefix, section, reader);
  rule.line = section.line;
  reader.ReadOptional("tenant", rule.tenant, ParseName);
  reader.ReadOptional("service", rule.service, ParseName);
  reader.ReadOptional("route", rule.route, ParseRoute);
  reader.ReadRequiredList("regions", "lima", rule.regions, ParseName);
  if (rule.tenant.empty() && rule.service.empty() && rule.route.empty()) {
    reader.Report("", "the rule has no condition; write a tenant, a service or a route.");
  }
  return rule;
}

planned_stop ReadStop(const ini_section& section, ini_section_reader& reader) {
  planned_stop stop;
  stop.name = NameAfter(kStopPrefix, section, reader);
  stop.line = section.line;
  reader.ReadRequired("upstream", "cronometraje-lima-a-1", stop.upstream, ParseName);
  reader.ReadRequired("from", "2027-03-14 06:30", stop.from, ParseTime);
  reader.ReadOptional("until", stop.until, ParseTime);
  if (stop.until && *stop.until <= stop.from) {
    reader.Report("until", "'" + FormatTime(*stop.until) + "' is not after '" +
                               FormatTime(stop.from) + "'; write a later time.");
  }
  return stop;
}

tenant_entry ReadTenant(const ini_section& section, ini_section_reader& reader) {
  tenant_entry entry;
  entry.name = NameAfter(kTenantPrefix, section, reader);
  entry.line = section.line;
  reader.ReadOptional("share", entry.share, CountBetween(1, kMaxShare));
  reader.ReadOptional("priority", entry.priority, CountBetween(0, kLowestPriority));
  return entry;
}

}  // namespace

fleet_inventory ParseInventory(const ini_document& document, std::vector<error>& errors) {
  fleet_inventory inventory;
  ReportUnknownSections(document, {"region ", "service ", "upstream "}, kInventoryStep, errors);
  ForEachSection(document, kRegionPrefix, kInventoryStep, errors,
                 [&](const ini_section& section, ini_section_reader& reader) {
                   inventory.regions.push_back(ReadRegion(section, reader));
                 });
  ForEachSection(document, kServicePrefix, kInventoryStep, errors,
                 [&](const ini_section& section, ini_section_reader& reader) {
                   inventory.services.push_back(ReadService(section, reader));
                 });
  ForEachSection(document, kUpstreamPrefix, kInventoryStep, errors,
                 [&](const ini_section& section, ini_section_reader& reader) {
                   inventory.upstreams.push_back(ReadUpstream(section, reader, inventory));
                 });
  return inventory;
}

rule_set ParseRules(const ini_document& document, std::vector<error>& errors) {
  rule_set rules;
  ReportUnknownSections(document,
                        {"home_regions ", "planned_stop ", "tenant ", "data_centres", "freshness"},
                        kRulesStep, errors);
  ForEachSection(document, kHomePrefix, kRulesStep, errors,
                 [&](const ini_section& section, ini_section_reader& reader) {
                   rules.home_region_rules.push_back(ReadHomeRegionRule(section, reader));
                 });
  ForEachSection(document, kStopPrefix, kRulesStep, errors,
                 [&](const ini_section& section, ini_section_reader& reader) {
                   rules.planned_stops.push_back(ReadStop(section, reader));
                 });
  ForEachSection(document, kTenantPrefix, kRulesStep, errors,
                 [&](const ini_section& section, ini_section_reader& reader) {
                   rules.tenants.push_back(ReadTenant(section, reader));
                 });
  if (const ini_section* section = document.Find("data_centres")) {
    ini_section_reader reader(document.file, *section, kRulesStep, errors);
    rules.data_centres_out_line = reader.LineOf("out");
    reader.ReadOptionalList("out", rules.data_centres_out, ParseName);
    reader.ReportUnknownKeys();
  }
  if (const ini_section* section = document.Find("freshness")) {
    ini_section_reader reader(document.file, *section, kRulesStep, errors);
    reader.ReadOptional("max_staleness", rules.max_staleness, ParseStaleness);
    reader.ReportUnknownKeys();
  }
  return rules;
}

checked<checked_configuration> ParseConfiguration(const configuration_texts& texts,
                                                  std::chrono::sys_seconds now) {
  std::vector<error> errors;
  checked_configuration outcome;
  const ini_document inventory_document = ParseIni(texts.inventory_file, texts.inventory, errors);
  const ini_document rules_document = ParseIni(texts.rules_file, texts.rules, errors);
  outcome.value.inventory = ParseInventory(inventory_document, errors);
  outcome.value.rules = ParseRules(rules_document, errors);
  CheckInventory(outcome.value.inventory, texts.inventory_file, errors);
  CheckRules(outcome.value, texts.rules_file, errors);
  if (!errors.empty()) return tl::unexpected<std::vector<error>>(std::move(errors));
  outcome.warnings = FindWarnings(outcome.value, texts, now);
  return outcome;
}

}  // namespace bulrushway
