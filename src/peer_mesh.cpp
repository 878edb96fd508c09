#include "peer_mesh.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>
#include <vector>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// Delay before a connection that reached another node is opened again.
constexpr milliseconds kForeignRetryDelay{2000};
// A peer that does not acknowledge a report for this long is treated as unreachable.
constexpr milliseconds kAckTimeout{1300};
// Reports between regions are less frequent, since they cost inter-region traffic.
constexpr milliseconds kReportIntervalWithinRegion{200};
constexpr milliseconds kReportIntervalBetweenRegions{2000};
// A peer that has requests of this process and has sent nothing for this long is sent a report at
// once, so that rare reports do not delay the detection of a lost one.
constexpr milliseconds kSilenceBeforeReport{600};
// Limits the reports per second of a process in a fleet of any size: a report and its
// acknowledgement take about 400 bytes on the wire, so this is 2% of a 13 Mbit/s link. Answers
// carry the load as well, so processes that exchange many requests do not depend on frequent
// reports.
constexpr double kMaxReportsPerSecond = 80;
// Longer intervals between ticks mean that this process did not run.
constexpr milliseconds kLongestTickInterval{150};
// Suspicions of peers that a process sends per second, and at once.
constexpr double kMaxSuspicionsPerSecond = 2;
constexpr double kMaxSuspicionsAtOnce = 6;
// In a large fleet, reports between regions are less frequent than others by this factor.
constexpr double kRemoteIntervalFactor = 3;

uint64_t DrawOrigin() {
  std::random_device device;
  return std::uniform_int_distribution<uint64_t>()(device);
}

}  // namespace

milliseconds ReportInterval(node_locality locality, size_t peers) {
  const bool remote = locality == node_locality::kRemote;
  const milliseconds base_interval =
      remote ? kReportIntervalBetweenRegions : kReportIntervalWithinRegion;
  constexpr double kMsPerSecond = 1000;
  const double min_interval_ms = static_cast<double>(peers) / kMaxReportsPerSecond * kMsPerSecond *
                                 (remote ? kRemoteIntervalFactor : 1);
  return std::max(base_interval, milliseconds(static_cast<int64_t>(min_interval_ms)));
}

peer_mesh::peer_mesh(event_loop& loop, decision_log& log, metrics& counters, fleet_view& fleet,
                     peer_mesh_events events, bulk_pacer* pacer, const memory_budget* budget)
    : log_(log),
      metrics_(counters),
      fleet_(fleet),
      events_(std::move(events)),
      transport_(loop,
                 {[this](connection_id from, peer_message message) {
                    OnMessage(boot_clock::now(), from, std::move(message));
                  },
                  [this](connection_id from, bool was_established, const error& reason) {
                    OnClosed(boot_clock::now(), from, was_established, reason);
                  },
                  [this](connection_id from, const frame_start& start) {
                    OnDiscarded(boot_clock::now(), from, start);
                  }},
                 pacer, budget),
      origin_(DrawOrigin()) {
  suspicions_.Configure({}, kMaxSuspicionsPerSecond, kMaxSuspicionsAtOnce);
  suspicions_.Fill({});
}

void peer_mesh::FollowMembers(instant now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    const node_state* state = fleet_.Find(it->first);
    if (state != nullptr && state->member.address == it->second.address) {
      ++it;
      continue;
    }
    // Its requests cannot be resumed.
    it->second.gives_receipts = false;
    for (link& peer_link : it->second.links)
      CloseLink(now, it->first, peer_link, "the peer left or moved");
    it = peers_.erase(it);
  }
  for (const auto& [node, state] : fleet_.nodes()) {
    if (state.locality == node_locality::kSelf || peers_.contains(node)) continue;
    peer& added = peers_[node];
    added.address = state.member.address;
    added.locality = state.locality;
    for (uint32_t purpose = 0; purpose < std::size(added.links); ++purpose) {
      Open(now, node, added, purpose);
    }
  }
}

peer_mesh::ticket peer_mesh::Send(instant now, const std::string& node, dispatch_request request,
                                  bool large_answer, callback done) {
  const auto found = peers_.find(node);
  if (found == peers_.end()) return 0;
  // A relay passes the body on, so that it needs it with the request.
  std::string& body = request.request.body;
  const bool separate_body = body.size() > max_inline_body_ && request.relay_to.empty();
  const uint32_t purpose = large_answer || separate_body ? 1 : 0;
  link& peer_link = found->second.links[purpose];
  if (!IsEstablished(peer_link)) return 0;
  const ticket id = next_ticket_++;
  request.id = id;
  pending sent{node, purpose, peer_link.connection, peer_link.connection, std::move(done)};
  sent.has_separate_body = separate_body;
  if (separate_body) {
    request.separate_body_bytes = body.size();
    sent.body = std::exchange(body, {});
  }
  if (!transport_.SendFrame(peer_link.connection, EncodeFrame(request))) return 0;
  peer_link.watch.OnSent(now, id);
  pending_.emplace(id, std::move(sent));
  return id;
}

