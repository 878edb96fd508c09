#include "membership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace bulrushway {
namespace {

// The head of the configuration waits for nothing: a change is in force everywhere within seconds
// also while many processes announce themselves.
gossip_settings GossipSettings() {
  gossip_settings settings;
  settings.urgent_kind = static_cast<uint8_t>(gossip_kind::kConfigurationHead);
  return settings;
}

constexpr std::chrono::milliseconds kTickInterval{25};
constexpr std::chrono::milliseconds kGossipInterval{100};
constexpr std::chrono::seconds kSearchInterval{2};
// A tick that comes this much later than planned is reported.
constexpr std::chrono::milliseconds kLateTick{300};
// Announcements of another process under this node's name before it counts as a duplicate.
constexpr uint64_t kConflictsOfDuplicate = 5;

// Rows of nodes in the platform's table.
constexpr const char* kNodePrefix = "node/";

uint64_t WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

member ToMember(const announcement& known) {
  member converted;
  converted.node = known.node;
  converted.term = {known.node, known.term};
  converted.first_number = known.first_term;
  converted.witnesses = known.witnesses;
  converted.service = known.service;
  converted.region = known.region;
  converted.data_centre = known.data_centre;
  converted.rack = known.rack;
  converted.slice_count = known.slices;
  converted.partition_slices = known.partition_slices;
  converted.owner_capable = known.owns_keys;
  converted.weight = known.weight;
  converted.leaving = known.leaving;
  return converted;
}

}  // namespace

membership::membership(event_loop& loop, event_log& log, metrics& counters,
                       http_table_service& table, forwarder& peers, announcement self,
                       std::vector<socket_address> seeds, uint64_t seed)
    : log_(log),
      metrics_(counters),
      table_(table),
      peers_(peers),
      datagrams_(loop,
                 [this](const socket_address& from, std::string_view bytes) {
                   const auto envelope = Decode(bytes, ToString(from));
                   if (!envelope) return OnBadMessage(envelope.error());
                   Receive(boot_clock::now(), *envelope, &from);
                 }),
      tick_(loop, [this](instant now) { Tick(now); }),
      gossip_(GossipSettings(), seed),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      seed_(seed) {
  self_.process = seed;
}

membership::~membership() = default;

result<void> membership::Start(instant now) {
  if (auto listening = datagrams_.Listen(self_.peer); !listening) return listening;
  running_ = true;
  last_tick_ = now;
  tick_.Every(kTickInterval);
  Announce(now);
  FindPeers(now);
  return {};
}

void membership::Stop(instant) {
  running_ = false;
  tick_.Cancel();
}

void membership::BeginOwnership(instant now, const slice_layout& layout, bool owns_keys) {
  if (core_) return;
  ownership_settings settings;
  settings.node = self_.node;
  settings.address = ToString(self_.peer);
  settings.service = self_.service;
  settings.region = self_.region;
  settings.data_centre = self_.data_centre;
  settings.rack = self_.rack;
  settings.layout = layout;
  settings.weight = self_.weight;
  // The processes of a lookup service hold terms and leases, so that their loss is noticed, but
  // there is nothing for them to own.
  settings.owner_capable = owns_keys;
  self_.owns_keys = owns_keys;
  layout_ = settings.layout;
  core_ = std::make_unique<ownership_core>(settings, seed_);
  core_->SetInFlightQuery(ports_.in_flight);
  core_->Start(now);
  members_revision_ = 0;
  TellMembers(now);
  RunActions(now);
}

result<control_envelope> membership::Decode(std::string_view bytes, const std::string& peer) const {
  return DecodeControl(bytes, peer, [this](uint32_t hash) { return directory_.NameOfHash(hash); });
}

void membership::OnBadMessage(const error& cause) {
  // Heartbeats of nodes that gossip has not told of yet are usual after a start, so each is counted
  // and only one in a while is logged.
  uint64_t& dropped = metrics_.Counter("bulrush_control_messages_dropped_total");
  constexpr uint64_t kLogEvery = 100;
  if (dropped++ % kLogEvery == 0) log_.Write(event_id::kBadDatagram, cause);
}

void membership::SetDropped(const std::string& node, bool dropped) {
  if (dropped) {
    dropped_.insert(node);
  } else {
    dropped_.erase(node);
  }
}

void membership::OnControl(instant now, const std::string& bytes, const std::string& peer) {
  const auto envelope = Decode(bytes, peer);
  if (!envelope) return OnBadMessage(envelope.error());
  Receive(now, *envelope, nullptr);
}

void membership::Publish(instant now, gossip_item item) { gossip_.Publish(now, std::move(item)); }

