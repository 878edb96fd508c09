#include "announcement.h"

#include <algorithm>

#include "msgpack_fields.h"

namespace bulrushway {

static auto Fields(auto& a, const announcement&) {
  return std::tie(a.node, a.process, a.service, a.region, a.data_centre, a.rack, a.peer.ip,
                  a.peer.port, a.http.ip, a.http.port, a.weight, a.slots, a.term, a.first_term,
                  a.witnesses, a.slices, a.partition_slices, a.configuration_version, a.owns_keys,
                  a.target_up, a.leaving);
}

static auto Fields(auto& r, const slice_run&) { return std::tie(r.first, r.count, r.epoch); }

static auto Fields(auto& c, const ownership_claim&) {
  return std::tie(c.node, c.service, c.first_term, c.part, c.runs);
}

static auto Fields(auto& c, const crash_sighting&) { return std::tie(c.crash, c.alone); }

static auto Fields(auto& p, const poison_entry&) {
  return std::tie(p.fingerprint, p.crashes, p.release, p.remaining, p.home_regions);
}

namespace {

// What msgpack throws at damage becomes an error.
template <class Value>
result<Value> Decode(const std::string& bytes, const char* step) {
  try {
    const msgpack::object_handle handle = msgpack_fields::Parse(bytes);
    Value value;
    msgpack_fields::Read(handle.get(), value);
    return value;
  } catch (const std::exception& broken) {
    return Failure(error_kind::kPeer, step, "",
                   std::string("The payload is damaged: ") + broken.what() + ".");
  }
}

bool InRange(const slice_run& run) { return run.first < kMostSlices && run.count <= kMostSlices; }

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

std::string Encode(const announcement& value) { return msgpack_fields::WriteAll(value); }

std::string Encode(const ownership_claim& value) { return msgpack_fields::WriteAll(value); }

std::string Encode(const poison_entry& value) { return msgpack_fields::WriteAll(value); }

result<announcement> DecodeAnnouncement(const std::string& bytes) {
  return Decode<announcement>(bytes, "decode announcement");
}

result<ownership_claim> DecodeClaim(const std::string& bytes) {
  auto claim = Decode<ownership_claim>(bytes, "decode claim");
  if (claim && !std::ranges::all_of(claim->runs, InRange)) {
    return Failure(error_kind::kPeer, "decode claim", claim->node,
                   "The claim names slices beyond " + std::to_string(kMostSlices) + ".");
  }
  return claim;
}

result<poison_entry> DecodePoison(const std::string& bytes) {
  return Decode<poison_entry>(bytes, "decode quarantine");
}

}  // namespace bulrushway
