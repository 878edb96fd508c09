#include "service_targets.h"

#include <algorithm>

namespace bulrushway {

target_locality LocalityOf(const own_place& here, const member_record& member) {
  if (member.data_centre == here.data_centre) return target_locality::kDataCentre;
  if (member.region == here.region) return target_locality::kRegion;
  return target_locality::kRemote;
}

void service_targets::Refresh(const fleet_view& known, const std::string& service,
                              const own_place& here, const allowed& may_use) {
  const std::map<std::string, size_t> old_index = std::move(index_);
  const std::vector<target_view> old_views = std::move(views_);
  members_.clear();
  views_.clear();
  index_.clear();
  for (const node_state* node : known.OfService(service)) {
    if (node->reachable && node->reported) members_.push_back(node->member);
  }
  std::ranges::stable_sort(
      members_, {}, [&here](const member_record& member) { return LocalityOf(here, member); });
  for (const member_record& member : members_) {
    const node_state& node = *known.Find(member.node);
    uint64_t& process = processes_[member.node];
    if (process != member.process) loads_[member.node].Reset();
    process = member.process;
    const auto old = old_index.find(member.node);
    target_view view = old == old_index.end() ? target_view{} : old_views[old->second];
    view.slots = std::max<uint32_t>(node.report.target.slots, 1);
    view.locality = LocalityOf(here, member);
    view.draining = !node.Usable() || !may_use(node);
    index_[member.node] = views_.size();
    views_.push_back(view);
    Update(member.node);
  }
}

request_ticket service_targets::Start(instant now, const std::string& node) {
  const request_ticket ticket = loads_[node].Start(now);
  Update(node);
  return ticket;
}

void service_targets::Finish(instant now, const std::string& node, request_ticket ticket,
                             request_end end) {
  loads_[node].Finish(ticket, end, now);
  Update(node);
}

void service_targets::MarkCold(const std::string& node, bool cold) {
  const auto found = index_.find(node);
  if (found != index_.end()) views_[found->second].cold = cold;
}

std::vector<size_t> service_targets::MarkTried(const std::vector<std::string>& tried,
                                               const std::vector<std::string>& regions) {
  std::vector<size_t> marked;
  for (const std::string& node : tried) {
    const auto found = index_.find(node);
    if (found != index_.end()) marked.push_back(found->second);
  }
  if (!regions.empty()) {
    for (size_t i = 0; i < members_.size(); ++i) {
      if (std::ranges::find(regions, members_[i].region) == regions.end()) marked.push_back(i);
    }
  }
  for (const size_t index : marked) views_[index].tried = true;
  return marked;
}

void service_targets::Update(const std::string& node) {
  const auto found = index_.find(node);
  if (found != index_.end()) loads_[node].WriteTo(views_[found->second]);
}

}  // namespace bulrushway
