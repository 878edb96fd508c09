#include "lease.h"

#include <algorithm>

namespace bulrushway {
namespace {

/// Renewals whose answers are still awaited, at most.
constexpr size_t kMaxInFlight = 16;
/// How often a supersede request is repeated.
constexpr std::chrono::milliseconds kSupersedeInterval{100};

}  // namespace

size_t QuorumOf(size_t witnesses) { return witnesses / 2 + 1; }

lease::lease(const protocol_rules& rules, term_record record)
    : rules_(rules), record_(std::move(record)) {
  for (const node_name& witness : record_.witnesses) witnesses_[witness] = {};
}

uint64_t lease::NoteSent(instant now, witness_state& state) {
  state.in_flight.push_back({++sequence_, now});
  if (state.in_flight.size() > kMaxInFlight) state.in_flight.pop_front();
  state.last_sent = now;
  state.ever_sent = true;
  return sequence_;
}

send_message_action lease::MakeRenewal(instant now, const node_name& to, bool active) {
  witness_state& state = witnesses_[to];
  renew_request request;
  request.term = record_.id;
  request.sequence = NoteSent(now, state);
  request.witness_process = state.process;
  request.active = active;
  if (!state.has_record) request.record.push_back(record_);
  return {to, request};
}

std::vector<send_message_action> lease::Renew(instant now, bool active) {
  std::vector<send_message_action> messages;
  if (lapsed_ || !next_.empty()) return messages;
  for (auto& [name, state] : witnesses_) {
    if (state.ever_sent && now - state.last_sent < rules_.renewal_interval) continue;
    messages.push_back(MakeRenewal(now, name, active));
  }
  return messages;
}

std::vector<send_message_action> lease::OnAnswer(instant now, const node_name& from,
                                                 const renew_answer& answer, bool active) {
  const auto found = witnesses_.find(from);
  if (lapsed_ || answer.term != record_.id || found == witnesses_.end()) return {};
  witness_state& state = found->second;
  switch (answer.status) {
    case renew_status::kAcknowledged:
      if (answer.witness_process != state.process) return {};
      state.has_record = true;
      state.acknowledged_by = state.process;
      Acknowledge(now, state, answer.sequence);
      return {};
    case renew_status::kClosed:
      if (answer.witness_process == state.process) state.closed = true;
      return {};
    case renew_status::kOtherProcess:
    case renew_status::kRecordNeeded:
      break;
  }
  // The witnesses' processes are fixed once the first supersede request was sent.
  if (!next_.empty()) return {};
  const bool changed = state.process != answer.witness_process || state.has_record;
  state.process = answer.witness_process;
  state.has_record = false;
  state.closed = false;
  if (!changed) return {};
  return {MakeRenewal(now, from, active)};
}

void lease::Acknowledge(instant now, witness_state& state, uint64_t sequence) {
  const auto sent = std::find_if(state.in_flight.begin(), state.in_flight.end(),
                                 [&](const sent_renewal& s) { return s.sequence == sequence; });
  if (sent == state.in_flight.end()) return;
  const instant counted = rules_.lease_from_sending ? sent->at : now;
  state.acknowledged = state.heard ? std::max(state.acknowledged, counted) : counted;
  state.heard = true;
  ComputeExpiry();
  if (Good(now)) was_good_ = true;
}

void lease::BeginSupersede(term_record next) {
  if (!next_.empty()) return;
  next_.push_back(std::move(next));
  for (auto& [name, state] : witnesses_) state.ever_sent = false;
}

std::vector<send_message_action> lease::Supersede(instant now) {
  std::vector<send_message_action> messages;
  if (lapsed_ || next_.empty()) return messages;
  for (auto& [name, state] : witnesses_) {
    // A witness that restarted since its last acknowledgement has no say in this term any more.
    if (state.process == 0 || state.acknowledged_by != state.process) continue;
    if (state.ever_sent && now - state.last_sent < kSupersedeInterval) continue;
    supersede_request request;
    request.term = record_.id;
    request.sequence = NoteSent(now, state);
    request.witness_process = state.process;
    request.next = next_.front();
    messages.push_back({name, request});
  }
  return messages;
}

void lease::OnSupersedeAnswer(instant now, const node_name& from, const supersede_answer& answer) {
  const auto found = witnesses_.find(from);
  if (lapsed_ || answer.term != record_.id || found == witnesses_.end()) return;
  witness_state& state = found->second;
  if (answer.status == renew_status::kOtherProcess) return;
  if (answer.witness_process != state.process) return;
  if (answer.status == renew_status::kClosed) {
    state.closed = true;
    return;
  }
  Acknowledge(now, state, answer.sequence);
  state.superseded = true;
}

bool lease::Superseded() const {
  if (lapsed_ || next_.empty()) return false;
  const auto closed = std::count_if(witnesses_.begin(), witnesses_.end(),
                                    [](const auto& entry) { return entry.second.superseded; });
  return static_cast<size_t>(closed) >= QuorumOf(witnesses_.size());
}

void lease::Check(instant now) {
  if (was_good_ && !Good(now) && rules_.lapse_is_final) lapsed_ = true;
}

bool lease::Good(instant now) const {
  if (lapsed_ || witnesses_.empty()) return false;
  return now < expiry_;
}

void lease::ComputeExpiry() {
  std::vector<instant> acknowledged;
  for (const auto& [name, state] : witnesses_) {
    if (state.heard) acknowledged.push_back(state.acknowledged);
  }
  const size_t quorum = QuorumOf(witnesses_.size());
  if (acknowledged.size() < quorum) return;
  std::sort(acknowledged.rbegin(), acknowledged.rend());
  expiry_ = acknowledged[quorum - 1] + rules_.lease_time;
}

size_t lease::ClosedWitnesses() const {
  return static_cast<size_t>(std::count_if(witnesses_.begin(), witnesses_.end(),
                                           [](const auto& entry) { return entry.second.closed; }));
}

}  // namespace bulrushway