size_t peer_mesh::BufferedBytes() const {
  size_t bytes = transport_.BufferedBytes();
  for (const auto& [id, sent] : pending_) bytes += sent.body ? sent.body->size() : 0;
  return bytes;
}

bool peer_mesh::MayHaveRun(ticket id) const {
  const auto found = pending_.find(id);
  return found == pending_.end() || !found->second.body;
}

void peer_mesh::OnBodyPermit(uint64_t id) {
  const auto found = pending_.find(id);
  if (found == pending_.end() || !found->second.body) return;
  pending& sent = found->second;
  std::string& body = *sent.body;
  const size_t size = body.size();
  const bool whole = sent.body_sent == 0 && size <= kMaxBodyPiece;
  request_body message{id, whole ? std::move(body) : body.substr(sent.body_sent, kMaxBodyPiece)};
  sent.body_sent += message.bytes.size();
  if (whole || sent.body_sent == size) sent.body.reset();
  transport_.SendFrame(sent.connection, EncodeFrame(message));
}

bool peer_mesh::SendMessage(const std::string& node, const peer_message& message,
                            bool large_answer) {
  const auto found = peers_.find(node);
  if (found != peers_.end()) {
    const link& peer_link = found->second.links[large_answer ? 1 : 0];
    return IsEstablished(peer_link) && transport_.Send(peer_link.connection, message);
  }
  const auto sender = std::find_if(senders_.begin(), senders_.end(),
                                   [&node](const auto& entry) { return entry.second == node; });
  return sender != senders_.end() && transport_.Send(sender->first, message);
}

std::string peer_mesh::NodeOf(session_id id) const {
  const auto found = senders_.find(sessions_.ConnectionOf(id));
  return found == senders_.end() ? std::string{} : found->second;
}

bool peer_mesh::IsDropped(connection_id from, const peer_message& message) {
  if (const auto* report = std::get_if<node_report>(&message)) senders_[from] = report->node;
  if (dropped_.empty()) return false;
  const auto outgoing = outgoing_.find(from);
  if (outgoing != outgoing_.end()) return dropped_.contains(outgoing->second);
  const auto sender = senders_.find(from);
  return sender != senders_.end() && dropped_.contains(sender->second);
}

void peer_mesh::Cancel(ticket id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  transport_.Send(found->second.connection, cancel_request{id});
  pending_.erase(found);
}

void peer_mesh::SendReport(instant now, peer& remote) {
  const link& peer_link = remote.links[0];
  if (!IsEstablished(peer_link)) return;
  node_report report = events_.own_report(now);
  report.sequence = ++report_sequence_;
  transport_.Send(peer_link.connection, report);
  if (remote.acknowledged) {
    remote.unacked_sequence = report.sequence;
    remote.unacked_since = now;
    remote.acknowledged = false;
  }
  remote.next_report = now + ReportInterval(remote.locality, peers_.size());
}

bool peer_mesh::IsSuspect(instant now, const std::string& node, const peer& remote) const {
  const node_state* state = fleet_.Find(node);
  return !remote.gives_receipts && state != nullptr && state->in_flight > 0 &&
         remote.acknowledged && now - remote.last_received > kSilenceBeforeReport;
}

void peer_mesh::ReportNow(instant now) {
  for (auto& [node, remote] : peers_) SendReport(now, remote);
}

void peer_mesh::SendToAll(const std::function<peer_message(const node_state&)>& make) {
  for (const auto& [node, remote] : peers_) {
    const node_state* state = fleet_.Find(node);
    const link& peer_link = remote.links[0];
    if (state != nullptr && IsEstablished(peer_link))
      transport_.Send(peer_link.connection, make(*state));
  }
}

void peer_mesh::Tick(instant now) {
  for (const session_id ended : sessions_.Tick(now)) events_.session_ended(now, ended);
  paused_ = now - last_tick_ > kLongestTickInterval;
  last_tick_ = now;
  const std::map<connection_id, size_t> in_flight = InFlight();
  for (auto& [node, remote] : peers_) {
    WatchLinks(now, node, remote, in_flight);
    const bool silent = !remote.acknowledged && now - remote.unacked_since > kAckTimeout;
    if (silent) {
      for (link& peer_link : remote.links) {
        CloseLink(now, node, peer_link, "reports are not receipted");
      }
      remote.acknowledged = true;
    }
    if (now >= remote.next_report || IsSuspect(now, node, remote)) SendReport(now, remote);
  }
  GiveUp(now);
}

