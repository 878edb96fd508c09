#ifndef BULRUSHWAY_OWNER_HINTS_H
#define BULRUSHWAY_OWNER_HINTS_H

// Owners of keys as gates have named them since the map of owners came last. It answers the load of
// a fleet whose keys move while processes hear of it one by one: the former owner knows the new one
// at once, and the next request for the key goes there without waiting for the feed.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bulrushway {

class owner_hints {
 public:
  /// A gate named the owner of a key that it does not own itself. Returns whether that node is
  /// worth asking now: one that was asked already has named another, and the map has to tell who is
  /// right.
  bool Add(const std::string& service, uint32_t key, const std::string& owner,
           const std::vector<std::string>& tried) {
    if (owner.empty() || std::find(tried.begin(), tried.end(), owner) != tried.end()) return false;
    owners_[{service, key}] = owner;
    return true;
  }
  /// The owner named; empty when none was.
  std::string Find(const std::string& service, uint32_t key) const {
    const auto found = owners_.find({service, key});
    return found == owners_.end() ? std::string{} : found->second;
  }
  /// A newer map of owners has come.
  void Clear() { owners_.clear(); }

 private:
  std::map<std::pair<std::string, uint32_t>, std::string> owners_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_OWNER_HINTS_H
