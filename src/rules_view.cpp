#include "rules_view.h"

#include <utility>

namespace bulrushway {

void rules_view::Adopt(std::shared_ptr<const configuration> in_force, uint64_t version) {
  in_force_ = std::move(in_force);
  version_ = version;
  std::map<std::string, service_info> services;
  for (const service_entry& entry : in_force_->inventory.services) {
    service_info facts;
    facts.keyed = entry.kind == service_kind::kKeyed;
    facts.default_deadline = entry.default_deadline;
    facts.layout.slices_per_partition = entry.slices;
    for (const region_entry& region : in_force_->inventory.regions) {
      facts.layout.regions.push_back(region.name);
    }
    services.emplace(entry.name, std::move(facts));
  }
  services_ = std::move(services);
}

const service_info* rules_view::FindService(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

std::vector<std::string> rules_view::HomeRegions(const dispatch_request& request) const {
  if (!in_force_) return {};
  return bulrushway::HomeRegions(in_force_->rules, request.service, request.tenant,
                                 PathOf(request.request.target));
}

bool rules_view::IsIdempotent(const dispatch_request& request) const {
  const service_entry* service =
      in_force_ ? in_force_->inventory.FindService(request.service) : nullptr;
  return service != nullptr && IsIdempotentRoute(*service, PathOf(request.request.target));
}

bool rules_view::IsDataCentreOut(const std::string& data_centre) const {
  return in_force_ && in_force_->rules.IsDataCentreOut(data_centre);
}

bool rules_view::HasActivePlannedStop(const std::string& upstream,
                                      std::chrono::sys_seconds wall_now) const {
  return in_force_ && FindActiveStop(in_force_->rules, upstream, wall_now) != nullptr;
}

bool rules_view::MayReceiveNewWork(const node_state& node,
                                   std::chrono::sys_seconds wall_now) const {
  return !IsDataCentreOut(node.member.data_centre) &&
         !HasActivePlannedStop(node.member.node, wall_now);
}

std::pair<uint32_t, uint32_t> rules_view::UpstreamCapacity(const std::string& upstream,
                                                           const std::string& service) const {
  if (!in_force_) return {0, 0};
  return {SlotsOf(in_force_->inventory, upstream, service),
          ConnectionsOf(in_force_->inventory, upstream, service)};
}

std::pair<double, uint8_t> rules_view::TenantWeightAndPriority(
    const dispatch_request& request) const {
  const tenant_entry* tenant = in_force_ ? in_force_->rules.FindTenant(request.tenant) : nullptr;
  if (tenant == nullptr) return {100, 5};
  // In the rules, priority 0 is the most important; in the queue, the largest number is.
  constexpr uint32_t kHighestQueuePriority = 9;
  return {tenant->share, static_cast<uint8_t>(kHighestQueuePriority - tenant->priority)};
}

}  // namespace bulrushway
