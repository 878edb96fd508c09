#include "configuration_check.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>

#include "quantity.h"

namespace bulrushway {
namespace {

constexpr std::string_view kInventoryStep = "check inventory";
constexpr std::string_view kRulesStep = "check rules";

template <class Entry>
std::vector<std::string> NamesOf(const std::vector<Entry>& entries) {
  std::vector<std::string> names;
  names.reserve(entries.size());
  for (const Entry& entry : entries) names.push_back(entry.name);
  return names;
}

std::vector<std::string> DataCentresOf(const fleet_inventory& inventory) {
  std::vector<std::string> names;
  for (const region_entry& region : inventory.regions) {
    names.insert(names.end(), region.data_centres.begin(), region.data_centres.end());
  }
  return names;
}

// "The <kind> 'x' is not in the inventory; did you mean 'y'?"
std::string NotListedMessage(std::string_view kind, const std::string& name,
                             const std::vector<std::string>& candidates) {
  const std::string nearest = NearestName(name, candidates);
  const std::string remedy =
      nearest.empty() ? "add it to the inventory first." : "did you mean '" + nearest + "'?";
  return "The " + std::string(kind) + " '" + name + "' is not in the inventory; " + remedy;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool HaveCommonRegion(const home_region_rule& left, const home_region_rule& right) {
  return std::any_of(left.regions.begin(), left.regions.end(),
                     [&](const std::string& name) { return Contains(right.regions, name); });
}

bool EmptyOrEqual(const std::string& left, const std::string& right) {
  return left.empty() || right.empty() || left == right;
}

// Whether one request can match both rules.
bool CanApplyTogether(const home_region_rule& left, const home_region_rule& right) {
  if (!EmptyOrEqual(left.tenant, right.tenant)) return false;
  if (!EmptyOrEqual(left.service, right.service)) return false;
  if (left.route.empty() || right.route.empty()) return true;
  return MatchesRoute(left.route, right.route) || MatchesRoute(right.route, left.route);
}

std::string FormatLocation(std::string_view file, int line) {
  return std::string(file) + ":" + std::to_string(line);
}

class rule_checker {
 public:
  rule_checker(const configuration& config, std::string_view file, std::vector<error>& errors)
      : config_(config), file_(file), errors_(errors) {}

  void CheckHomeRules() {
    const auto& rules = config_.rules.home_region_rules;
    const std::vector<std::string> regions = NamesOf(config_.inventory.regions);
    for (size_t i = 0; i < rules.size(); ++i) {
      for (const std::string& name : rules[i].regions) {
        if (!Contains(regions, name))
          Report(rules[i].line, NotListedMessage("region", name, regions));
      }
      CheckService(rules[i]);
      for (size_t j = 0; j < i; ++j) CheckPair(rules[j], rules[i]);
    }
  }

  void CheckDataCentresOut() {
    const std::vector<std::string> known = DataCentresOf(config_.inventory);
    for (const std::string& name : config_.rules.data_centres_out) {
      if (Contains(known, name)) continue;
      Report(config_.rules.data_centres_out_line, NotListedMessage("data centre", name, known));
    }
  }

 private:
  void CheckService(const home_region_rule& rule) {
    if (rule.service.empty() || config_.inventory.FindService(rule.service) != nullptr) return;
    Report(rule.line,
           NotListedMessage("service", rule.service, NamesOf(config_.inventory.services)));
  }

  void CheckPair(const home_region_rule& earlier, const home_region_rule& later) {
    if (!CanApplyTogether(earlier, later) || HaveCommonRegion(earlier, later)) return;
    Report(later.line, "The rules 'home_regions " + earlier.name + "' (line " +
                           std::to_string(earlier.line) + ") and 'home_regions " + later.name +
                           "' can match the same request but have no region in common, so that it "
                           "could not be served; give them a common region.");
  }

  void Report(int line, std::string message) {
    errors_.push_back(ErrorAtLine(kRulesStep, file_, line, std::move(message)));
  }

  const configuration& config_;
  std::string_view file_;
  std::vector<error>& errors_;
};

class warning_finder {
 public:
  warning_finder(const configuration& config, const configuration_texts& texts,
                 std::chrono::sys_seconds now)
      : config_(config), file_(texts.rules_file), now_(now) {}

  std::vector<configuration_warning> Find() {
    WarnAboutRegionsOut();
    for (const home_region_rule& rule : config_.rules.home_region_rules) WarnAboutHomeRule(rule);
    for (const planned_stop& stop : config_.rules.planned_stops) WarnAboutStop(stop);
    return std::move(warnings_);
  }

 private:
  bool AllDataCentresOut(const region_entry& region) const {
    return std::all_of(
        region.data_centres.begin(), region.data_centres.end(),
        [&](const std::string& name) { return config_.rules.IsDataCentreOut(name); });
  }

  bool HasUpstream(const region_entry& region, const std::string& service) const {
    const auto& upstreams = config_.inventory.upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(), [&](const upstream_entry& upstream) {
      return (service.empty() || upstream.service == service) &&
             Contains(region.data_centres, upstream.data_centre);
    });
  }

  void WarnAboutRegionsOut() {
    size_t regions_out = 0;
    for (const region_entry& region : config_.inventory.regions) {
      if (!AllDataCentresOut(region)) continue;
      ++regions_out;
      Warn(config_.rules.data_centres_out_line,
           "The last data centre of region '" + region.name +
               "' is out of service: requests bound to this region are refused.");
    }
    if (regions_out > 0 && regions_out == config_.inventory.regions.size()) {
      Warn(config_.rules.data_centres_out_line,
           "All data centres are out of service: every request is refused.");
    }
  }

  void WarnAboutHomeRule(const home_region_rule& rule) {
    for (const std::string& name : rule.regions) {
      const region_entry* region = config_.inventory.FindRegion(name);
      if (region == nullptr || HasUpstream(*region, rule.service)) continue;
      Warn(rule.line, "The home region '" + name + "' of rule '" + rule.name +
                          "' has no upstream in the inventory.");
    }
  }

  void WarnAboutStop(const planned_stop& stop) {
    if (stop.until && *stop.until <= now_) {
      Warn(stop.line, "The planned stop '" + stop.name + "' ended at '" + FormatTime(*stop.until) +
                          "', in the past: it has no effect.");
    }
    if (config_.inventory.FindUpstream(stop.upstream) != nullptr) return;
    const std::string nearest = NearestName(stop.upstream, NamesOf(config_.inventory.upstreams));
    Warn(stop.line, "The upstream '" + stop.upstream + "' of the planned stop '" + stop.name +
                        "' is not in the inventory" +
                        (nearest.empty() ? "." : "; did you mean '" + nearest + "'?"));
  }

  void Warn(int line, std::string message) {
    warnings_.push_back({FormatLocation(file_, line), std::move(message)});
  }

  const configuration& config_;
  std::string_view file_;
  std::chrono::sys_seconds now_;
  std::vector<configuration_warning> warnings_;
};

}  // namespace

void CheckInventory(const fleet_inventory& inventory, std::string_view file,
                    std::vector<error>& errors) {
  const auto report = [&](int line, std::string message) {
    errors.push_back(ErrorAtLine(kInventoryStep, file, line, std::move(message)));
  };
  std::unordered_map<std::string, const region_entry*> region_of;
  for (const region_entry& region : inventory.regions) {
    if (region.name == kNoRegion) report(region.line, "The name 'nowhere' is reserved.");
    for (const std::string& name : region.data_centres) {
      const auto [first, inserted] = region_of.emplace(name, &region);
      if (inserted) continue;
      report(region.line, "The data centre '" + name + "' is also listed in region '" +
                              first->second->name + "' (line " +
                              std::to_string(first->second->line) + "); keep it in one region.");
    }
  }
  if (inventory.regions.empty())
    report(1, "There is no region; write for example '[region lima]'.");
  if (inventory.services.empty()) {
    report(1, "There is no service; write for example '[service corredores]'.");
  }
  const std::vector<std::string> services = NamesOf(inventory.services);
  for (const upstream_entry& upstream : inventory.upstreams) {
    if (!upstream.service.empty() && !Contains(services, upstream.service)) {
      report(upstream.line, NotListedMessage("service", upstream.service, services));
    }
    if (!upstream.data_centre.empty() && !region_of.contains(upstream.data_centre)) {
      report(upstream.line,
             NotListedMessage("data centre", upstream.data_centre, DataCentresOf(inventory)));
    }
  }
}

void CheckRules(const configuration& config, std::string_view file, std::vector<error>& errors) {
  rule_checker checker(config, file, errors);
  checker.CheckHomeRules();
  checker.CheckDataCentresOut();
}

std::vector<configuration_warning> FindWarnings(const configuration& config,
                                                const configuration_texts& texts,
                                                std::chrono::sys_seconds now) {
  return warning_finder(config, texts, now).Find();
}

std::vector<error> CheckChange(const configuration& before, const configuration& after,
                               std::string_view inventory_file) {
  std::vector<error> errors;
  for (const service_entry& service : after.inventory.services) {
    const service_entry* old = before.inventory.FindService(service.name);
    if (old == nullptr) continue;
    if (old->kind != service.kind) {
      errors.push_back(ErrorAtLine(kInventoryStep, inventory_file, service.line,
                                   "The kind of service '" + service.name + "' is '" +
                                       std::string(Name(old->kind)) +
                                       "' and cannot change; add a service of another name."));
    }
    if (old->kind == service_kind::kKeyed && old->slices != service.slices) {
      errors.push_back(ErrorAtLine(kInventoryStep, inventory_file, service.line,
                                   "The slices of service '" + service.name + "' are " +
                                       std::to_string(old->slices) + " and cannot change to " +
                                       std::to_string(service.slices) +
                                       "; add a service of another name."));
    }
  }
  return errors;
}

}  // namespace bulrushway
