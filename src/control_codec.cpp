#include "control_codec.h"

#include <xxhash.h>

#include "msgpack_fields.h"
#include "peer_codec.h"

namespace bulrushway {
static auto Fields(auto& m, const gossip_item&) {
  return std::tie(m.kind, m.key, m.version, m.payload);
}
static auto Fields(auto& m, const gossip_message&) {
  return std::tie(m.items, m.root_hash, m.bucket_hashes, m.wanted_buckets, m.repair);
}
static auto Fields(auto& m, const term_id&) { return std::tie(m.node, m.number); }
static auto Fields(auto& m, const slice_epoch&) { return std::tie(m.slice, m.epoch); }
static auto Fields(auto& m, const heir&) { return std::tie(m.term, m.region, m.witnesses); }
static auto Fields(auto& m, const slice_gift&) { return std::tie(m.slice, m.receiver); }
static auto Fields(auto& m, const term_record&) {
  return std::tie(m.id, m.service, m.region, m.slices, m.witnesses, m.heirs, m.gifts, m.predecessor,
                  m.predecessor_witnesses, m.first_number, m.late_heirs, m.ended_number);
}
static auto Fields(auto& m, const renew_request&) {
  return std::tie(m.term, m.sequence, m.witness_process, m.active, m.record);
}
static auto Fields(auto& m, const renew_answer&) {
  return std::tie(m.term, m.sequence, m.witness_process, m.status);
}
static auto Fields(auto& m, const supersede_request&) {
  return std::tie(m.term, m.sequence, m.witness_process, m.next);
}
static auto Fields(auto& m, const supersede_answer&) {
  return std::tie(m.term, m.sequence, m.witness_process, m.status);
}
static auto Fields(auto& m, const attest_request&) {
  return std::tie(m.round, m.term, m.ballot, m.no_successor_recorded);
}
static auto Fields(auto& m, const attest_answer&) {
  return std::tie(m.round, m.term, m.witness_process, m.status, m.accepted, m.ballot, m.next,
                  m.active, m.record);
}
static auto Fields(auto& m, const accept_request&) {
  return std::tie(m.round, m.term, m.witness_process, m.ballot, m.outcome, m.next);
}
static auto Fields(auto& m, const accept_answer&) { return std::tie(m.round, m.term, m.accepted); }
static auto Fields(auto& m, const outcome_notice&) { return std::tie(m.term, m.outcome, m.next); }
static auto Fields(auto& m, const lapse_notice&) { return std::tie(m.record, m.active); }
static auto Fields(auto& m, const lapse_answer&) { return std::tie(m.term); }
static auto Fields(auto& m, const release_notice&) { return std::tie(m.record, m.released); }
static auto Fields(auto& m, const taken_notice&) { return std::tie(m.giver, m.slices); }
static auto Fields(auto& m, const slices_request&) {
  return std::tie(m.receiver, m.partition_counts);
}

// Highest enumerator of each enumeration that travels.
static constexpr auto HighestOf(term_outcome) { return term_outcome::kSuperseded; }
static constexpr auto HighestOf(renew_status) { return renew_status::kClosed; }
static constexpr auto HighestOf(attest_status) { return attest_status::kHigherBallot; }

namespace {

// Body type of a gossip message; ownership messages follow with their index in the variant.
constexpr uint32_t kGossipBody = 0;

// A renewal is about its sender's term, and the answer about its receiver's: the name is left out.
void DropNames(const control_envelope& envelope, renew_request& message) {
  if (message.term.node == envelope.from) message.term.node.clear();
}
void DropNames(const control_envelope& envelope, renew_answer& message) {
  if (message.term.node == envelope.to) message.term.node.clear();
}
void DropNames(const control_envelope&, auto&) {}

void RestoreNames(const control_envelope& envelope, renew_request& message) {
  if (message.term.node.empty()) message.term.node = envelope.from;
}
void RestoreNames(const control_envelope& envelope, renew_answer& message) {
  if (message.term.node.empty()) message.term.node = envelope.to;
}
void RestoreNames(const control_envelope&, auto&) {}

template <size_t Index = 0>
ownership_message ReadOwnership(uint32_t type, const msgpack::object& from) {
  if constexpr (Index == std::variant_size_v<ownership_message>) {
    throw msgpack::type_error();
  } else {
    if (type != Index) return ReadOwnership<Index + 1>(type, from);
    std::variant_alternative_t<Index, ownership_message> message;
    msgpack_fields::Read(from, message);
    return message;
  }
}

}  // namespace

uint32_t HashOfName(std::string_view name) {
  return static_cast<uint32_t>(XXH3_64bits(name.data(), name.size()));
}

std::string EncodeControl(const control_envelope& envelope) {
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  packer.pack_array(5);
  packer.pack(kPeerProtocolVersion);
  if (const auto* message = std::get_if<gossip_message>(&envelope.body)) {
    packer.pack(envelope.from);
    packer.pack(envelope.to);
    packer.pack(kGossipBody);
    msgpack_fields::Write(packer, *message);
    return {buffer.data(), buffer.size()};
  }
  ownership_message slim = std::get<ownership_message>(envelope.body);
  std::visit([&envelope](auto& m) { DropNames(envelope, m); }, slim);
  packer.pack(HashOfName(envelope.from));
  packer.pack(HashOfName(envelope.to));
  packer.pack(static_cast<uint32_t>(slim.index()) + 1);
  std::visit([&packer](const auto& m) { msgpack_fields::Write(packer, m); }, slim);
  return {buffer.data(), buffer.size()};
}

result<control_envelope> DecodeControl(std::string_view bytes, const std::string& peer,
                                       const name_of_hash& names) {
  const auto fail = [&peer](const std::string& why) {
    return Failure(error_kind::kPeer, "decode control message", peer, why);
  };
  try {
    const msgpack::object_handle handle = msgpack_fields::Parse(bytes);
    const msgpack::object& whole = handle.get();
    if (whole.type != msgpack::type::ARRAY || whole.via.array.size != 5) {
      return fail("The message is not an array of five.");
    }
    const msgpack::object* field = whole.via.array.ptr;
    const auto version = field[0].as<uint32_t>();
    if (version != kPeerProtocolVersion) {
      return fail("The message has protocol version " + std::to_string(version) +
                  "; this program speaks " + std::to_string(kPeerProtocolVersion) + ".");
    }
    control_envelope envelope;
    const auto type = field[3].as<uint32_t>();
    if (type == kGossipBody) {
      msgpack_fields::Read(field[1], envelope.from);
      msgpack_fields::Read(field[2], envelope.to);
      msgpack_fields::Read(field[4], envelope.body.emplace<gossip_message>());
      return envelope;
    }
    envelope.from = names(field[1].as<uint32_t>());
    envelope.to = names(field[2].as<uint32_t>());
    if (envelope.from.empty() || envelope.to.empty()) {
      return fail("The message is from or for a node that is not known here.");
    }
    ownership_message message = ReadOwnership(type - 1, field[4]);
    std::visit([&envelope](auto& m) { RestoreNames(envelope, m); }, message);
    envelope.body = std::move(message);
    return envelope;
  } catch (const std::exception& broken) {
    return fail("The message of " + std::to_string(bytes.size()) +
                " bytes is damaged: " + broken.what() + ".");
  }
}

}  // namespace bulrushway
