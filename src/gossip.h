#ifndef BULRUSHWAY_GOSSIP_H
#define BULRUSHWAY_GOSSIP_H

// Spreads versioned items between all processes: announcements, ownership claims, terms that are
// gone, the head of the configuration, quarantine entries. A new item is pushed to random peers a
// limited number of times; what a push missed is found by comparing hashes with one random peer a
// second. No process sends more than its byte budget, whatever the size of the fleet.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clock.h"

namespace bulrushway {

/// Number of buckets that items are hashed into for comparison.
constexpr uint32_t kGossipBuckets = 256;

/// A versioned value. The newest version of each (kind, key) wins.
struct gossip_item {
  uint8_t kind = 0;
  std::string key;
  uint64_t version = 0;
  std::string payload;
};

/// What one process tells another. All fields may be empty.
struct gossip_message {
  /// Values for the receiver.
  std::vector<gossip_item> items;
  /// Hash of all that the sender knows; a receiver that differs replies with `bucket_hashes`.
  std::optional<uint64_t> root_hash;
  /// Hash of each bucket at the sender, or empty.
  std::vector<uint32_t> bucket_hashes;
  /// Buckets whose items the sender asks for.
  std::vector<uint32_t> wanted_buckets;
  /// The items answer a comparison and are not necessarily recent.
  bool repair = false;
};

/// A message and the peer that it goes to.
struct outgoing_gossip {
  std::string peer;
  gossip_message message;
};

/// Limits of one process.
struct gossip_settings {
  /// Bytes a second that may be sent in the long run, datagram headers included.
  uint32_t bytes_per_second = 1024;
  /// Bytes that may be sent at once after a quiet time: half of them by pushes, half by
  /// comparisons.
  uint32_t burst_bytes = 1U << 20;
  /// Largest encoded message, without datagram headers.
  uint32_t message_bytes = 1200;
  /// Peers that get the recent items at each tick.
  uint32_t fan_out = 3;
  /// Items of this kind are pushed before all others, also when nothing may be sent for the moment;
  /// what they cost beyond is saved later. 0: no kind.
  uint8_t urgent_kind = 0;
  /// Pushes of an item by each process beyond log2 of the number of peers.
  uint32_t extra_pushes = 2;
  /// Time between two comparisons with a random peer.
  std::chrono::milliseconds comparison_interval{1000};
  /// The same while the last comparison brought items.
  std::chrono::milliseconds catch_up_interval{100};
};

/// Upper estimate of the encoded size of an item, in bytes.
size_t EncodedSize(const gossip_item& item);
/// Upper estimate of the encoded size of a message, in bytes, without datagram headers.
size_t EncodedSize(const gossip_message& message);
/// Splits a reply into messages of at most `message_bytes`, to be sent in any order.
std::vector<gossip_message> SplitGossip(gossip_message message, size_t message_bytes);

/// The knowledge of one process and its plan of what to send next.
class gossip {
 public:
  /// All random choices derive from `seed`.
  gossip(const gossip_settings& settings, uint64_t seed);

  /// Takes an item of this process and pushes it from the next tick on. Returns false, and changes
  /// nothing, when the known version is as new or the item does not fit into a message.
  bool Publish(instant now, gossip_item item);

  /// Takes a message of a peer and returns the items that were new. `reply` is set when something
  /// has to go back; it may be larger than a datagram, see `SplitGossip`.
  std::vector<gossip_item> Receive(instant now, const gossip_message& message,
                                   std::optional<gossip_message>& reply);

  /// What to send now, each message within `message_bytes`. To be called every 50 to 200 ms with
  /// the live peers, without this process itself.
  std::vector<outgoing_gossip> Tick(instant now, std::span<const std::string> peers);

  /// The newest known item, or nullptr. Valid until the next call of a non-const method.
  const gossip_item* Find(uint8_t kind, std::string_view key) const;
  /// Calls `visit` with each known item of a kind, in the order of keys.
  void ForEach(uint8_t kind, const std::function<void(const gossip_item&)>& visit) const;
  /// Number of known items.
  size_t size() const { return items_.size(); }
  /// Hash of all that is known; equal at two processes that know the same versions.
  uint64_t RootHash() const;

 private:
  using item_id = std::pair<uint8_t, std::string>;
  struct recent_item {
    const gossip_item* item = nullptr;
    uint32_t pushes = 0;
  };
  /// Bytes that may still be sent. Pushes and comparisons have one each: neither starves the other.
  struct allowance {
    double bytes = 0;
    /// Takes the bytes if that leaves at least `floor`.
    bool Spend(size_t wanted, double floor = 0);
  };
  struct bucket {
    uint64_t hash = 0;
    std::vector<const gossip_item*> items;
  };

  const gossip_item* Store(gossip_item item);
  void MarkRecent(const gossip_item* item);
  void Refill(instant now);
  size_t SentBytes(size_t encoded_bytes) const;
  void PushRecent(std::span<const std::string> peers, std::vector<outgoing_gossip>& out);
  bool IsUrgent(const recent_item& entry) const;
  void PushTo(const std::string& peer, std::vector<outgoing_gossip>& out);
  void Compare(instant now, std::span<const std::string> peers, std::vector<outgoing_gossip>& out);
  void ReplyToRoot(const gossip_message& message, gossip_message& reply) const;
  void ReplyToBuckets(const gossip_message& message, gossip_message& reply);
  void AddBucketItems(std::vector<uint32_t> buckets, gossip_message& reply);

  gossip_settings settings_;
  std::mt19937_64 random_;
  std::map<item_id, gossip_item> items_;
  std::array<bucket, kGossipBuckets> buckets_;
  std::vector<recent_item> recent_;
  allowance push_allowance_;
  allowance comparison_allowance_;
  std::optional<instant> refilled_;
  std::optional<instant> next_comparison_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_GOSSIP_H
