#include "gossip.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace bulrushway {

namespace {

// How far urgent items may overdraw the allowance for pushes, as a share of the burst.
constexpr double kUrgentDebt = -0.25;

/// IP and UDP headers of a datagram.
constexpr size_t kHeaderBytes = 28;
/// Fixed fields of an encoded message, the root hash included.
constexpr size_t kMessageBytes = 24;
/// Type, version and length fields of an encoded item.
constexpr size_t kItemBytes = 16;
constexpr size_t kBucketHashBytes = 5;
constexpr size_t kBucketNumberBytes = 3;
/// A comparison that brings more new items than this is a late start, not missed news: the items
/// are old to all others and are not pushed again.
constexpr size_t kMissedNewsItems = 16;

uint64_t HashOf(const gossip_item& item) {
  const uint64_t seed = (item.version << 8U) ^ item.kind;
  return XXH3_64bits_withSeed(item.key.data(), item.key.size(), seed);
}

uint32_t BucketOf(const gossip_item& item) {
  return XXH3_64bits_withSeed(item.key.data(), item.key.size(), item.kind) % kGossipBuckets;
}

uint32_t Shorten(uint64_t hash) { return static_cast<uint32_t>(hash >> 32U); }

bool IsEmpty(const gossip_message& message) {
  return message.items.empty() && !message.root_hash && message.bucket_hashes.empty() &&
         message.wanted_buckets.empty();
}

}  // namespace

size_t EncodedSize(const gossip_item& item) {
  return kItemBytes + item.key.size() + item.payload.size();
}

size_t EncodedSize(const gossip_message& message) {
  size_t bytes = kMessageBytes;
  bytes += message.bucket_hashes.size() * kBucketHashBytes;
  bytes += message.wanted_buckets.size() * kBucketNumberBytes;
  for (const gossip_item& item : message.items) {
    bytes += EncodedSize(item);
  }
  return bytes;
}

std::vector<gossip_message> SplitGossip(gossip_message message, size_t message_bytes) {
  std::vector<gossip_item> items = std::move(message.items);
  message.items.clear();
  std::vector<gossip_message> parts;
  if (!IsEmpty(message)) {
    parts.push_back(message);
  }
  size_t used = parts.empty() ? message_bytes : EncodedSize(message);
  for (gossip_item& item : items) {
    const size_t size = EncodedSize(item);
    if (used + size > message_bytes) {
      parts.emplace_back().repair = message.repair;
      used = kMessageBytes;
    }
    used += size;
    parts.back().items.push_back(std::move(item));
  }
  return parts;
}

gossip::gossip(const gossip_settings& settings, uint64_t seed)
    : settings_(settings),
      random_(seed),
      push_allowance_{settings.burst_bytes / 2.0},
      comparison_allowance_{settings.burst_bytes / 2.0} {}

bool gossip::Publish(instant now, gossip_item item) {
  Refill(now);
  const gossip_item* stored = Store(std::move(item));
  if (stored == nullptr) {
    return false;
  }
  MarkRecent(stored);
  return true;
}

std::vector<gossip_item> gossip::Receive(instant now, const gossip_message& message,
                                         std::optional<gossip_message>& reply) {
  Refill(now);
  reply.reset();
  std::vector<const gossip_item*> stored_items;
  std::vector<gossip_item> fresh;
  for (const gossip_item& item : message.items) {
    if (const gossip_item* stored = Store(item)) {
      stored_items.push_back(stored);
      fresh.push_back(item);
    }
  }
  const bool is_news = !message.repair || fresh.size() <= kMissedNewsItems;
  if (is_news) {
    std::for_each(stored_items.begin(), stored_items.end(),
                  [this](const gossip_item* item) { MarkRecent(item); });
  }
  if (message.repair && !fresh.empty() && next_comparison_) {
    next_comparison_ = std::min(*next_comparison_, now + settings_.catch_up_interval);
  }
  gossip_message answer;
  ReplyToRoot(message, answer);
  ReplyToBuckets(message, answer);
  if (!IsEmpty(answer) && comparison_allowance_.Spend(SentBytes(EncodedSize(answer)))) {
    reply = std::move(answer);
  }
  return fresh;
}

