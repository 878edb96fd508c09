#ifndef BULRUSHWAY_DIRECTORY_H
#define BULRUSHWAY_DIRECTORY_H

// Who is there and who owns which slice, as far as this process has heard. It is a view for finding
// the way, never a permission: only the lease at the owner's gate allows a request to run.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "announcement.h"

namespace bulrushway {

/// Members and owners by hearsay.
class directory {
 public:
  /// Takes an announcement; the newest is passed in by the gossip module's versions.
  void OnAnnouncement(const announcement& heard);
  /// Takes a claim, which replaces the earlier one of the same node and part.
  void OnClaim(const ownership_claim& heard);
  /// A gate that does not own a slice says who does. Believed until a claim for the slice comes.
  void OnHint(const std::string& service, uint32_t slice, const std::string& node);
  /// The term is gone: a member that announced it is not alive until it announces a later one.
  void OnGone(const std::string& node, uint64_t term);

  /// The announcement of a node, alive or not; nullptr when unknown.
  const announcement* Find(const std::string& node) const;
  /// The name that has this hash (see HashOfName); empty when unknown.
  std::string NameOfHash(uint32_t hash) const;
  /// The node that listens for peers there; nullptr when unknown.
  const announcement* FindByPeer(const socket_address& peer) const;
  /// Whether the node is known and none of its announced terms is gone.
  bool Alive(const std::string& node) const;
  /// All live members, by name.
  std::vector<const announcement*> Live() const;
  /// Live members of a service.
  std::vector<const announcement*> Live(const std::string& service) const;

  /// The live node with the highest epoch for the slice; empty when none is known.
  std::string OwnerOf(const std::string& service, uint32_t slice) const;
  /// The node that was last heard to own the slice, alive or not; empty when none is known.
  std::string LastOwnerOf(const std::string& service, uint32_t slice) const;
  /// Slices of the service with a live owner.
  size_t OwnedSlices(const std::string& service) const;
  /// Grows with each change; caches built from the directory compare it.
  uint64_t Revision() const { return revision_; }

 private:
  struct owner {
    std::string node;
    uint32_t part = 0;
    uint64_t first_term = 0;
    uint64_t epoch = 0;
  };

  void DropOwner(const ownership_claim& claim);
  bool Current(const owner& known) const;

  std::map<std::string, announcement> members_;
  std::unordered_map<uint32_t, std::string> names_;
  std::map<std::string, uint64_t> gone_;
  std::map<std::pair<std::string, uint32_t>, ownership_claim> claims_;
  std::map<std::string, std::vector<owner>> owners_;
  uint64_t revision_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_DIRECTORY_H
