#include "workspace_keys.h"

#include <xxhash.h>

#include <map>
#include <random>

#include "http_parser.h"

namespace bulrushway {
namespace {

constexpr std::string_view kHeader = "Authorization";
constexpr std::string_view kScheme = "Bearer ";

// Differs in each process, so that callers cannot choose keys with the same hash.
uint64_t HashSecret() {
  static const uint64_t secret = [] {
    std::random_device device;
    constexpr int kHalf = 32;
    return (uint64_t{device()} << kHalf) | device();
  }();
  return secret;
}

uint64_t HashOf(std::string_view key) {
  return XXH3_64bits_withSeed(key.data(), key.size(), HashSecret());
}

// Compares in a time that depends on the lengths only.
bool EqualKeys(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  unsigned difference = 0;
  for (size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace

workspace_keys::workspace_keys(const std::vector<workspace>& workspaces) {
  for (size_t i = 0; i < workspaces.size(); ++i) {
    for (size_t k = 0; k < workspaces[i].api_keys.size(); ++k) {
      entries_.emplace(HashOf(workspaces[i].api_keys[k]), entry{i, k});
    }
  }
}

std::optional<size_t> workspace_keys::Find(const std::vector<workspace>& workspaces,
                                           std::string_view key) const {
  const auto [begin, end] = entries_.equal_range(HashOf(key));
  for (auto it = begin; it != end; ++it) {
    const entry& candidate = it->second;
    if (EqualKeys(workspaces[candidate.workspace].api_keys[candidate.key], key)) {
      return candidate.workspace;
    }
  }
  return std::nullopt;
}

result<void> CheckWorkspaceKeys(const std::vector<workspace>& workspaces) {
  const auto failure = [](const std::string& what) {
    return Failure(error_kind::kUser, "read workspaces", "operators' table", what);
  };
  std::map<std::string_view, std::string_view> owners;
  for (const workspace& entry : workspaces) {
    for (const std::string& key : entry.api_keys) {
      if (key.empty()) return failure("The workspace '" + entry.name + "' has an empty key.");
      const auto [owner, added] = owners.emplace(key, entry.name);
      if (added || owner->second == entry.name) continue;
      return failure("The workspaces '" + std::string(owner->second) + "' and '" + entry.name +
                     "' have the same key.");
    }
  }
  return {};
}

std::string_view BearerKey(const header_list& headers) {
  std::string_view key;
  bool found = false;
  for (const auto& [name, value] : headers) {
    if (!EqualIgnoringCase(name, kHeader)) continue;
    if (found) return {};
    found = true;
    const std::string_view text = value;
    if (!EqualIgnoringCase(text.substr(0, kScheme.size()), kScheme)) continue;
    key = text.substr(kScheme.size());
    const size_t start = key.find_first_not_of(' ');
    key = start == std::string_view::npos ? std::string_view{} : key.substr(start);
    key = key.substr(0, key.find_last_not_of(" \t") + 1);
  }
  return key;
}

void RemoveCredentials(header_list& headers) {
  std::erase_if(headers,
                [](const auto& header) { return EqualIgnoringCase(header.first, kHeader); });
}

}  // namespace bulrushway
