#include "peer_mesh.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

// A connection that is not made in this time is tried anew: a lost opening packet is repeated by
// the kernel only after a second.
constexpr milliseconds kConnectTimeout{900};
// Wait before a connection that failed is opened again.
constexpr milliseconds kReconnectPause{250};
// A peer whose receipt is missing for this long counts as unreachable.
constexpr milliseconds kReceiptTimeout{1300};
// Intervals of reports: frequent where they cost no traffic between regions.
constexpr milliseconds kReportWithinRegion{200};
constexpr milliseconds kReportBetweenRegions{500};
// Reports that a process sends in a second at most, whatever the size of the fleet: with its
// receipt one is about 400 bytes on the wire, so that this is 2% of a link of 13 Mbit/s. Load is
// told with answers too, between processes that have much to do with each other.
constexpr double kReportsPerSecond = 80;

}  // namespace

milliseconds ReportInterval(node_locality locality, size_t peers) {
  const milliseconds wanted =
      locality == node_locality::kRemote ? kReportBetweenRegions : kReportWithinRegion;
  constexpr double kMsPerSecond = 1000;
  const double least = static_cast<double>(peers) / kReportsPerSecond * kMsPerSecond;
  return std::max(wanted, milliseconds(static_cast<int64_t>(least)));
}

peer_mesh::peer_mesh(event_loop& loop, decision_log& log, fleet_view& fleet,
                     peer_mesh_events events, bulk_pacer* pacer)
    : log_(log),
      fleet_(fleet),
      events_(std::move(events)),
      transport_(loop,
                 {[this](connection_id from, peer_message message) {
                    OnMessage(boot_clock::now(), from, std::move(message));
                  },
                  [this](connection_id from, bool stood, const error& reason) {
                    OnClosed(boot_clock::now(), from, stood, reason);
                  }},
                 pacer) {}

void peer_mesh::FollowMembers(instant now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    const node_state* known = fleet_.Find(it->first);
    if (known != nullptr && known->member.address == it->second.address) {
      ++it;
      continue;
    }
    for (link& each : it->second.links) CloseLink(now, it->first, each, "the peer left or moved");
    it = peers_.erase(it);
  }
  for (const auto& [node, state] : fleet_.nodes()) {
    if (state.locality == node_locality::kSelf || peers_.contains(node)) continue;
    peer& fresh = peers_[node];
    fresh.address = state.member.address;
    fresh.locality = state.locality;
    for (link& each : fresh.links) Open(now, fresh, each);
  }
}

void peer_mesh::Open(instant now, peer& to, link& which) {
  which.connection = transport_.Connect(to.address);
  which.established = false;
  which.opened = now;
  for (const auto& [node, each] : peers_) {
    if (&each == &to) outgoing_[which.connection] = node;
  }
}

peer_mesh::ticket peer_mesh::Send(const std::string& node, dispatch_request request,
                                  bool large_answer, callback done) {
  const auto found = peers_.find(node);
  if (found == peers_.end()) return 0;
  const link& which = found->second.links[large_answer ? 1 : 0];
  if (!Stands(which)) return 0;
  const ticket id = next_ticket_++;
  request.id = id;
  if (!transport_.Send(which.connection, request)) return 0;
  pending_.emplace(id, pending{node, which.connection, std::move(done)});
  return id;
}

bool peer_mesh::Post(const std::string& node, const peer_message& message) {
  const auto found = peers_.find(node);
  if (found == peers_.end()) return false;
  const link& which = found->second.links[0];
  return Stands(which) && transport_.Send(which.connection, message);
}

bool peer_mesh::IsDropped(connection_id from, const peer_message& message) {
  if (const auto* report = std::get_if<node_report>(&message)) senders_[from] = report->node;
  if (dropped_.empty()) return false;
  const auto opened = outgoing_.find(from);
  if (opened != outgoing_.end()) return dropped_.contains(opened->second);
  const auto sender = senders_.find(from);
  return sender != senders_.end() && dropped_.contains(sender->second);
}

void peer_mesh::Cancel(ticket id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  transport_.Send(found->second.connection, cancel_request{id});
  pending_.erase(found);
}

void peer_mesh::SendReport(instant now, peer& to) {
  const link& which = to.links[0];
  if (!Stands(which)) return;
  node_report report = events_.own_report(now);
  report.sequence = ++report_sequence_;
  transport_.Send(which.connection, report);
  if (to.receipted) {
    to.reported = report.sequence;
    to.reported_at = now;
    to.receipted = false;
  }
  to.next_report = now + ReportInterval(to.locality, peers_.size());
}

void peer_mesh::ReportNow(instant now) {
  for (auto& [node, each] : peers_) SendReport(now, each);
}

void peer_mesh::SendToAll(const std::function<peer_message(const node_state&)>& make) {
  for (const auto& [node, each] : peers_) {
    const node_state* known = fleet_.Find(node);
    const link& which = each.links[0];
    if (known != nullptr && Stands(which)) transport_.Send(which.connection, make(*known));
  }
}

