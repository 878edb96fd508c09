#include "peer_codec.h"

#include <array>

#include "msgpack_fields.h"

namespace bulrushway {

static auto Fields(auto& m, const cancel_request&) { return std::tie(m.id); }

static auto Fields(auto& m, const configuration_notice&) { return std::tie(m.head); }

static auto Fields(auto& m, const document_request&) { return std::tie(m.hash); }

static auto Fields(auto& m, const document_answer&) { return std::tie(m.hash, m.found, m.bytes); }

static auto Fields(auto& m, const freshness_request&) { return std::tie(m.sequence); }

static auto Fields(auto& m, const freshness_answer&) {
  return std::tie(m.sequence, m.version, m.age);
}

static auto Fields(auto& i, const request_identity&) { return std::tie(i.high, i.low); }

static auto Fields(auto& r, const remembered_request&) {
  return std::tie(r.identity, r.fingerprint, r.state, r.age, r.first_sent, r.answer);
}

static auto Fields(auto& m, const slice_memory_export&) {
  return std::tie(m.watermark, m.requests);
}

static auto Fields(auto& m, const slice_memory_request&) { return std::tie(m.slices); }

static auto Fields(auto& m, const slice_memory_answer&) {
  return std::tie(m.slice, m.found, m.memory);
}

static auto Fields(auto& m, const target_incarnation&) { return std::tie(m.id, m.started_ms); }

static auto Fields(auto& m, const target_report&) {
  return std::tie(m.incarnation, m.service, m.accepting, m.leaving, m.evacuated, m.cold, m.slots,
                  m.running, m.waiting, m.usual_work, m.slowness_percent, m.body_wait, m.link_time,
                  m.pace_percent, m.key_request_millirate, m.cold_rate, m.limit_millirate,
                  m.limit_wait);
}

static auto Fields(auto& m, const node_report&) {
  return std::tie(m.node, m.data_centre, m.region, m.process, m.sequence, m.stopping, m.leased,
                  m.configuration_version, m.follows_store, m.store_era, m.store_era_age,
                  m.table_changes, m.target);
}

static auto Fields(auto& m, const node_report_ack&) { return std::tie(m.sequence, m.node); }

static auto Fields(auto& m, const dispatch_request&) {
  return std::tie(m.id, m.request_id, m.caller, m.service, m.route, m.relay_to, m.key, m.key_name,
                  m.slice, m.tenant, m.idempotency_key, m.caller_attempt, m.first_sent,
                  m.idempotent, m.large_answer, m.rank, m.home_regions, m.time_left,
                  m.latency_target_left, m.max_queue_wait, m.expected_work, m.separate_body_bytes,
                  m.request.method, m.request.target, m.request.headers, m.request.body);
}

static auto Fields(auto& m, const dispatch_answer&) {
  return std::tie(m.id, m.reason, m.state, m.sent_to_target, m.retry_after, m.owner, m.work,
                  m.target, m.answer.status, m.answer.headers, m.answer.body);
}

static auto Fields(auto& m, const crash_record&) { return std::tie(m.crash_id, m.alone); }

static auto Fields(auto& m, const poison_entry&) {
  return std::tie(m.fingerprint, m.crashes, m.release_count, m.remaining, m.home_regions);
}

static auto Fields(auto& m, const poison_notice&) { return std::tie(m.entries); }

static auto Fields(auto& m, const key_map_change&) {
  return std::tie(m.space, m.base_version, m.version, m.delta, m.pass_on);
}

static auto Fields(auto& m, const body_permit&) { return std::tie(m.id); }

static auto Fields(auto& m, const row_key&) { return std::tie(m.table, m.key); }

static auto Fields(auto& m, const stored_row&) {
  return std::tie(m.id, m.value, m.version, m.deleted);
}

static auto Fields(auto& m, const table_changes_notice&) {
  return std::tie(m.table, m.after, m.version, m.rows);
}

static auto Fields(auto& m, const configuration_row_request&) {
  return std::tie(m.node, m.newer_than);
}

static auto Fields(auto& m, const configuration_row_answer&) {
  return std::tie(m.node, m.found, m.row);
}

static auto Fields(auto& m, const resumed_request&) { return std::tie(m.id, m.generation); }

static auto Fields(auto& m, const link_hello&) {
  return std::tie(m.to, m.origin, m.purpose, m.generation, m.resumed);
}

static auto Fields(auto& m, const link_resumed&) { return std::tie(m.unseen, m.unknown); }

static auto Fields(auto& m, const link_probe&) { return std::tie(m.id); }

static auto Fields(auto& m, const link_receipt&) { return std::tie(m.id); }

static auto Fields(auto& m, const peer_suspicion&) { return std::tie(m.node, m.pass_on); }

static auto Fields(auto& m, const quota_request&) {
  return std::tie(m.node, m.id, m.workspace, m.part, m.tokens);
}

static auto Fields(auto& m, const quota_answer&) {
  return std::tie(m.node, m.id, m.workspace, m.tokens, m.wait);
}

static auto Fields(auto& m, const request_body&) { return std::tie(m.id, m.bytes); }

static constexpr auto HighestOf(remembered_state) { return remembered_state::kUnknown; }

static constexpr auto HighestOf(refusal_reason) {
  return static_cast<refusal_reason>(static_cast<int>(refusal_reason::kCount) - 1);
}

static constexpr auto HighestOf(run_state) { return run_state::kUnknown; }

namespace {

template <size_t Index = 0>
peer_message ReadAny(uint32_t type, const msgpack::object& from) {
  if constexpr (Index == std::variant_size_v<peer_message>) {
    throw msgpack::type_error();
  } else {
    if (type != Index) return ReadAny<Index + 1>(type, from);
    std::variant_alternative_t<Index, peer_message> message;
    msgpack_fields::Read(from, message);
    return message;
  }
}

}  // namespace

namespace {

// The output of a packer.
struct string_stream {
  void write(const char* bytes, size_t count) { text.append(bytes, count); }
  std::string text;
};

size_t BodyBytes(const dispatch_request& message) { return message.request.body.size(); }
size_t BodyBytes(const dispatch_answer& message) { return message.answer.body.size(); }
size_t BodyBytes(const request_body& message) { return message.bytes.size(); }
size_t BodyBytes(const auto&) { return 0; }

template <class Message>
std::string EncodeMessage(const Message& message) {
  // Room for the other fields. A string that grows beyond its reserve would copy the body.
  constexpr size_t kReserve = 4 << 10;
  string_stream stream;
  const size_t body = BodyBytes(message);
  if (body > 0) stream.text.reserve(body + kReserve);
  stream.write("\0\0\0\0", kFrameHeaderSize);
  msgpack::packer packer(stream);
  packer.pack_array(3);
  packer.pack(kPeerProtocolVersion);
  packer.pack(TypeOf<Message>());
  msgpack_fields::Write(packer, message);
  std::string frame = std::move(stream.text);
  const size_t length = frame.size() - kFrameHeaderSize;
  for (size_t i = 0; i < kFrameHeaderSize; ++i) {
    frame[i] = static_cast<char>((length >> (8 * (kFrameHeaderSize - 1 - i))) & 0xff);
  }
  return frame;
}

// Stops at the first field of the message.
struct start_reader : msgpack::null_visitor {
  bool visit_positive_integer(uint64_t number) {
    numbers[count++] = number;
    return count < std::size(numbers);
  }
  // Version, type and id.
  uint64_t numbers[3] = {};
  size_t count = 0;
};

}  // namespace

std::string EncodeFrame(const peer_message& message) {
  return std::visit([](const auto& m) { return EncodeMessage(m); }, message);
}

std::string EncodeFrame(const dispatch_request& message) { return EncodeMessage(message); }
std::string EncodeFrame(const dispatch_answer& message) { return EncodeMessage(message); }
std::string EncodeFrame(const request_body& message) { return EncodeMessage(message); }

std::optional<frame_start> DecodeStart(std::string_view bytes) {
  // An array of version, type and fields; the fields are an array.
  start_reader reader;
  size_t offset = 0;
  msgpack::parse(bytes.data(), bytes.size(), offset, reader);
  if (reader.count != std::size(reader.numbers) || reader.numbers[0] != kPeerProtocolVersion) {
    return std::nullopt;
  }
  return frame_start{reader.numbers[1], reader.numbers[2]};
}

result<size_t> FrameLength(std::string_view bytes, const std::string& peer) {
  size_t length = 0;
  for (size_t i = 0; i < kFrameHeaderSize; ++i) {
    length = length << 8 | static_cast<uint8_t>(bytes[i]);
  }
  if (length <= kMaxFrameSize) return length;
  return Failure(error_kind::kPeer, "read frame", peer,
                 "A frame of " + std::to_string(length) + " bytes is longer than the limit of " +
                     std::to_string(kMaxFrameSize) + ".");
}

result<peer_message> DecodeFrame(std::string_view body, const std::string& peer) {
  const auto fail = [&peer](const std::string& why) {
    return Failure(error_kind::kPeer, "decode frame", peer, why);
  };
  try {
    const msgpack::object_handle handle = msgpack_fields::Parse(body);
    const msgpack::object& frame = handle.get();
    if (frame.type != msgpack::type::ARRAY || frame.via.array.size != 3) {
      return fail("The frame is not an array of version, type and fields.");
    }
    const auto version = frame.via.array.ptr[0].as<uint32_t>();
    if (version != kPeerProtocolVersion) {
      return fail("The frame has protocol version " + std::to_string(version) +
                  "; this program supports " + std::to_string(kPeerProtocolVersion) + ".");
    }
    const auto type = frame.via.array.ptr[1].as<uint32_t>();
    if (type >= std::variant_size_v<peer_message>) {
      return fail("The frame has the unknown message type " + std::to_string(type) + ".");
    }
    return ReadAny(type, frame.via.array.ptr[2]);
  } catch (const std::exception& broken) {
    return fail(std::string("The frame of ") + std::to_string(body.size()) +
                " bytes is not a complete message: " + broken.what() + ".");
  }
}

}  // namespace bulrushway
