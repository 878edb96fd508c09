#include "announcement.h"

#include "msgpack_fields.h"

namespace bulrushway {
namespace {

auto Fields(auto& a, const announcement&) {
  return std::tie(a.node, a.process, a.service, a.region, a.data_centre, a.rack, a.peer.ip,
                  a.peer.port, a.http.ip, a.http.port, a.weight, a.slots, a.term, a.slices,
                  a.configuration_version, a.target_up, a.leaving);
}

auto Fields(auto& c, const ownership_claim&) {
  return std::tie(c.node, c.service, c.term, c.slices);
}

template <class Value>
std::string EncodeValue(const Value& value) {
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  msgpack_fields::Pack(packer, Fields(value, value));
  return {buffer.data(), buffer.size()};
}

template <class Value>
result<Value> DecodeValue(const std::string& bytes, const char* step) {
  try {
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    Value value;
    msgpack_fields::Unpack(handle.get(), Fields(value, value));
    return value;
  } catch (const std::exception& broken) {
    return Failure(error_kind::kPeer, step, "",
                   std::string("The payload is damaged: ") + broken.what() + ".");
  }
}

}  // namespace

std::string Encode(const announcement& value) { return EncodeValue(value); }

std::string Encode(const ownership_claim& value) { return EncodeValue(value); }

result<announcement> DecodeAnnouncement(const std::string& bytes) {
  return DecodeValue<announcement>(bytes, "decode announcement");
}

result<ownership_claim> DecodeClaim(const std::string& bytes) {
  return DecodeValue<ownership_claim>(bytes, "decode claim");
}

}  // namespace bulrushway