std::vector<outgoing_gossip> gossip::Tick(instant now, std::span<const std::string> peers) {
  Refill(now);
  std::vector<outgoing_gossip> out;
  if (peers.empty()) {
    return out;
  }
  PushRecent(peers, out);
  Compare(now, peers, out);
  return out;
}

const gossip_item* gossip::Find(uint8_t kind, std::string_view key) const {
  const auto found = items_.find(item_id(kind, key));
  return found == items_.end() ? nullptr : &found->second;
}

void gossip::ForEach(uint8_t kind, const std::function<void(const gossip_item&)>& visit) const {
  for (auto it = items_.lower_bound(item_id(kind, "")); it != items_.end(); ++it) {
    if (it->first.first != kind) {
      return;
    }
    visit(it->second);
  }
}

uint64_t gossip::RootHash() const {
  std::array<uint64_t, kGossipBuckets> hashes{};
  std::transform(buckets_.begin(), buckets_.end(), hashes.begin(),
                 [](const bucket& part) { return part.hash; });
  return XXH3_64bits(hashes.data(), sizeof(hashes));
}

/// Returns the stored item, or nullptr when it is not newer than the known one or too large.
const gossip_item* gossip::Store(gossip_item item) {
  if (EncodedSize(item) + kMessageBytes > settings_.message_bytes) {
    return nullptr;
  }
  bucket& part = buckets_[BucketOf(item)];
  const auto [it, inserted] = items_.try_emplace(item_id(item.kind, item.key));
  gossip_item& known = it->second;
  if (!inserted && known.version >= item.version) {
    return nullptr;
  }
  if (inserted) {
    part.items.push_back(&known);
  } else {
    part.hash ^= HashOf(known);
  }
  known = std::move(item);
  part.hash ^= HashOf(known);
  return &known;
}

/// Pushes the item anew, from the count of zero.
void gossip::MarkRecent(const gossip_item* item) {
  const auto same = [item](const recent_item& entry) { return entry.item == item; };
  const auto found = std::find_if(recent_.begin(), recent_.end(), same);
  if (found != recent_.end()) {
    found->pushes = 0;
    return;
  }
  recent_.push_back({item, 0});
}

void gossip::Refill(instant now) {
  if (refilled_ && now > *refilled_) {
    const std::chrono::duration<double> elapsed = now - *refilled_;
    const double added = elapsed.count() * settings_.bytes_per_second / 2.0;
    for (allowance* part : {&push_allowance_, &comparison_allowance_}) {
      part->bytes = std::min(part->bytes + added, settings_.burst_bytes / 2.0);
    }
  }
  refilled_ = std::max(now, refilled_.value_or(now));
}

bool gossip::allowance::Spend(size_t wanted, double floor) {
  if (bytes - static_cast<double>(wanted) < floor) {
    return false;
  }
  bytes -= static_cast<double>(wanted);
  return true;
}

/// Bytes on the network for a message that is split into datagrams which may be half full.
size_t gossip::SentBytes(size_t encoded_bytes) const {
  const size_t datagrams = 1 + 2 * encoded_bytes / settings_.message_bytes;
  return encoded_bytes + datagrams * (kMessageBytes + kHeaderBytes);
}

void gossip::PushRecent(std::span<const std::string> peers, std::vector<outgoing_gossip>& out) {
  if (recent_.empty()) {
    return;
  }
  std::vector<std::string> chosen;
  std::sample(peers.begin(), peers.end(), std::back_inserter(chosen), settings_.fan_out, random_);
  for (const std::string& peer : chosen) {
    PushTo(peer, out);
  }
  const uint32_t limit = std::bit_width(peers.size()) + settings_.extra_pushes;
  std::erase_if(recent_, [limit](const recent_item& entry) { return entry.pushes >= limit; });
}

