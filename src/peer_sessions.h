#ifndef BULRUSHWAY_PEER_SESSIONS_H
#define BULRUSHWAY_PEER_SESSIONS_H

// Requests that peers send to this process, across the loss of connections. A session lasts while
// the peer's process replaces its connections for one purpose: answers follow over the latest
// connection, answers that may have been lost are sent again, and a request that has not arrived
// over an earlier connection never will.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "clock.h"
#include "peer_messages.h"
#include "peer_transport.h"

namespace bulrushway {

/// Identifies a session: the id of its first connection. A connection without a link_hello is a
/// session of its own.
using session_id = connection_id;

/// What a connection continues.
struct session_opening {
  /// A later connection has replaced this one, which has to be closed.
  bool outdated = false;
  session_id session = 0;
  /// Connection that is replaced and has to be closed first; 0 if there is none.
  connection_id replaced = 0;
  link_resumed resumed;
  /// Answers to send again.
  std::vector<dispatch_answer> answers;
  /// Requests that the peer does not wait for any more.
  std::vector<uint64_t> abandoned;
};

/// The sessions of all peers.
class peer_sessions {
 public:
  /// A connection has introduced itself.
  session_opening OnHello(instant now, connection_id connection, const link_hello& hello);
  /// Session of a connection.
  session_id SessionOf(connection_id connection) const;
  /// Present connection of a session; 0 while it has none.
  connection_id ConnectionOf(session_id id) const;
  void OnRequest(session_id id, uint64_t request);
  void OnCancelled(session_id id, uint64_t request);
  /// The answer is about to be sent over the present connection.
  void OnAnswer(instant now, session_id id, const dispatch_answer& answer);
  /// A connection was closed. Returns true if its session ends with it.
  bool OnClosed(instant now, connection_id connection);
  /// Sessions whose peer has not come back in time: their requests are to be cancelled.
  std::vector<session_id> Tick(instant now);

 private:
  struct kept_answer {
    instant sent;
    size_t bytes;
    dispatch_answer answer;
  };
  struct session {
    session_id id = 0;
    connection_id connection = 0;
    uint64_t generation = 0;
    // Requests that were sent before may have reached an earlier process at this address.
    uint64_t first_generation = 0;
    uint64_t highest_request = 0;
    std::set<uint64_t> running;
    std::deque<kept_answer> kept;
    instant closed{};
    bool expired = false;
  };
  using session_key = std::pair<uint64_t, uint32_t>;  // origin and purpose

  session* Find(session_id id);
  const session* Find(session_id id) const;
  void Resume(session& resumed, const link_hello& hello, session_opening& opening) const;
  void DropOldAnswers(instant now, session& from);

  std::map<session_key, session> sessions_;
  std::map<session_id, session_key> keys_;
  std::map<connection_id, session_id> connections_;
  size_t kept_bytes_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_PEER_SESSIONS_H
