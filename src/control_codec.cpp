#include "control_codec.h"

#include "msgpack_fields.h"
#include "peer_codec.h"

namespace bulrushway {
namespace {

// Body type of a gossip message; ownership messages follow with their index in the variant.
constexpr uint32_t kGossipBody = 0;

auto Fields(auto& m, const gossip_item&) { return std::tie(m.kind, m.key, m.version, m.payload); }
auto Fields(auto& m, const term_id&) { return std::tie(m.node, m.number); }
auto Fields(auto& m, const slice_epoch&) { return std::tie(m.slice, m.epoch); }
auto Fields(auto& m, const heir&) { return std::tie(m.term, m.region, m.witnesses); }
auto Fields(auto& m, const slice_gift&) { return std::tie(m.slice, m.receiver); }
auto Fields(auto& m, const term_record&) {
  return std::tie(m.id, m.service, m.region, m.slices, m.witnesses, m.heirs, m.gifts, m.predecessor,
                  m.predecessor_witnesses, m.first_number);
}
auto Fields(auto& m, const renew_request&) {
  return std::tie(m.term, m.sequence, m.witness_process, m.active, m.record);
}
auto Fields(auto& m, const renew_answer&) {
  return std::tie(m.term, m.sequence, m.witness_process, m.status);
}
auto Fields(auto& m, const supersede_request&) {
  return std::tie(m.term, m.sequence, m.witness_process, m.next);
}
auto Fields(auto& m, const supersede_answer&) {
  return std::tie(m.term, m.sequence, m.witness_process, m.status);
}
auto Fields(auto& m, const attest_request&) {
  return std::tie(m.round, m.term, m.ballot, m.no_successor_recorded);
}
auto Fields(auto& m, const attest_answer&) {
  return std::tie(m.round, m.term, m.witness_process, m.status, m.accepted, m.ballot, m.next,
                  m.active, m.record);
}
auto Fields(auto& m, const accept_request&) {
  return std::tie(m.round, m.term, m.witness_process, m.ballot, m.outcome, m.next);
}
auto Fields(auto& m, const accept_answer&) { return std::tie(m.round, m.term, m.accepted); }
auto Fields(auto& m, const outcome_notice&) { return std::tie(m.term, m.outcome, m.next); }
auto Fields(auto& m, const lapse_notice&) { return std::tie(m.record, m.active); }
auto Fields(auto& m, const lapse_answer&) { return std::tie(m.term); }
auto Fields(auto& m, const release_notice&) { return std::tie(m.record, m.released); }
auto Fields(auto& m, const taken_notice&) { return std::tie(m.giver, m.slices); }
auto Fields(auto& m, const slices_request&) { return std::tie(m.receiver, m.count); }

// Highest enumerator of each enumeration that travels.
constexpr auto HighestOf(term_outcome) { return term_outcome::kSuperseded; }
constexpr auto HighestOf(renew_status) { return renew_status::kClosed; }
constexpr auto HighestOf(attest_status) { return attest_status::kHigherBallot; }

template <class Value>
concept has_fields = requires(Value& value) {
  Fields(value, value);
};

template <class Packer, class Value>
requires has_fields<const Value>
void Write(Packer& packer, const std::vector<Value>& values);

template <class Packer, class Value>
void Write(Packer& packer, const Value& value) {
  if constexpr (has_fields<const Value>) {
    const auto fields = Fields(value, value);
    packer.pack_array(std::tuple_size_v<decltype(fields)>);
    std::apply([&packer](const auto&... field) { (Write(packer, field), ...); }, fields);
  } else if constexpr (std::is_enum_v<Value>) {
    packer.pack(static_cast<uint32_t>(value));
  } else {
    packer.pack(value);
  }
}

template <class Packer, class Value>
requires has_fields<const Value>
void Write(Packer& packer, const std::vector<Value>& values) {
  packer.pack_array(static_cast<uint32_t>(values.size()));
  for (const Value& value : values) Write(packer, value);
}

template <class Value>
void Read(const msgpack::object& from, Value& value);

template <class Value>
requires has_fields<Value>
void Read(const msgpack::object& from, std::vector<Value>& values) {
  if (from.type != msgpack::type::ARRAY) throw msgpack::type_error();
  values.resize(from.via.array.size);
  for (size_t i = 0; i < values.size(); ++i) Read(from.via.array.ptr[i], values[i]);
}

template <class Value>
void Read(const msgpack::object& from, Value& value) {
  if constexpr (has_fields<Value>) {
    auto fields = Fields(value, value);
    constexpr size_t kCount = std::tuple_size_v<decltype(fields)>;
    if (from.type != msgpack::type::ARRAY) throw msgpack::type_error();
    if (from.via.array.size != kCount) throw msgpack::type_error();
    const msgpack::object* element = from.via.array.ptr;
    std::apply([&element](auto&... field) { (Read(*element++, field), ...); }, fields);
  } else if constexpr (std::is_enum_v<Value>) {
    const auto code = from.as<uint32_t>();
    if (code > static_cast<uint32_t>(HighestOf(Value{}))) throw msgpack::type_error();
    value = static_cast<Value>(code);
  } else {
    from.convert(value);
  }
}

void WriteOptionalHash(auto& packer, const std::optional<uint64_t>& hash) {
  packer.pack_array(hash ? 1 : 0);
  if (hash) packer.pack(*hash);
}

void WriteGossip(auto& packer, const gossip_message& message) {
  packer.pack_array(5);
  Write(packer, message.items);
  WriteOptionalHash(packer, message.root_hash);
  packer.pack(message.bucket_hashes);
  packer.pack(message.wanted_buckets);
  packer.pack(message.repair);
}

gossip_message ReadGossip(const msgpack::object& from) {
  if (from.type != msgpack::type::ARRAY || from.via.array.size != 5) throw msgpack::type_error();
  const msgpack::object* field = from.via.array.ptr;
  gossip_message message;
  Read(field[0], message.items);
  std::vector<uint64_t> hash;
  Read(field[1], hash);
  if (!hash.empty()) message.root_hash = hash.front();
  Read(field[2], message.bucket_hashes);
  Read(field[3], message.wanted_buckets);
  Read(field[4], message.repair);
  return message;
}

template <size_t Index = 0>
ownership_message ReadOwnership(uint32_t type, const msgpack::object& from) {
  if constexpr (Index == std::variant_size_v<ownership_message>) {
    throw msgpack::type_error();
  } else {
    if (type != Index) return ReadOwnership<Index + 1>(type, from);
    std::variant_alternative_t<Index, ownership_message> message;
    Read(from, message);
    return message;
  }
}

}  // namespace

std::string EncodeControl(const control_envelope& envelope) {
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  packer.pack_array(5);
  packer.pack(kPeerProtocolVersion);
  packer.pack(envelope.from);
  packer.pack(envelope.to);
  if (const auto* message = std::get_if<gossip_message>(&envelope.body)) {
    packer.pack(kGossipBody);
    WriteGossip(packer, *message);
  } else {
    const auto& ownership = std::get<ownership_message>(envelope.body);
    packer.pack(static_cast<uint32_t>(ownership.index()) + 1);
    std::visit([&packer](const auto& m) { Write(packer, m); }, ownership);
  }
  return {buffer.data(), buffer.size()};
}

result<control_envelope> DecodeControl(std::string_view bytes, const std::string& peer) {
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
    Read(field[1], envelope.from);
    Read(field[2], envelope.to);
    const auto type = field[3].as<uint32_t>();
    if (type == kGossipBody) {
      envelope.body = ReadGossip(field[4]);
    } else {
      envelope.body = ReadOwnership(type - 1, field[4]);
    }
    return envelope;
  } catch (const std::exception& broken) {
    return fail("The message of " + std::to_string(bytes.size()) +
                " bytes is damaged: " + broken.what() + ".");
  }
}

}  // namespace bulrushway