bool gossip::IsUrgent(const recent_item& entry) const {
  return settings_.urgent_kind != 0 && entry.item->kind == settings_.urgent_kind;
}

/// Sends all recent items to a peer until the allowance ends: urgent ones first, then the least
/// pushed.
void gossip::PushTo(const std::string& peer, std::vector<outgoing_gossip>& out) {
  const auto less = [this](const recent_item& a, const recent_item& b) {
    return std::pair(!IsUrgent(a), a.pushes) < std::pair(!IsUrgent(b), b.pushes);
  };
  std::stable_sort(recent_.begin(), recent_.end(), less);
  size_t used = settings_.message_bytes;
  for (recent_item& entry : recent_) {
    const size_t size = EncodedSize(*entry.item);
    const bool is_full = used + size > settings_.message_bytes;
    const size_t added = is_full ? size + kMessageBytes + kHeaderBytes : size;
    const double floor = IsUrgent(entry) ? settings_.burst_bytes * kUrgentDebt : 0.0;
    if (!push_allowance_.Spend(added, floor)) return;
    if (is_full) {
      out.push_back({peer, {}});
      used = kMessageBytes;
    }
    used += size;
    out.back().message.items.push_back(*entry.item);
    ++entry.pushes;
  }
}

void gossip::Compare(instant now, std::span<const std::string> peers,
                     std::vector<outgoing_gossip>& out) {
  if (!next_comparison_) {
    // Processes that start together do not compare at the same moments.
    std::uniform_int_distribution<int64_t> delay(0, settings_.comparison_interval.count());
    next_comparison_ = now + std::chrono::milliseconds(delay(random_));
  }
  if (now < *next_comparison_ || !comparison_allowance_.Spend(kMessageBytes + kHeaderBytes)) {
    return;
  }
  next_comparison_ = now + settings_.comparison_interval;
  std::uniform_int_distribution<size_t> pick(0, peers.size() - 1);
  outgoing_gossip& comparison = out.emplace_back();
  comparison.peer = peers[pick(random_)];
  comparison.message.root_hash = RootHash();
}

void gossip::ReplyToRoot(const gossip_message& message, gossip_message& reply) const {
  if (!message.root_hash || *message.root_hash == RootHash()) {
    return;
  }
  for (const bucket& part : buckets_) {
    reply.bucket_hashes.push_back(Shorten(part.hash));
  }
}

/// Answers the hashes of buckets with the differing ones, wanted and given, and wanted ones with
/// their items.
void gossip::ReplyToBuckets(const gossip_message& message, gossip_message& reply) {
  std::vector<uint32_t> given;
  if (message.bucket_hashes.size() == kGossipBuckets) {
    for (uint32_t i = 0; i < kGossipBuckets; ++i) {
      if (message.bucket_hashes[i] != Shorten(buckets_[i].hash)) {
        reply.wanted_buckets.push_back(i);
      }
    }
    given = reply.wanted_buckets;
  }
  for (const uint32_t wanted : message.wanted_buckets) {
    if (wanted < kGossipBuckets) {
      given.push_back(wanted);
    }
  }
  AddBucketItems(std::move(given), reply);
}

/// Adds the items of buckets in random order, so that a peer that asks several processes for more
/// than each can give gets different parts.
void gossip::AddBucketItems(std::vector<uint32_t> numbers, gossip_message& reply) {
  std::sort(numbers.begin(), numbers.end());
  numbers.erase(std::unique(numbers.begin(), numbers.end()), numbers.end());
  std::shuffle(numbers.begin(), numbers.end(), random_);
  size_t encoded_bytes = EncodedSize(reply);
  for (const uint32_t number : numbers) {
    for (const gossip_item* item : buckets_[number].items) {
      encoded_bytes += EncodedSize(*item);
      if (comparison_allowance_.bytes < static_cast<double>(SentBytes(encoded_bytes))) {
        return;
      }
      reply.items.push_back(*item);
      reply.repair = true;
    }
  }
}

}  // namespace bulrushway
