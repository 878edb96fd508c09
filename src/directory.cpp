#include "directory.h"

#include <algorithm>

namespace bulrushway {

void directory::OnAnnouncement(const announcement& heard) {
  ++revision_;
  members_[heard.node] = heard;
}

void directory::OnClaim(const ownership_claim& heard) {
  ++revision_;
  const auto known = claims_.find(heard.node);
  if (known != claims_.end()) {
    DropOwner(known->second);
  }
  auto& owners = owners_[heard.service];
  for (const auto& [slice, epoch] : heard.slices) {
    if (owners.size() <= slice) owners.resize(slice + 1);
    if (owners[slice].epoch > epoch) continue;
    owners[slice] = owner{heard.node, epoch};
  }
  claims_[heard.node] = heard;
}

void directory::OnGone(const std::string& node, uint64_t term) {
  uint64_t& highest = gone_[node];
  if (term <= highest) return;
  highest = term;
  ++revision_;
}

const announcement* directory::Find(const std::string& node) const {
  const auto found = members_.find(node);
  return found == members_.end() ? nullptr : &found->second;
}

const announcement* directory::FindByPeer(const socket_address& peer) const {
  for (const auto& [name, member] : members_) {
    if (member.peer == peer) return &member;
  }
  return nullptr;
}

bool directory::Alive(const std::string& node) const {
  const announcement* member = Find(node);
  if (member == nullptr) return false;
  const auto gone = gone_.find(node);
  return gone == gone_.end() || member->term > gone->second;
}

std::vector<const announcement*> directory::Live() const {
  std::vector<const announcement*> live;
  for (const auto& [name, member] : members_) {
    if (Alive(name)) live.push_back(&member);
  }
  return live;
}

std::vector<const announcement*> directory::Live(const std::string& service) const {
  auto live = Live();
  std::erase_if(live,
                [&service](const announcement* member) { return member->service != service; });
  return live;
}

std::string directory::OwnerOf(const std::string& service, uint32_t slice) const {
  const auto owners = owners_.find(service);
  if (owners == owners_.end() || owners->second.size() <= slice) return {};
  const std::string& node = owners->second[slice].node;
  return Alive(node) ? node : std::string{};
}

size_t directory::OwnedSlices(const std::string& service) const {
  const auto owners = owners_.find(service);
  if (owners == owners_.end()) return 0;
  return static_cast<size_t>(std::ranges::count_if(
      owners->second, [this](const owner& known) { return Alive(known.node); }));
}

void directory::DropOwner(const ownership_claim& claim) {
  auto& owners = owners_[claim.service];
  for (const auto& [slice, epoch] : claim.slices) {
    // A later owner keeps its place; the epoch stays as the floor for the next one.
    if (owners[slice].node == claim.node) owners[slice].node.clear();
  }
}

}  // namespace bulrushway
