#ifndef BULRUSHWAY_PEER_REQUEST_MAP_H
#define BULRUSHWAY_PEER_REQUEST_MAP_H

// Tracks the requests that this process executes for peers, by session and by the request id
// that the peer assigned in that session.

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "peer_sessions.h"

namespace bulrushway {

/// Identifies a peer's request: the session and the peer's request id.
using peer_request_key = std::pair<session_id, uint64_t>;

/// Maps the peers' requests in flight to local tickets.
template <class Ticket>
class peer_request_map {
 public:
  void Add(const peer_request_key& key, Ticket ticket) { tickets_[key] = ticket; }
  void Remove(const peer_request_key& key) { tickets_.erase(key); }

  /// Ticket of the request; nullopt if it is not in flight.
  std::optional<Ticket> Find(const peer_request_key& key) const {
    const auto found = tickets_.find(key);
    if (found == tickets_.end()) return std::nullopt;
    return found->second;
  }

  /// Removes the request and returns its ticket; nullopt if it is not in flight.
  std::optional<Ticket> Take(const peer_request_key& key) {
    const auto found = tickets_.find(key);
    if (found == tickets_.end()) return std::nullopt;
    const Ticket ticket = found->second;
    tickets_.erase(found);
    return ticket;
  }

  /// Removes all requests of a session and returns their tickets.
  std::vector<Ticket> TakeAll(session_id from) {
    std::vector<Ticket> taken;
    const auto first = tickets_.lower_bound({from, 0});
    auto last = first;
    for (; last != tickets_.end() && last->first.first == from; ++last) {
      taken.push_back(last->second);
    }
    tickets_.erase(first, last);
    return taken;
  }

 private:
  std::map<peer_request_key, Ticket> tickets_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_PEER_REQUEST_MAP_H
