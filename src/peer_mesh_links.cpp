// Connections to peers: opening, watching and replacing them, and resuming the requests that were
// sent over a connection that was lost.

#include <iterator>
#include <utility>
#include <vector>

#include "peer_mesh.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// A connection attempt is restarted after this time; the kernel would retransmit a lost SYN only
// after a second.
constexpr milliseconds kConnectTimeout{900};
// The same while requests wait to be resumed, in addition to two round trips.
constexpr milliseconds kResumeConnectTimeout{300};
// Delay before a connection that could not be established, or was closed at once, is opened again.
constexpr milliseconds kReconnectDelay{250};
// Requests that could not be resumed for this long are given up.
constexpr milliseconds kResumeTime{700};
// A suspicion of a peer is passed on or examined at most once in this time.
constexpr milliseconds kSuspicionInterval{2000};

}  // namespace

std::map<connection_id, size_t> peer_mesh::InFlight() const {
  std::map<connection_id, size_t> in_flight;
  for (const auto& [id, request] : pending_) ++in_flight[request.connection];
  return in_flight;
}

void peer_mesh::Reset(instant now, link& peer_link, bool was_established, bool silent) {
  peer_link.connection = 0;
  peer_link.established = false;
  const bool worked = was_established && now - peer_link.opened > kReconnectDelay;
  peer_link.retry_at = worked ? now : now + kReconnectDelay;
  peer_link.watch.OnReplaced(silent);
}

void peer_mesh::Open(instant now, const std::string& node, peer& remote, uint32_t purpose) {
  link& peer_link = remote.links[purpose];
  peer_link.connection = transport_.Connect(remote.address);
  peer_link.established = false;
  peer_link.opened = now;
  outgoing_[peer_link.connection] = node;
  link_hello hello{node, origin_, purpose, peer_link.connection, {}};
  for (auto& [id, request] : pending_) {
    if (request.node != node || request.purpose != purpose || request.connection != 0) continue;
    request.connection = peer_link.connection;
    hello.resumed.push_back({id, request.sent_over});
  }
  transport_.Send(peer_link.connection, hello);
}

void peer_mesh::CloseLink(instant now, const std::string& node, link& peer_link,
                          const std::string& why, bool silent) {
  if (peer_link.connection == 0) return;
  const connection_id closed = peer_link.connection;
  Reset(now, peer_link, transport_.Established(closed), silent);
  outgoing_.erase(closed);
  transport_.Close(closed);
  OnLinkLost(now, node, closed, false, why);
}

void peer_mesh::OnLinkLost(instant now, const std::string& node, connection_id connection,
                           bool refused, const std::string& why) {
  const node_state* state = fleet_.Find(node);
  if (state != nullptr && state->reachable) {
    log_.Write("peer_lost", {{"peer", node}, {"reason", why}}, log_priority::kNotable);
  }
  fleet_.OnReachable(now, node, false);
  Suspend(now, connection, refused);
}

void peer_mesh::Suspend(instant now, connection_id connection, bool refused) {
  std::vector<std::pair<ticket, run_state>> failed;
  for (auto& [id, request] : pending_) {
    if (request.connection != connection) continue;
    request.connection = 0;
    const auto remote = peers_.find(request.node);
    const bool resumable = remote != peers_.end() && remote->second.gives_receipts && !refused;
    if (request.body) {
      failed.emplace_back(id, run_state::kNotRun);
    } else if (!resumable || request.has_separate_body) {
      failed.emplace_back(id, run_state::kUnknown);
    } else if (!request.give_up) {
      request.give_up = now + kResumeTime;
    }
  }
  for (const auto& [id, state] : failed) Fail(now, id, state);
}

void peer_mesh::Fail(instant now, ticket id, run_state state) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const callback done = std::move(found->second.done);
  pending_.erase(found);
  dispatch_answer answer;
  answer.reason = refusal_reason::kOwnerUnreachable;
  answer.state = state;
  answer.sent_to_target = state == run_state::kUnknown;
  done(now, std::move(answer));
}

void peer_mesh::GiveUp(instant now) {
  std::vector<ticket> overdue;
  for (const auto& [id, request] : pending_) {
    if (request.give_up && now >= *request.give_up) overdue.push_back(id);
  }
  for (const ticket id : overdue) {
    metrics_.Counter("bulrushway_requests_resumed", {{"outcome", "gave up"}})++;
    Fail(now, id, run_state::kUnknown);
  }
}

