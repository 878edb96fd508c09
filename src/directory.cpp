#include "directory.h"

#include <algorithm>

#include "control_codec.h"

namespace bulrushway {
namespace {

// Marks an owner that was hinted and not claimed.
constexpr uint32_t kHintedPart = ~uint32_t{0};

}  // namespace

void directory::OnAnnouncement(const announcement& heard) {
  ++revision_;
  members_[heard.node] = heard;
  names_[HashOfName(heard.node)] = heard.node;
}

void directory::OnClaim(const ownership_claim& heard) {
  ++revision_;
  auto& owners = owners_[heard.service];
  ownership_claim& known = claims_[{heard.node, heard.part}];
  DropOwner(known);
  for (const slice_run& run : heard.runs) {
    const uint32_t end = run.first + run.count;
    if (owners.size() < end) owners.resize(end);
    for (uint32_t slice = run.first; slice < end; ++slice) {
      if (owners[slice].epoch > run.epoch) continue;
      owners[slice] = owner{heard.node, heard.part, heard.first_term, run.epoch};
    }
  }
  known = heard;
}

void directory::OnHint(const std::string& service, uint32_t slice, const std::string& node) {
  const announcement* member = Find(node);
  auto& owners = owners_[service];
  if (member == nullptr || slice >= kMostSlices) return;
  if (owners.size() <= slice) owners.resize(slice + 1);
  // The epoch stays, so that the claim of the true owner replaces the hint.
  owners[slice].node = node;
  owners[slice].part = kHintedPart;
  owners[slice].first_term = member->first_term;
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

std::string directory::NameOfHash(uint32_t hash) const {
  const auto found = names_.find(hash);
  return found == names_.end() ? std::string{} : found->second;
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
  // A process without a term serves lookups while it waits for the platform.
  return gone == gone_.end() || member->term == 0 || member->term > gone->second;
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
  const owner& known = owners->second[slice];
  return Current(known) ? known.node : std::string{};
}

std::string directory::LastOwnerOf(const std::string& service, uint32_t slice) const {
  const auto owners = owners_.find(service);
  if (owners == owners_.end() || owners->second.size() <= slice) return {};
  return owners->second[slice].node;
}

size_t directory::OwnedSlices(const std::string& service) const {
  const auto owners = owners_.find(service);
  if (owners == owners_.end()) return 0;
  return static_cast<size_t>(
      std::ranges::count_if(owners->second, [this](const owner& known) { return Current(known); }));
}

bool directory::Current(const owner& known) const {
  if (known.node.empty() || !Alive(known.node)) return false;
  // What an earlier process of the node claimed is void.
  const announcement& member = members_.at(known.node);
  return member.term != 0 && known.first_term == member.first_term;
}

void directory::DropOwner(const ownership_claim& claim) {
  auto& owners = owners_[claim.service];
  for (const slice_run& run : claim.runs) {
    for (uint32_t slice = run.first; slice < run.first + run.count; ++slice) {
      // A later owner keeps its place, and so does a slice that has moved to another part of the
      // same node's claims. The epoch stays as the floor for the next owner.
      const bool same = owners[slice].node == claim.node && owners[slice].part == claim.part;
      if (same) owners[slice].node.clear();
    }
  }
}

}  // namespace bulrushway
