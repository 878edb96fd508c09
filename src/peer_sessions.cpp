#include "peer_sessions.h"

#include <algorithm>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Requests of a peer whose connection was closed run on for this long. A process that lost only the
// connection is back within two round trips; the callers of one that was killed are gone.
constexpr milliseconds kReturnTime{400};
// An answer can be asked for again for this long: a peer finds a silent connection out sooner.
constexpr milliseconds kKeepAnswers{2500};
constexpr size_t kMaxKeptAnswer = 128 << 10;
constexpr size_t kMaxKeptBytes = 384 << 10;
// An abandoned connection of a peer delivers nothing any more after this time.
constexpr std::chrono::minutes kForgetSession{10};

size_t SizeOf(const dispatch_answer& answer) {
  size_t bytes = sizeof(dispatch_answer) + answer.answer.body.size();
  for (const auto& [name, value] : answer.answer.headers) bytes += name.size() + value.size();
  return bytes;
}

}  // namespace

peer_sessions::session* peer_sessions::Find(session_id id) {
  return const_cast<session*>(std::as_const(*this).Find(id));
}

const peer_sessions::session* peer_sessions::Find(session_id id) const {
  const auto key = keys_.find(id);
  return key == keys_.end() ? nullptr : &sessions_.at(key->second);
}

session_opening peer_sessions::OnHello(instant now, connection_id connection,
                                       const link_hello& hello) {
  session_opening opening;
  const session_key key{hello.origin, hello.purpose};
  const auto [found, added] = sessions_.try_emplace(key);
  session& opened = found->second;
  opening.outdated = !added && hello.generation <= opened.generation;
  if (opening.outdated) return opening;
  if (added) {
    opened.id = connection;
    opened.first_generation = hello.generation;
    keys_[connection] = key;
  }
  opening.session = opened.id;
  opening.replaced = std::exchange(opened.connection, connection);
  connections_.erase(opening.replaced);
  connections_[connection] = opened.id;
  opened.generation = hello.generation;
  opened.closed = {};
  opened.expired = false;
  DropOldAnswers(now, opened);
  Resume(opened, hello, opening);
  return opening;
}

void peer_sessions::Resume(session& resumed, const link_hello& hello,
                           session_opening& opening) const {
  std::set<uint64_t> wanted;
  for (const resumed_request& request : hello.resumed) {
    wanted.insert(request.id);
    if (resumed.running.contains(request.id)) continue;
    const auto kept = std::find_if(
        resumed.kept.begin(), resumed.kept.end(),
        [&request](const kept_answer& answer) { return answer.answer.id == request.id; });
    if (kept != resumed.kept.end()) {
      opening.answers.push_back(kept->answer);
    } else if (request.generation >= resumed.first_generation &&
               request.id > resumed.highest_request) {
      opening.resumed.unseen.push_back(request.id);
    } else {
      opening.resumed.unknown.push_back(request.id);
    }
  }
  for (const uint64_t request : resumed.running) {
    if (!wanted.contains(request)) opening.abandoned.push_back(request);
  }
}

session_id peer_sessions::SessionOf(connection_id connection) const {
  const auto found = connections_.find(connection);
  return found == connections_.end() ? connection : found->second;
}

connection_id peer_sessions::ConnectionOf(session_id id) const {
  const session* found = Find(id);
  return found == nullptr ? id : found->connection;
}

void peer_sessions::OnRequest(session_id id, uint64_t request) {
  session* found = Find(id);
  if (found == nullptr) return;
  found->running.insert(request);
  found->highest_request = std::max(found->highest_request, request);
}

void peer_sessions::OnCancelled(session_id id, uint64_t request) {
  if (session* found = Find(id)) found->running.erase(request);
}

void peer_sessions::OnAnswer(instant now, session_id id, const dispatch_answer& answer) {
  session* found = Find(id);
  if (found == nullptr || found->running.erase(answer.id) == 0) return;
  DropOldAnswers(now, *found);
  const size_t bytes = SizeOf(answer);
  if (bytes > kMaxKeptAnswer || kept_bytes_ + bytes > kMaxKeptBytes) return;
  found->kept.push_back({now, bytes, answer});
  kept_bytes_ += bytes;
}

void peer_sessions::DropOldAnswers(instant now, session& from) {
  while (!from.kept.empty() && now - from.kept.front().sent > kKeepAnswers) {
    kept_bytes_ -= from.kept.front().bytes;
    from.kept.pop_front();
  }
}

bool peer_sessions::OnClosed(instant now, connection_id connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return true;
  session& closed = *Find(found->second);
  connections_.erase(found);
  closed.connection = 0;
  closed.closed = now;
  return false;
}

std::vector<session_id> peer_sessions::Tick(instant now) {
  std::vector<session_id> expired;
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    session& each = it->second;
    DropOldAnswers(now, each);
    const bool closed = each.connection == 0;
    if (closed && !each.expired && now - each.closed > kReturnTime) {
      each.expired = true;
      each.running.clear();
      expired.push_back(each.id);
    }
    if (closed && now - each.closed > kForgetSession) {
      for (const kept_answer& answer : each.kept) kept_bytes_ -= answer.bytes;
      keys_.erase(each.id);
      it = sessions_.erase(it);
    } else {
      ++it;
    }
  }
  return expired;
}

}  // namespace bulrushway