void peer_mesh::OnResumed(instant now, connection_id from, const link_resumed& resumed) {
  const auto outgoing = outgoing_.find(from);
  if (outgoing == outgoing_.end()) return;
  const std::string node = outgoing->second;
  const auto remote = peers_.find(node);
  if (remote == peers_.end()) return;
  remote->second.gives_receipts = true;
  const auto settle = [&](const std::vector<uint64_t>& ids, run_state state, const char* outcome) {
    for (const uint64_t id : ids) {
      const auto found = pending_.find(id);
      // Only the present connection can say what became of a request.
      if (found == pending_.end() || found->second.connection != from) continue;
      metrics_.Counter("bulrushway_requests_resumed", {{"outcome", outcome}})++;
      log_.Write("request_resumed",
                 {{"peer", node}, {"ticket", std::to_string(id)}, {"outcome", outcome}});
      Fail(now, id, state);
    }
  };
  settle(resumed.unseen, run_state::kNotRun, "unseen");
  settle(resumed.unknown, run_state::kUnknown, "unknown");
  for (auto& [id, request] : pending_) {
    if (request.connection != from || !request.give_up) continue;
    request.give_up.reset();
    metrics_.Counter("bulrushway_requests_resumed", {{"outcome", "running"}})++;
    log_.Write("request_resumed",
               {{"peer", request.node}, {"ticket", std::to_string(id)}, {"outcome", "running"}});
  }
}

void peer_mesh::OnHello(instant now, connection_id from, const link_hello& hello) {
  if (hello.to != fleet_.self()) {
    // The acknowledgement of a report will tell the peer.
    link_resumed resumed;
    for (const resumed_request& request : hello.resumed) resumed.unknown.push_back(request.id);
    return Reply(from, resumed);
  }
  const session_opening opening = sessions_.OnHello(now, from, hello);
  if (opening.outdated) {
    log_.Write("connection_outdated", {{"from", transport_.PeerAddress(from)}});
    return transport_.Close(from);
  }
  // Before the peer is told what has not arrived, so that it cannot arrive any more.
  if (opening.replaced != 0) transport_.Close(opening.replaced);
  senders_.erase(opening.replaced);
  transport_.Send(from, opening.resumed);
  for (const dispatch_answer& answer : opening.answers) transport_.Send(from, answer);
  for (const uint64_t request : opening.abandoned) {
    sessions_.OnCancelled(opening.session, request);
    events_.cancelled(now, opening.session, request);
  }
  if (hello.resumed.empty()) return;
  log_.Write("session_resumed",
             {{"from", transport_.PeerAddress(from)},
              {"requests", std::to_string(hello.resumed.size())},
              {"unseen", std::to_string(opening.resumed.unseen.size())},
              {"unknown", std::to_string(opening.resumed.unknown.size())},
              {"answered", std::to_string(opening.answers.size())}},
             log_priority::kNotable);
}

void peer_mesh::Answer(instant now, session_id to, const dispatch_answer& answer) {
  sessions_.OnAnswer(now, to, answer);
  transport_.SendFrame(sessions_.ConnectionOf(to), EncodeFrame(answer));
}

void peer_mesh::OnDiscarded(instant now, connection_id from, const frame_start& start) {
  metrics_.Counter("bulrushway_peer_messages_discarded")++;
  log_.Write("peer_message_discarded",
             {{"peer", transport_.PeerAddress(from)},
              {"type", std::to_string(start.type)},
              {"ticket", std::to_string(start.id)}},
             log_priority::kNotable);
  dispatch_answer refused;
  refused.id = start.id;
  if (start.type == TypeOf<dispatch_answer>()) {
    // The target has answered.
    refused.reason = refusal_reason::kAnswerTooLarge;
    refused.state = run_state::kUnknown;
    refused.sent_to_target = true;
    return OnMessage(now, from, std::move(refused));
  }
  const bool is_body = start.type == TypeOf<request_body>();
  if (!is_body && start.type != TypeOf<dispatch_request>()) return;
  const session_id session = sessions_.SessionOf(from);
  if (is_body) events_.cancelled(now, session, start.id);
  refused.reason = refusal_reason::kQueueFull;
  Answer(now, session, refused);
}

void peer_mesh::DiscardInvalidAnswer(connection_id from, dispatch_answer& received) {
  if (received.reason != refusal_reason::kNone || IsWritable(received.answer)) return;
  metrics_.Counter("bulrushway_peer_answers_invalid")++;
  log_.Write("peer_answer_invalid",
             {{"peer", transport_.PeerAddress(from)},
              {"ticket", std::to_string(received.id)},
              {"status", std::to_string(received.answer.status)}},
             log_priority::kNotable);
  received.reason = refusal_reason::kAnswerLost;
  received.state = run_state::kUnknown;
  received.sent_to_target = true;
  received.answer = {};
}

