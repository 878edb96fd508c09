// Rows and frames in the format of peers, from another writer: declared sizes beyond the bytes that
// follow, deep nesting, and addresses out of range.

#include <sys/resource.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "fleet_view.h"
#include "key_map.h"
#include "peer_codec.h"
#include "process_lease.h"

namespace bulrushway {
namespace {

constexpr size_t kMegabyte = 1 << 20;

int64_t PeakMemory() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr int64_t kBytesPerKilobyte = 1024;
  return usage.ru_maxrss * kBytesPerKilobyte;
}

// Start of an array of 32-bit length.
std::string ArrayOf(uint32_t elements) {
  std::string start = "\xdd";
  for (int shift = 24; shift >= 0; shift -= 8) {
    start += static_cast<char>(elements >> shift & 0xff);
  }
  return start;
}

bool Decodes(const std::string& bytes) {
  return DecodeFrame(bytes, "test").has_value() || DecodeMember(bytes).has_value() ||
         DecodeKeyMap(bytes).has_value() || DecodeLease(bytes).has_value() ||
         DecodeDelta(bytes).has_value();
}

member_record Member(const socket_address& address) {
  return {"b", address, "dc", "r", "lookup", 7};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_frames)

BOOST_AUTO_TEST_CASE(cost_memory_in_proportion_to_their_bytes) {
  // Each array declares as many elements as there are bytes, and the first is such an array again.
  std::string nested;
  for (int i = 0; i < 15; ++i) nested += ArrayOf(kMegabyte - 100);
  nested += std::string(kMegabyte - nested.size(), '\xc0');
  // A key map with as many ranges as bytes, none of which is one.
  const std::string ranges = "\x92" + ArrayOf(kMegabyte) + std::string(kMegabyte, '\xc0') + "\x01";

  const int64_t before = PeakMemory();
  BOOST_TEST(!DecodeFrame(nested, "test").has_value());
  BOOST_TEST(!DecodeKeyMap(ranges).has_value());
  BOOST_TEST(PeakMemory() - before < static_cast<int64_t>(64 * kMegabyte));
}

BOOST_AUTO_TEST_CASE(may_be_nested_deeply) {
  BOOST_TEST(!Decodes(std::string(kMegabyte, '\x91')));
  BOOST_TEST(!Decodes(std::string(kMegabyte, '\x91') + "\xc0"));
  std::string maps;
  for (size_t i = 0; i < kMegabyte; ++i) maps += "\x81\xc0";
  BOOST_TEST(!Decodes(maps));
}

BOOST_AUTO_TEST_CASE(name_no_member_with_an_address_out_of_range) {
  BOOST_TEST(DecodeMember(EncodeMember(Member({"10.0.0.2", 8080}))).has_value());
  for (const socket_address& address : {socket_address{"10.0.0.2", 0}, socket_address{"", 8080},
                                        socket_address{"10.0.0", 80}, socket_address{"host", 80}}) {
    BOOST_TEST(!DecodeMember(EncodeMember(Member(address))).has_value(), ToString(address));
  }
}

BOOST_AUTO_TEST_CASE(name_no_member_with_a_port_beyond_16_bits) {
  std::string row = EncodeMember(Member({"10.0.0.2", 0x1234}));
  const size_t port = row.find("\xcd\x12\x34");
  BOOST_REQUIRE(port != std::string::npos);
  row.replace(port, 3, std::string("\xce\x00\x01\x12\x34", 5));
  BOOST_TEST(!DecodeMember(row).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bulrushway
