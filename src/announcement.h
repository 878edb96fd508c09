#ifndef BULRUSHWAY_ANNOUNCEMENT_H
#define BULRUSHWAY_ANNOUNCEMENT_H

// What a process tells all others about itself. There is no list of instances: a process is known
// by its announcement, which spreads by gossip.

#include <cstdint>
#include <string>
#include <vector>

#include "error.h"
#include "socket_address.h"

namespace bulrushway {

/// Kinds of gossip items.
enum class gossip_kind : uint8_t {
  kAnnouncement = 1,
  kClaim = 2,
  kGoneTerm = 3,
  kConfigurationHead = 4,
  kQuarantine = 5,
};

/// One process and the target beside it.
struct announcement {
  std::string node;
  /// Random number of the process, to tell a restart or a second process of the same name.
  uint64_t process = 0;
  std::string service;
  std::string region;
  std::string data_centre;
  std::string rack;
  socket_address peer;
  socket_address http;
  /// Share of keys relative to others.
  uint32_t weight = 100;
  /// Requests the target runs at a time.
  uint32_t slots = 0;
  /// Term under which the node serves; 0 when it has none.
  uint64_t term = 0;
  /// First term of this process.
  uint64_t first_term = 0;
  /// Nodes that witness the lease of the term.
  std::vector<std::string> witnesses;
  /// Slices held.
  uint32_t slices = 0;
  /// Version of the configuration in force.
  uint64_t configuration_version = 0;
  /// The target answers.
  bool target_up = false;
  /// The node gets no new work: planned stop, or its data centre is out.
  bool leaving = false;
};

/// Slices in one claim at most, so that a claim fits into a datagram.
inline constexpr size_t kSlicesPerClaim = 150;

/// Some of the slices that a node holds. A node with many slices makes several claims, numbered
/// from zero; one that has shrunk leaves empty claims behind.
struct ownership_claim {
  std::string node;
  std::string service;
  uint64_t term = 0;
  uint32_t part = 0;
  /// Slice and epoch, sorted by slice.
  std::vector<std::pair<uint32_t, uint64_t>> slices;
};

/// Divides slices into claims. `least_parts` is the number of claims made before.
std::vector<ownership_claim> MakeClaims(const std::string& node, const std::string& service,
                                        uint64_t term,
                                        const std::vector<std::pair<uint32_t, uint64_t>>& slices,
                                        size_t least_parts);

/// Bytes for a gossip payload.
std::string Encode(const announcement& value);
std::string Encode(const ownership_claim& value);

/// Reads a gossip payload; a damaged one is a peer error.
result<announcement> DecodeAnnouncement(const std::string& bytes);
result<ownership_claim> DecodeClaim(const std::string& bytes);

}  // namespace bulrushway

#endif  // BULRUSHWAY_ANNOUNCEMENT_H
