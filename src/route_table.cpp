#include "route_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bulrushway {

route_table::route_table(uint64_t version, std::vector<route> routes,
                         std::vector<service_policy> services, const caller_limits& limits,
                         std::vector<workspace> workspaces)
    : version_(version),
      routes_(std::move(routes)),
      limits_(limits),
      workspaces_(std::move(workspaces)) {
  std::sort(workspaces_.begin(), workspaces_.end(),
            [](const workspace& a, const workspace& b) { return a.name < b.name; });
  workspace_keys_ = workspace_keys(workspaces_);
  for (service_policy& policy : services) {
    const std::string name = policy.name;
    services_.insert_or_assign(name, std::move(policy));
  }
  for (size_t i = 0; i < routes_.size(); ++i) by_host_[routes_[i].host].push_back(i);
  for (auto& [host, indices] : by_host_) {
    std::stable_sort(indices.begin(), indices.end(), [this](size_t a, size_t b) {
      return routes_[a].prefix.size() > routes_[b].prefix.size();
    });
  }
}

const route* route_table::Find(std::string_view host, std::string_view target) const {
  const auto found = by_host_.find(host);
  if (found == by_host_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const size_t index : found->second) {
    if (path.starts_with(routes_[index].prefix)) return &routes_[index];
  }
  return nullptr;
}

const workspace* route_table::FindWorkspaceByKey(std::string_view key) const {
  const auto found = workspace_keys_.Find(workspaces_, key);
  return found ? &workspaces_[*found] : nullptr;
}

const workspace* route_table::FindWorkspace(std::string_view name) const {
  const auto found = std::lower_bound(
      workspaces_.begin(), workspaces_.end(), name,
      [](const workspace& entry, std::string_view wanted) { return entry.name < wanted; });
  return found == workspaces_.end() || found->name != name ? nullptr : &*found;
}

std::string route_table::KeyedService() const {
  const auto found = std::find_if(services_.begin(), services_.end(),
                                  [](const auto& entry) { return entry.second.keyed; });
  return found == services_.end() ? std::string{} : found->first;
}

const service_policy* route_table::FindService(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

const std::string& ChooseService(const route& matched_route, std::string_view request_id) {
  double total = 0;
  for (const weighted_service& part : matched_route.split) total += part.weight;
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  const double point =
      static_cast<double>(XXH3_64bits(request_id.data(), request_id.size())) / kHashRange * total;
  double cumulative_weight = 0;
  for (const weighted_service& part : matched_route.split) {
    cumulative_weight += part.weight;
    if (point < cumulative_weight) return part.service;
  }
  return matched_route.split.back().service;
}

}  // namespace bulrushway
