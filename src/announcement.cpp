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

// Runs travel as one flat list of numbers, which is shorter than a list of lists.
auto ClaimFields(auto& c, auto& numbers) {
  return std::tie(c.node, c.service, c.first_term, c.part, numbers);
}

auto Fields(auto& p, const poison_entry&) {
  return std::tie(p.fingerprint, p.crashes, p.release, p.remaining, p.home_regions);
}

constexpr size_t kNumbersPerRun = 3;

std::string PackFields(const auto& fields) {
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  msgpack_fields::Pack(packer, fields);
  return {buffer.data(), buffer.size()};
}

// Calls `read` with the parsed payload; what msgpack throws at damage becomes an error.
template <class Value>
result<Value> Decode(const std::string& bytes, const char* step, const auto& read) {
  try {
    const msgpack::object_handle handle = msgpack_fields::Parse(bytes);
    return read(handle.get());
  } catch (const std::exception& broken) {
    return Failure(error_kind::kPeer, step, "",
                   std::string("The payload is damaged: ") + broken.what() + ".");
  }
}

}  // namespace

std::vector<ownership_claim> MakeClaims(const std::string& node, const std::string& service,
                                        uint64_t first_term,
                                        const std::vector<std::pair<uint32_t, uint64_t>>& slices,
                                        size_t least_parts) {
  std::vector<ownership_claim> claims;
  const auto add = [&] {
    const auto part = static_cast<uint32_t>(claims.size());
    claims.push_back({node, service, first_term, part, {}});
  };
  add();
  for (const auto& [slice, epoch] : slices) {
    auto* runs = &claims.back().runs;
    const bool extends = !runs->empty() && runs->back().epoch == epoch &&
                         runs->back().first + runs->back().count == slice;
    if (extends) {
      ++runs->back().count;
      continue;
    }
    if (runs->size() == kRunsPerClaim) {
      add();
      runs = &claims.back().runs;
    }
    runs->push_back({slice, 1, epoch});
  }
  while (claims.size() < least_parts) add();
  return claims;
}

std::string Encode(const announcement& value) { return PackFields(Fields(value, value)); }

std::string Encode(const poison_entry& value) { return PackFields(Fields(value, value)); }

result<poison_entry> DecodePoison(const std::string& bytes) {
  return Decode<poison_entry>(bytes, "decode quarantine", [](const msgpack::object& from) {
    poison_entry value;
    msgpack_fields::Unpack(from, Fields(value, value));
    return value;
  });
}

std::string Encode(const ownership_claim& value) {
  std::vector<uint64_t> numbers;
  for (const slice_run& run : value.runs) {
    numbers.insert(numbers.end(), {run.first, run.count, run.epoch});
  }
  return PackFields(ClaimFields(value, numbers));
}

result<announcement> DecodeAnnouncement(const std::string& bytes) {
  return Decode<announcement>(bytes, "decode announcement", [](const msgpack::object& from) {
    announcement value;
    msgpack_fields::Unpack(from, Fields(value, value));
    return value;
  });
}

result<ownership_claim> DecodeClaim(const std::string& bytes) {
  return Decode<ownership_claim>(bytes, "decode claim", [](const msgpack::object& from) {
    ownership_claim value;
    std::vector<uint64_t> numbers;
    msgpack_fields::Unpack(from, ClaimFields(value, numbers));
    for (size_t i = 0; i + kNumbersPerRun <= numbers.size(); i += kNumbersPerRun) {
      const slice_run run{static_cast<uint32_t>(numbers[i]), static_cast<uint32_t>(numbers[i + 1]),
                          numbers[i + 2]};
      if (run.first >= kMostSlices || run.count > kMostSlices) throw msgpack::type_error();
      value.runs.push_back(run);
    }
    return value;
  });
}

}  // namespace bulrushway
