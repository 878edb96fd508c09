#include "service_targets.h"

#include <algorithm>

namespace bulrushway {

target_locality LocalityOf(const node_location& own_location, const member_record& member) {
  if (member.data_centre == own_location.data_centre) return target_locality::kDataCentre;
  if (member.region == own_location.region) return target_locality::kRegion;
  return target_locality::kRemote;
}

void service_targets::Refresh(const fleet_view& fleet, const std::string& service,
                              const node_location& own_location, const member_filter& may_use) {
  const std::map<std::string, size_t> old_index = std::move(index_by_node_);
  const std::vector<target_view> old_views = std::move(views_);
  members_.clear();
  views_.clear();
  index_by_node_.clear();
  for (const node_state* node : fleet.OfService(service)) {
    if (node->reachable && node->reported) members_.push_back(node->member);
  }
  std::ranges::stable_sort(members_, {}, [&own_location](const member_record& member) {
    return LocalityOf(own_location, member);
  });
  for (const member_record& member : members_) {
    const node_state& node = *fleet.Find(member.node);
    uint64_t& incarnation = incarnations_[member.node];
    if (incarnation != member.process) loads_[member.node].Reset();
    incarnation = member.process;
    const auto old = old_index.find(member.node);
    target_view view = old == old_index.end() ? target_view{} : old_views[old->second];
    view.slots = std::max<uint32_t>(node.report.target.slots, 1);
    view.locality = LocalityOf(own_location, member);
    view.draining = !node.Usable() || !may_use(node);
    index_by_node_[member.node] = views_.size();
    views_.push_back(view);
    UpdateView(member.node);
  }
}

request_ticket service_targets::Start(instant now, const std::string& node) {
  const request_ticket ticket = loads_[node].Start(now);
  UpdateView(node);
  return ticket;
}

void service_targets::Finish(instant now, const std::string& node, request_ticket ticket,
                             request_outcome outcome) {
  loads_[node].Finish(ticket, outcome, now);
  UpdateView(node);
}

void service_targets::MarkCold(const std::string& node, bool cold) {
  const auto found = index_by_node_.find(node);
  if (found != index_by_node_.end()) views_[found->second].cold = cold;
}

std::vector<size_t> service_targets::ExcludeTargets(const std::vector<std::string>& tried,
                                                    const std::vector<std::string>& regions) {
  std::vector<size_t> excluded;
  for (const std::string& node : tried) {
    const auto found = index_by_node_.find(node);
    if (found != index_by_node_.end()) excluded.push_back(found->second);
  }
  if (!regions.empty()) {
    for (size_t i = 0; i < members_.size(); ++i) {
      if (std::ranges::find(regions, members_[i].region) == regions.end()) excluded.push_back(i);
    }
  }
  for (const size_t index : excluded) views_[index].tried = true;
  return excluded;
}

void service_targets::UpdateView(const std::string& node) {
  const auto found = index_by_node_.find(node);
  if (found != index_by_node_.end()) loads_[node].WriteTo(views_[found->second]);
}

}  // namespace bulrushway
