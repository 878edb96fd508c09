#ifndef BULRUSHWAY_OWNER_HINTS_H
#define BULRUSHWAY_OWNER_HINTS_H

// Owners of keys that gates have named since the last update of the ownership map. While keys move,
// processes receive the new map one by one, but the former owner knows the new one at once: with
// its hint the next request for the key goes to the new owner before the map arrives.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bulrushway {

class owner_hints {
 public:
  /// Adds the owner of a key as named by a gate that does not own the key. Returns whether to send
  /// the request there: a node in `tried` has already refused it, so that gates contradict each
  /// other and the map has to decide.
  bool Add(const std::string& service, uint32_t key, const std::string& owner,
           const std::vector<std::string>& tried) {
    if (owner.empty() || std::find(tried.begin(), tried.end(), owner) != tried.end()) return false;
    owners_[{service, key}] = owner;
    return true;
  }
  /// Owner that a gate has named; empty when there is none.
  std::string Find(const std::string& service, uint32_t key) const {
    const auto found = owners_.find({service, key});
    return found == owners_.end() ? std::string{} : found->second;
  }
  /// Drops all hints, since a newer ownership map has arrived.
  void Clear() { owners_.clear(); }

 private:
  std::map<std::pair<std::string, uint32_t>, std::string> owners_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_OWNER_HINTS_H
