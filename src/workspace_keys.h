#ifndef BULRUSHWAY_WORKSPACE_KEYS_H
#define BULRUSHWAY_WORKSPACE_KEYS_H

// Finds the workspace of a caller by its API key. The time of a lookup depends neither on the
// number of keys nor on where a wrong key differs from a valid one.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "error.h"
#include "http_message.h"
#include "workspace.h"

namespace bulrushway {

/// Index of the keys of a list of workspaces.
class workspace_keys {
 public:
  workspace_keys() = default;
  explicit workspace_keys(const std::vector<workspace>& workspaces);

  /// Position of the workspace that has the key, in the list that the index was made from.
  std::optional<size_t> Find(const std::vector<workspace>& workspaces, std::string_view key) const;

 private:
  struct entry {
    size_t workspace = 0;
    size_t key = 0;
  };
  std::unordered_multimap<uint64_t, entry> entries_;
};

/// Returns an error that names the workspaces if a key is empty or belongs to two of them.
result<void> CheckWorkspaceKeys(const std::vector<workspace>& workspaces);

/// The key in `Authorization: Bearer KEY`; empty when the header is missing, repeated, of another
/// scheme or without a key.
std::string_view BearerKey(const header_list& headers);

/// Removes all headers that carry credentials.
void RemoveCredentials(header_list& headers);

}  // namespace bulrushway

#endif  // BULRUSHWAY_WORKSPACE_KEYS_H