void peer_mesh::OnAck(instant now, connection_id from, const node_report_ack& ack) {
  const auto outgoing = outgoing_.find(from);
  if (outgoing == outgoing_.end()) return;
  const auto found = peers_.find(outgoing->second);
  if (found == peers_.end()) return;
  peer& remote = found->second;
  if (ack.node != found->first) {
    // The node has left, and its address belongs to another one.
    remote.gives_receipts = false;
    for (link& peer_link : remote.links) {
      CloseLink(now, found->first, peer_link, "its address is used by " + ack.node);
      peer_link.retry_at = now + kForeignRetryDelay;
    }
    remote.acknowledged = true;
    return;
  }
  remote.last_received = now;
  if (ack.sequence >= remote.unacked_sequence && !remote.acknowledged) {
    remote.acknowledged = true;
    fleet_.OnRoundTrip(found->first, now - remote.unacked_since);
  }
  const node_state* state = fleet_.Find(found->first);
  if (state != nullptr && !state->reachable) {
    log_.Write("peer_reachable", {{"peer", found->first}}, log_priority::kNotable);
    fleet_.OnReachable(now, found->first, true);
  }
}

void peer_mesh::OnMessage(instant now, connection_id from, peer_message message) {
  if (IsDropped(from, message)) return;
  const session_id session = sessions_.SessionOf(from);
  if (auto* report = std::get_if<node_report>(&message)) {
    transport_.Send(from, node_report_ack{report->sequence, fleet_.self()});
    events_.report(now, *report);
  } else if (const auto* ack = std::get_if<node_report_ack>(&message)) {
    OnAck(now, from, *ack);
  } else if (auto* request = std::get_if<dispatch_request>(&message)) {
    transport_.Send(from, link_receipt{request->id});
    sessions_.OnRequest(session, request->id);
    events_.request(now, session, std::move(*request));
  } else if (auto* answer = std::get_if<dispatch_answer>(&message)) {
    const auto found = pending_.find(answer->id);
    if (found == pending_.end()) return;
    const auto sender = peers_.find(found->second.node);
    if (sender != peers_.end()) sender->second.last_received = now;
    const callback done = std::move(found->second.done);
    OnReceipt(from, found->first);
    pending_.erase(found);
    DiscardInvalidAnswer(from, *answer);
    done(now, std::move(*answer));
  } else if (const auto* permit = std::get_if<body_permit>(&message)) {
    OnBodyPermit(permit->id);
  } else if (const auto* cancel = std::get_if<cancel_request>(&message)) {
    sessions_.OnCancelled(session, cancel->id);
    events_.cancelled(now, session, cancel->id);
  } else if (const auto* hello = std::get_if<link_hello>(&message)) {
    OnHello(now, from, *hello);
  } else if (const auto* resumed = std::get_if<link_resumed>(&message)) {
    OnResumed(now, from, *resumed);
  } else if (const auto* probe = std::get_if<link_probe>(&message)) {
    transport_.Send(from, link_receipt{probe->id});
  } else if (const auto* receipt = std::get_if<link_receipt>(&message)) {
    OnReceipt(from, receipt->id);
  } else if (const auto* suspicion = std::get_if<peer_suspicion>(&message)) {
    OnSuspicion(now, *suspicion);
  } else if (const auto* notice = std::get_if<poison_notice>(&message)) {
    events_.poison_reported(now, *notice);
  } else {
    events_.other_message(now, session, message);
  }
}

void peer_mesh::OnClosed(instant now, connection_id from, bool was_established,
                         const error& reason) {
  const auto outgoing = outgoing_.find(from);
  if (outgoing == outgoing_.end()) {
    senders_.erase(from);
    if (sessions_.OnClosed(now, from)) events_.session_ended(now, from);
    return;
  }
  const std::string node = outgoing->second;
  outgoing_.erase(outgoing);
  const auto found = peers_.find(node);
  if (found != peers_.end()) {
    for (link& peer_link : found->second.links) {
      if (peer_link.connection != from) continue;
      Reset(now, peer_link, was_established);
    }
    found->second.acknowledged = true;
  }
  OnLinkLost(now, node, from, !was_established, reason.message);
}

}  // namespace bulrushway
