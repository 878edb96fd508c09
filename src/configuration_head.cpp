#include "configuration_head.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>

#include "json_text.h"
#include "quantity.h"

namespace bulrushway {
namespace {

using json = nlohmann::json;

constexpr size_t kHashDigits = 32;
// The last second of the year 9999, in Unix time.
constexpr uint64_t kLatestTime = 253'402'300'799;

bool HasString(const json& value, const char* key) {
  return value.contains(key) && value[key].is_string();
}

bool HasNumber(const json& value, const char* key) {
  return value.contains(key) && value[key].is_number_unsigned();
}

bool HasHash(const json& value, const char* key) {
  if (!HasString(value, key)) return false;
  const auto& text = value[key].get_ref<const std::string&>();
  return text.size() == kHashDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool HasAllFields(const json& value) {
  return HasNumber(value, "base_version") && HasHash(value, "inventory") &&
         HasHash(value, "rules") && HasString(value, "author") && HasString(value, "note") &&
         HasString(value, "operation") && HasNumber(value, "time") &&
         value["time"].get<uint64_t>() <= kLatestTime;
}

}  // namespace

std::string Encode(const configuration_head& head) {
  const json value = {{"format", head.format},
                      {"version", head.version},
                      {"base_version", head.base_version},
                      {"inventory", head.inventory_hash},
                      {"rules", head.rules_hash},
                      {"author", head.author},
                      {"note", head.note},
                      {"operation", head.operation},
                      {"time", static_cast<uint64_t>(head.time.time_since_epoch().count())}};
  return ToJsonText(value);
}

result<configuration_head> DecodeHead(std::string_view bytes, std::string_view peer) {
  const json value = json::parse(bytes, nullptr, false);
  const auto malformed = [&] {
    return Failure(
        error_kind::kPeer, "read configuration head", std::string(peer),
        "The bytes '" + std::string(bytes.substr(0, 80)) + "' are not a valid configuration head.");
  };
  if (!value.is_object() || !HasNumber(value, "format") || !HasNumber(value, "version")) {
    return malformed();
  }
  configuration_head head;
  constexpr uint64_t kMaxFormat = std::numeric_limits<uint32_t>::max();
  head.format = static_cast<uint32_t>(std::min(value["format"].get<uint64_t>(), kMaxFormat));
  head.version = value["version"];
  if (head.version == 0 || head.format == 0) return malformed();
  if (head.format > kHeadFormat) return head;
  if (!HasAllFields(value)) return malformed();
  head.base_version = value["base_version"];
  head.inventory_hash = value["inventory"];
  head.rules_hash = value["rules"];
  head.author = value["author"];
  head.note = value["note"];
  head.operation = value["operation"];
  head.time = std::chrono::sys_seconds(std::chrono::seconds(value["time"].get<int64_t>()));
  return head;
}

std::string HistoryKey(uint64_t version) {
  std::array<char, 32> digits{};
  std::snprintf(digits.data(), digits.size(), "%012llu", static_cast<unsigned long long>(version));
  return std::string(kHistoryPrefix) + digits.data();
}

std::string HashDocument(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  std::array<char, kHashDigits + 1> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return digits.data();
}

std::string DocumentName(std::string_view hash) {
  return std::string(kDocumentPrefix) + std::string(hash);
}

std::string Describe(const configuration_head& head) {
  std::string text = "version " + std::to_string(head.version) + " of " + FormatTime(head.time) +
                     " by " + head.author;
  if (!head.note.empty()) text += " (" + head.note + ")";
  return text;
}

}  // namespace bulrushway
