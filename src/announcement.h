#ifndef BULRUSHWAY_ANNOUNCEMENT_H
#define BULRUSHWAY_ANNOUNCEMENT_H

// What a process tells all others about itself. There is no list of instances: a process is known
// by its announcement, which spreads by gossip.

#include <cstdint>
#include <string>
#include <vector>

#include "error.h"
#include "poison_registry.h"
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
  /// Slices held of each partition.
  std::vector<uint32_t> partition_slices;
  /// Version of the configuration in force.
  uint64_t configuration_version = 0;
  /// The service of the target divides its keys between owners.
  bool owns_keys = false;
  /// The target answers.
  bool target_up = false;
  /// The node gets no new work: planned stop, or its data centre is out.
  bool leaving = false;

  bool operator==(const announcement&) const = default;
};

/// Slices of a service at most; a claim beyond is damaged.
inline constexpr uint32_t kMostSlices = 1 << 20;

/// Consecutive slices held under one epoch.
struct slice_run {
  uint32_t first = 0;
  uint32_t count = 0;
  uint64_t epoch = 0;

  bool operator==(const slice_run&) const = default;
};

/// Runs in one claim at most, so that a claim fits into a datagram.
inline constexpr size_t kRunsPerClaim = 100;

/// Some of the slices that a node holds. A node with many runs of slices makes several claims,
/// numbered from zero; one that has shrunk leaves empty claims behind.
struct ownership_claim {
  std::string node;
  std::string service;
  /// First term of the process that claims: what an earlier process claimed is void. The term
  /// itself is left out, so that a new term changes only the claims whose slices change.
  uint64_t first_term = 0;
  uint32_t part = 0;
  /// Sorted by slice.
  std::vector<slice_run> runs;

  bool operator==(const ownership_claim&) const = default;
};

/// Divides slices, given with their epochs in order, into claims. `least_parts` is the number of
/// claims made before.
std::vector<ownership_claim> MakeClaims(const std::string& node, const std::string& service,
                                        uint64_t first_term,
                                        const std::vector<std::pair<uint32_t, uint64_t>>& slices,
                                        size_t least_parts);

/// Bytes for a gossip payload.
std::string Encode(const announcement& value);
std::string Encode(const ownership_claim& value);
std::string Encode(const poison_entry& value);

/// Reads a gossip payload; a damaged one is a peer error.
result<announcement> DecodeAnnouncement(const std::string& bytes);
result<ownership_claim> DecodeClaim(const std::string& bytes);
result<poison_entry> DecodePoison(const std::string& bytes);

}  // namespace bulrushway

#endif  // BULRUSHWAY_ANNOUNCEMENT_H