void peer_mesh::OnReceipt(connection_id from, uint64_t id) {
  const auto outgoing = outgoing_.find(from);
  if (outgoing == outgoing_.end()) return;
  const auto remote = peers_.find(outgoing->second);
  if (remote == peers_.end()) return;
  for (link& peer_link : remote->second.links) {
    if (peer_link.connection == from) peer_link.watch.OnReceipt(id);
  }
}

void peer_mesh::Probe(instant now, link& peer_link) {
  const uint64_t id = next_ticket_++;
  if (transport_.Send(peer_link.connection, link_probe{id})) peer_link.watch.OnSent(now, id);
}

void peer_mesh::WatchLinks(instant now, const std::string& node, peer& remote,
                           const std::map<connection_id, size_t>& in_flight) {
  const node_state* state = fleet_.Find(node);
  const std::chrono::nanoseconds round_trip =
      state == nullptr ? std::chrono::nanoseconds{0} : state->round_trip;
  bool suspect = false;
  for (uint32_t purpose = 0; purpose < std::size(remote.links); ++purpose) {
    link& peer_link = remote.links[purpose];
    if (peer_link.connection == 0) {
      if (now >= peer_link.retry_at) Open(now, node, remote, purpose);
      continue;
    }
    const auto requests = in_flight.find(peer_link.connection);
    const size_t waiting = requests == in_flight.end() ? 0 : requests->second;
    if (!peer_link.established) {
      peer_link.established = transport_.Established(peer_link.connection);
      const bool urgent = waiting > 0 || remote.lost_since;
      const std::chrono::nanoseconds limit =
          urgent ? kResumeConnectTimeout + 2 * round_trip : kConnectTimeout;
      if (peer_link.established) {
        remote.next_report = now;
        remote.lost_since.reset();
      } else if (now - peer_link.opened > limit) {
        CloseLink(now, node, peer_link, "the connection was not established in time");
        ShareLoss(now, node, remote);
      }
      continue;
    }
    if (paused_ || !remote.gives_receipts) continue;
    const instant received = transport_.LastReceived(peer_link.connection);
    switch (peer_link.watch.Health(now, received, waiting, round_trip)) {
      case link_health::kWorking:
        break;
      case link_health::kQuiet:
        Probe(now, peer_link);
        break;
      case link_health::kSuspect:
        suspect = true;
        break;
      case link_health::kSilent:
        remote.lost_since = now;
        metrics_.Counter("bulrushway_silent_connections")++;
        CloseLink(now, node, peer_link, "no receipt arrives", true);
        break;
    }
  }
  if (state != nullptr && state->suspect != suspect) fleet_.OnSuspect(node, suspect);
}

void peer_mesh::ShareLoss(instant now, const std::string& node, peer& remote) {
  if (!remote.lost_since || now - remote.last_suspicion < kSuspicionInterval) return;
  remote.lost_since.reset();
  remote.last_suspicion = now;
  // One that loses many peers at once has probably lost its own links.
  if (!suspicions_.Take(now)) return;
  log_.Write("peer_suspected", {{"peer", node}}, log_priority::kNotable);
  PassOn({node}, true);
}

void peer_mesh::PassOn(peer_suspicion suspicion, bool to_other_data_centres) {
  std::map<std::string, std::string> receivers;
  suspicion.pass_on = false;
  for (const auto& [name, state] : fleet_.nodes()) {
    if (name == suspicion.node || !state.reachable) continue;
    if (state.locality == node_locality::kDataCentre) {
      SendMessage(name, suspicion);
    } else if (state.locality != node_locality::kSelf) {
      receivers.try_emplace(state.member.data_centre, name);
    }
  }
  if (!to_other_data_centres) return;
  suspicion.pass_on = true;
  for (const auto& [data_centre, name] : receivers) SendMessage(name, suspicion);
}

void peer_mesh::OnSuspicion(instant now, const peer_suspicion& suspicion) {
  const auto found = peers_.find(suspicion.node);
  if (found == peers_.end()) return;
  peer& remote = found->second;
  if (now - remote.last_suspicion < kSuspicionInterval) return;
  remote.last_suspicion = now;
  log_.Write("suspicion_examined", {{"peer", suspicion.node}});
  if (suspicion.pass_on) PassOn(suspicion, false);
  for (link& peer_link : remote.links) {
    if (IsEstablished(peer_link) && remote.gives_receipts) Probe(now, peer_link);
  }
}

}  // namespace bulrushway