void peer_mesh::Tick(instant now) {
  for (auto& [node, each] : peers_) {
    for (link& which : each.links) {
      if (which.connection == 0) {
        if (now >= which.retry_at) Open(now, each, which);
        continue;
      }
      if (which.established) continue;
      which.established = transport_.Established(which.connection);
      if (which.established) each.next_report = now;
      if (!which.established && now - which.opened > kConnectTimeout) {
        CloseLink(now, node, which, "the connection was not made in time");
      }
    }
    const bool silent = !each.receipted && now - each.reported_at > kReceiptTimeout;
    if (silent) {
      for (link& which : each.links) {
        CloseLink(now, node, which, "reports are not receipted");
      }
      each.receipted = true;
    }
    if (now >= each.next_report) SendReport(now, each);
  }
}

void peer_mesh::CloseLink(instant now, const std::string& node, link& which,
                          const std::string& why) {
  if (which.connection == 0) return;
  const connection_id gone = which.connection;
  const bool stood = transport_.Established(gone);
  which.connection = 0;
  which.established = false;
  which.retry_at = now + kReconnectPause;
  outgoing_.erase(gone);
  transport_.Close(gone);
  OnLost(now, node, gone, stood, why);
}

void peer_mesh::OnLost(instant now, const std::string& node, connection_id connection, bool stood,
                       const std::string& why) {
  const node_state* known = fleet_.Find(node);
  if (known != nullptr && known->reachable) {
    log_.Write("peer_lost", {{"peer", node}, {"reason", why}}, log_weight::kNotable);
  }
  fleet_.OnReachable(now, node, false);
  FailPending(now, connection, stood);
}

void peer_mesh::FailPending(instant now, connection_id connection, bool stood) {
  std::vector<pending> failed;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (it->second.connection != connection) {
      ++it;
      continue;
    }
    failed.push_back(std::move(it->second));
    it = pending_.erase(it);
  }
  for (pending& one : failed) {
    dispatch_answer answer;
    answer.reason = refusal_reason::kOwnerUnreachable;
    answer.state = stood ? run_state::kUnknown : run_state::kNotRun;
    answer.offered = stood;
    one.done(now, std::move(answer));
  }
}

void peer_mesh::OnReceipt(instant now, connection_id from, const node_report_receipt& receipt) {
  const auto owner = outgoing_.find(from);
  if (owner == outgoing_.end()) return;
  const auto found = peers_.find(owner->second);
  if (found == peers_.end()) return;
  peer& each = found->second;
  if (receipt.sequence >= each.reported && !each.receipted) {
    each.receipted = true;
    fleet_.OnRoundTrip(found->first, now - each.reported_at);
  }
  const node_state* known = fleet_.Find(found->first);
  if (known != nullptr && !known->reachable) {
    log_.Write("peer_reachable", {{"peer", found->first}}, log_weight::kNotable);
    fleet_.OnReachable(now, found->first, true);
  }
}

void peer_mesh::OnMessage(instant now, connection_id from, peer_message message) {
  if (IsDropped(from, message)) return;
  if (auto* report = std::get_if<node_report>(&message)) {
    transport_.Send(from, node_report_receipt{report->sequence});
    events_.report(now, *report);
  } else if (const auto* receipt = std::get_if<node_report_receipt>(&message)) {
    OnReceipt(now, from, *receipt);
  } else if (auto* request = std::get_if<dispatch_request>(&message)) {
    events_.request(now, from, std::move(*request));
  } else if (auto* answer = std::get_if<dispatch_answer>(&message)) {
    const auto found = pending_.find(answer->id);
    if (found == pending_.end()) return;
    const callback done = std::move(found->second.done);
    pending_.erase(found);
    done(now, std::move(*answer));
  } else if (const auto* cancel = std::get_if<cancel_request>(&message)) {
    events_.cancelled(now, from, cancel->id);
  } else if (const auto* notice = std::get_if<poison_notice>(&message)) {
    events_.suspects(now, *notice);
  } else {
    events_.other(now, from, message);
  }
}

void peer_mesh::OnClosed(instant now, connection_id from, bool stood, const error& reason) {
  const auto owner = outgoing_.find(from);
  if (owner == outgoing_.end()) {
    senders_.erase(from);
    events_.caller_gone(now, from);
    return;
  }
  const std::string node = owner->second;
  outgoing_.erase(owner);
  const auto found = peers_.find(node);
  if (found != peers_.end()) {
    for (link& which : found->second.links) {
      if (which.connection != from) continue;
      which.connection = 0;
      which.established = false;
      which.retry_at = now + kReconnectPause;
    }
    found->second.receipted = true;
  }
  OnLost(now, node, from, stood, reason.message);
}

}  // namespace bulrushway