void membership::SetState(instant now, bool target_up, bool leaving, uint64_t configuration_version,
                          uint32_t slots) {
  // The version goes out with the next announcement only: if each change of configuration made
  // every process announce itself anew, this would cost each node more than its whole control
  // budget.
  self_.configuration_version = configuration_version;
  if (core_) {
    core_->SetDrain(now, leaving || !target_up);
    RunActions(now);
  }
  const auto state = [](const announcement& a) {
    return std::tuple(a.target_up, a.leaving, a.slots);
  };
  const auto wanted = std::tuple(target_up, leaving, slots);
  if (state(self_) == wanted) return;
  std::tie(self_.target_up, self_.leaving, self_.slots) = wanted;
  Announce(now);
}

void membership::BeginStop(instant now) {
  self_.leaving = true;
  Announce(now);
  if (!core_) return;
  core_->BeginStop(now);
  RunActions(now);
}

bool membership::Stopped() const {
  return !core_ || core_->Status().phase == ownership_phase::kStopped ||
         core_->Status().term.number == 0;
}

std::optional<uint64_t> membership::Serves(instant now, uint32_t slice) const {
  return core_ ? core_->Serves(now, slice) : std::nullopt;
}

instant membership::LeaseExpiry() const { return core_ ? core_->LeaseExpiry() : instant{}; }

std::string membership::OwnerHint(uint32_t slice) const {
  std::string receiver = core_ ? core_->ReceiverOf(slice) : "";
  if (!receiver.empty()) return receiver;
  std::string owner = directory_.OwnerOf(self_.service, slice);
  return owner == self_.node ? std::string{} : owner;
}

void membership::LearnOwner(const std::string& service, uint32_t slice, const std::string& node) {
  directory_.OnHint(service, slice, node);
}

std::optional<ownership_status> membership::OwnershipStatus() const {
  if (!core_) return std::nullopt;
  return core_->Status();
}

void membership::ExportMetrics(instant) {
  metrics_.Counter("bulrush_control_bytes_total") = datagrams_.Bytes() + control_bytes_;
  metrics_.Counter("bulrush_control_packets_total") =
      datagrams_.PacketsSent() + datagrams_.PacketsReceived() + control_messages_;
  metrics_.Gauge("bulrush_members") = static_cast<double>(directory_.Live().size());
  metrics_.Gauge("bulrush_gossip_items") = static_cast<double>(gossip_.size());
  metrics_.Gauge("bulrush_owned_slices") = static_cast<double>(claimed_.size());
}

void membership::Tick(instant now) {
  if (!running_) return;
  if (now - last_tick_ > kTickInterval + kLateTick) {
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(now - last_tick_);
    log_.Write(event_id::kLoopLate, {{"ms", std::to_string(late.count())}});
  }
  last_tick_ = now;
  // The lease is looked at before anything else that a process does after a pause.
  if (core_) {
    core_->Tick(now);
    RunActions(now);
  }
  TellMembers(now);
  if (announce_) Announce(now);
  if (now >= next_search_) FindPeers(now);
  if (now < next_gossip_) return;
  next_gossip_ = now + kGossipInterval;
  RefreshGossipPeers();
  for (const outgoing_gossip& out : gossip_.Tick(now, gossip_peers_)) {
    SendTo(out.peer, {self_.node, directory_.Find(out.peer) ? out.peer : "", out.message});
  }
}

void membership::RefreshGossipPeers() {
  if (gossip_revision_ == directory_.Revision() && !gossip_peers_.empty()) return;
  gossip_revision_ = directory_.Revision();
  gossip_peers_.clear();
  for (const announcement* known : directory_.Live()) {
    if (known->node != self_.node) gossip_peers_.push_back(known->node);
  }
  if (!gossip_peers_.empty()) return;
  for (const socket_address& seed : seeds_) {
    if (seed != self_.peer) gossip_peers_.push_back(ToString(seed));
  }
}

void membership::Receive(instant now, const control_envelope& envelope,
                         const socket_address* from) {
  if (!envelope.to.empty() && envelope.to != self_.node) return;
  if (dropped_.contains(envelope.from)) return;
  if (const auto* message = std::get_if<gossip_message>(&envelope.body)) {
    std::optional<gossip_message> reply;
    for (const gossip_item& item : gossip_.Receive(now, *message, reply)) OnItem(now, item);
    if (!reply) return;
    const std::string bytes = EncodeControl({self_.node, envelope.from, *reply});
    const announcement* sender = directory_.Find(envelope.from);
    if (sender != nullptr) return SendBytes(sender->peer, bytes);
    if (from != nullptr) SendBytes(*from, bytes);
    return;
  }
  if (!core_) return;
  core_->OnMessage(now, envelope.from, std::get<ownership_message>(envelope.body));
  RunActions(now);
}

