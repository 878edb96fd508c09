#include "announcement.h"

#include <algorithm>

#include "msgpack_fields.h"

namespace bulrushway {
namespace {

auto Fields(auto& a, const announcement&) {
  return std::tie(a.node, a.process, a.service, a.region, a.data_centre, a.rack, a.peer.ip,
                  a.peer.port, a.http.ip, a.http.port, a.weight, a.slots, a.term, a.first_term,
                  a.witnesses, a.slices, a.configuration_version, a.target_up, a.leaving);
}

auto Fields(auto& c, const ownership_claim&) {
  return std::tie(c.node, c.service, c.term, c.part, c.slices);
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
    const msgpack::object_handle handle = msgpack_fields::Parse(bytes);
    Value value;
    msgpack_fields::Unpack(handle.get(), Fields(value, value));
    return value;
  } catch (const std::exception& broken) {
    return Failure(error_kind::kPeer, step, "",
                   std::string("The payload is damaged: ") + broken.what() + ".");
  }
}

}  // namespace

std::vector<ownership_claim> MakeClaims(const std::string& node, const std::string& service,
                                        uint64_t term,
                                        const std::vector<std::pair<uint32_t, uint64_t>>& slices,
                                        size_t least_parts) {
  const size_t needed = (slices.size() + kSlicesPerClaim - 1) / kSlicesPerClaim;
  std::vector<ownership_claim> claims;
  for (size_t part = 0; part < std::max({needed, least_parts, size_t{1}}); ++part) {
    ownership_claim claim{node, service, term, static_cast<uint32_t>(part), {}};
    const size_t first = std::min(part * kSlicesPerClaim, slices.size());
    const size_t last = std::min(first + kSlicesPerClaim, slices.size());
    claim.slices.assign(slices.begin() + static_cast<ptrdiff_t>(first),
                        slices.begin() + static_cast<ptrdiff_t>(last));
    claims.push_back(std::move(claim));
  }
  return claims;
}

std::string Encode(const announcement& value) { return EncodeValue(value); }

std::string Encode(const ownership_claim& value) { return EncodeValue(value); }

result<announcement> DecodeAnnouncement(const std::string& bytes) {
  return DecodeValue<announcement>(bytes, "decode announcement");
}

result<ownership_claim> DecodeClaim(const std::string& bytes) {
  return DecodeValue<ownership_claim>(bytes, "decode claim");
}

}  // namespace bulrushway
