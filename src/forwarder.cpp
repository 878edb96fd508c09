#include "forwarder.h"

#include <algorithm>
#include <vector>

namespace bulrushway {
namespace {

// A connection on which requests wait but nothing has come back for this long is replaced.
constexpr std::chrono::milliseconds kSilentAfter{1000};
// A connection that has not been made after this long is given up.
constexpr std::chrono::milliseconds kConnectTimeout{500};
// Longer than the request's own time, since the gate answers at the deadline itself.
constexpr std::chrono::milliseconds kAnswerGrace{50};

}  // namespace

forwarder::forwarder(peer_transport& transport, hello_message self)
    : transport_(transport), self_(std::move(self)) {}

uint64_t forwarder::Send(instant now, const socket_address& address, forward_request request,
                         callback done) {
  const uint64_t id = next_id_++;
  request.id = id;
  peer& to = PeerAt(now, address);
  if (to.in_flight == 0) to.last_progress = now;
  ++to.in_flight;
  waiting_.emplace(id, waiting_request{address, to.connection, request.request_id, now,
                                       now + request.time_left + kAnswerGrace, std::move(done)});
  transport_.Send(to.connection, std::move(request));
  return id;
}

void forwarder::Cancel(uint64_t id) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return;
  transport_.Send(found->second.connection, cancel_request{id});
  --peers_[found->second.address].in_flight;
  waiting_.erase(found);
}

void forwarder::SendMessage(instant now, const socket_address& address,
                            const peer_message& message) {
  transport_.Send(PeerAt(now, address).connection, message);
}

void forwarder::OnAnswer(instant now, connection_id from, forward_answer answer) {
  const auto found = waiting_.find(answer.id);
  const bool ours = found != waiting_.end() && found->second.connection == from &&
                    found->second.request_id == answer.request_id;
  if (!ours) {
    ++stray_answers_;
    return;
  }
  peer& sender = peers_[found->second.address];
  sender.last_progress = now;
  --sender.in_flight;
  const callback done = std::move(found->second.done);
  waiting_.erase(found);
  done(std::move(answer));
}

bool forwarder::OnClosed(instant, connection_id id, bool stood) {
  for (auto it = peers_.begin(); it != peers_.end(); ++it) {
    if (it->second.connection != id) continue;
    peers_.erase(it);
    // Frames may have been taken by the kernel of the other side, so the gate may have seen them.
    FailAll(id, refusal_reason::kOwnerUnreachable,
            stood ? run_state::kUnknown : run_state::kNotRun);
    return true;
  }
  return false;
}

void forwarder::Tick(instant now) {
  ReplaceSilent(now);
  std::vector<uint64_t> late;
  for (const auto& [id, request] : waiting_) {
    if (request.deadline <= now) late.push_back(id);
  }
  for (const uint64_t id : late) Fail(id, refusal_reason::kDeadlinePassed, run_state::kUnknown);
}

forwarder::peer& forwarder::PeerAt(instant now, const socket_address& address) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) return found->second;
  peer& fresh = peers_[address];
  fresh.connection = transport_.Connect(address);
  fresh.opened = now;
  fresh.last_progress = now;
  transport_.Send(fresh.connection, self_);
  return fresh;
}

void forwarder::Fail(uint64_t id, refusal_reason reason, run_state state) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return;
  const waiting_request request = std::move(found->second);
  waiting_.erase(found);
  const auto sender = peers_.find(request.address);
  if (sender != peers_.end() && sender->second.connection == request.connection) {
    --sender->second.in_flight;
    transport_.Send(request.connection, cancel_request{id});
  }
  forward_answer refusal;
  refusal.id = id;
  refusal.request_id = request.request_id;
  refusal.reason = reason;
  refusal.state = state;
  request.done(std::move(refusal));
}

void forwarder::FailAll(connection_id connection, refusal_reason reason, run_state state) {
  std::vector<uint64_t> lost;
  for (const auto& [id, request] : waiting_) {
    if (request.connection == connection) lost.push_back(id);
  }
  for (const uint64_t id : lost) Fail(id, reason, state);
}

void forwarder::ReplaceSilent(instant now) {
  std::vector<std::pair<socket_address, run_state>> silent;
  for (const auto& [address, to] : peers_) {
    if (!transport_.Established(to.connection)) {
      // Nothing leaves this process before the connection stands.
      if (now - to.opened > kConnectTimeout) silent.emplace_back(address, run_state::kNotRun);
      continue;
    }
    const bool waits = to.in_flight > 0 && now - to.last_progress > kSilentAfter;
    if (waits) silent.emplace_back(address, run_state::kUnknown);
  }
  for (const auto& [address, state] : silent) {
    const connection_id old = peers_[address].connection;
    ++silent_connections_;
    transport_.Close(old);
    peers_.erase(address);
    FailAll(old, refusal_reason::kOwnerUnreachable, state);
  }
}

}  // namespace bulrushway