void membership::OnItem(instant now, const gossip_item& item) {
  switch (static_cast<gossip_kind>(item.kind)) {
    case gossip_kind::kAnnouncement: {
      const auto heard = DecodeAnnouncement(item.payload);
      if (!heard) return log_.Write(event_id::kBadDatagram, heard.error());
      return OnAnnouncement(*heard, item.version);
    }
    case gossip_kind::kClaim: {
      const auto heard = DecodeClaim(item.payload);
      if (!heard) return log_.Write(event_id::kBadDatagram, heard.error());
      if (heard->node == self_.node) {
        // What an earlier process of this node claimed is replaced by its own claims.
        last_version_ = std::max(last_version_, item.version);
        claim_parts_ = std::max<size_t>(claim_parts_, heard->part + 1);
        published_claims_.clear();
        return PublishClaims(now);
      }
      return directory_.OnClaim(*heard);
    }
    case gossip_kind::kGoneTerm: {
      const size_t slash = item.key.rfind('/');
      if (slash == std::string::npos) return;
      const std::string node = item.key.substr(0, slash);
      directory_.OnGone(node, item.version);
      if (core_) {
        core_->OnFact(now, {node, item.version});
        RunActions(now);
      }
      return;
    }
    default:
      return ports_.item(now, item);
  }
}

void membership::OnAnnouncement(const announcement& heard, uint64_t version) {
  if (heard.node == self_.node) {
    last_version_ = std::max(last_version_, version);
    announce_ = true;
    if (heard.process != self_.process && ++conflicts_ >= kConflictsOfDuplicate) {
      log_.Write(event_id::kDuplicateNode, {{"node", heard.node}, {"other", ToString(heard.peer)}});
      conflicts_ = 0;
    }
    return;
  }
  const announcement* known = directory_.Find(heard.node);
  if (known == nullptr) {
    log_.Write(event_id::kMemberJoined, {{"node", heard.node}, {"peer", ToString(heard.peer)}});
  } else if (known->peer != heard.peer) {
    log_.Write(event_id::kAddressChanged, {{"node", heard.node}, {"peer", ToString(heard.peer)}});
  }
  directory_.OnAnnouncement(heard);
}

void membership::SendTo(const std::string& node, const control_envelope& envelope) {
  const announcement* known = directory_.Find(node);
  if (known != nullptr) return SendBytes(known->peer, EncodeControl(envelope));
  if (const auto address = ParseSocketAddress(node)) {
    SendBytes(*address, EncodeControl(envelope));
  }
}

void membership::SendBytes(const socket_address& address, const std::string& bytes) {
  if (bytes.size() <= kMaxDatagram) return datagrams_.Send(address, bytes);
  ++control_messages_;
  control_bytes_ += bytes.size();
  peers_.SendMessage(boot_clock::now(), address, control_message{bytes});
}

void membership::Announce(instant now) {
  announce_ = false;
  directory_.OnAnnouncement(self_);
  gossip_.Publish(now, {static_cast<uint8_t>(gossip_kind::kAnnouncement), self_.node,
                        NextVersion(last_version_), Encode(self_)});
}

uint64_t membership::NextVersion(uint64_t floor) {
  last_version_ = std::max({floor + 1, last_version_ + 1, WallMillis()});
  return last_version_;
}

void membership::TellMembers(instant now) {
  if (!core_ || members_revision_ == directory_.Revision()) return;
  members_revision_ = directory_.Revision();
  std::vector<member> members;
  for (const announcement* known : directory_.Live()) members.push_back(ToMember(*known));
  core_->OnMembers(now, std::move(members));
  RunActions(now);
}

void membership::FindPeers(instant now) {
  next_search_ = now + kSearchInterval;
  if (directory_.Live().size() > 1) return;
  table_.ReadPrefix(kNodePrefix, [this](const result<std::vector<table_row>>& rows) {
    if (!rows) return;
    for (const table_row& row : *rows) {
      const auto parsed = nlohmann::json::parse(row.value, nullptr, false);
      if (!parsed.is_object() || !parsed.contains("address")) continue;
      if (!parsed["address"].is_string()) continue;
      const auto address = ParseSocketAddress(parsed["address"].get<std::string>());
      if (!address || std::ranges::find(seeds_, *address) != seeds_.end()) continue;
      seeds_.push_back(*address);
    }
  });
}

}  // namespace bulrushway
