#include "attestation.h"

#include <algorithm>

#include "lease.h"

namespace bulrushway {
namespace {

constexpr std::chrono::milliseconds kRepeatInterval{100};
/// Low bits of a ballot that name the asking process.
constexpr int kProcessBits = 32;

size_t CountStatus(const auto& replies, attest_status status) {
  return static_cast<size_t>(
      std::count_if(replies.begin(), replies.end(),
                    [status](const auto& entry) { return entry.second.answer.status == status; }));
}

}  // namespace

attestor::attestor(const protocol_rules& rules, uint64_t process)
    : rules_(rules), process_(process & ((uint64_t{1} << kProcessBits) - 1)) {}

void attestor::Ask(instant now, const term_id& term, const std::vector<node_name>& witnesses,
                   bool no_successor_recorded, instant started, outbox& out) {
  const auto known = rounds_.find(term);
  const bool better =
      known != rounds_.end() && no_successor_recorded && !known->second.no_successor_recorded;
  if (witnesses.empty() || (known != rounds_.end() && !better)) return;
  round& running = rounds_[term];
  running = {};
  running.number = ++counter_;
  running.ballot = (counter_ << kProcessBits) | process_;
  running.started = started;
  running.no_successor_recorded = no_successor_recorded;
  running.witnesses = witnesses;
  SendQuestions(now, term, running, out);
}

attestor::round* attestor::Current(instant now, const term_id& term, uint64_t number) {
  const auto found = rounds_.find(term);
  if (found == rounds_.end() || found->second.number != number) return nullptr;
  if (now - found->second.started >= rules_.round_window) return nullptr;
  return &found->second;
}

void attestor::SendQuestions(instant now, const term_id& term, round& running, outbox& out) {
  running.last_sent = now;
  for (const node_name& witness : running.witnesses) {
    if (running.replies.contains(witness)) continue;
    attest_request request;
    request.round = running.number;
    request.term = term;
    request.ballot = running.ballot;
    request.no_successor_recorded = running.no_successor_recorded;
    out.Send(witness, request);
  }
}

void attestor::SendProposals(const term_id& term, const round& running, outbox& out) {
  for (const auto& [name, known] : running.replies) {
    if (known.answer.status != attest_status::kPromised || known.accepted) continue;
    accept_request request;
    request.round = running.number;
    request.term = term;
    request.witness_process = known.answer.witness_process;
    request.ballot = running.ballot;
    request.outcome = running.proposed;
    request.next = running.next;
    out.Send(name, request);
  }
}

void attestor::OnAttestAnswer(instant now, const node_name& from, const attest_answer& answer,
                              outbox& out) {
  round* running = Current(now, answer.term, answer.round);
  if (running == nullptr || running->replies.contains(from)) return;
  const auto& names = running->witnesses;
  if (std::find(names.begin(), names.end(), from) == names.end()) return;
  running->replies[from] = {answer, false};
  if (answer.status == attest_status::kHigherBallot) {
    counter_ = std::max(counter_, answer.ballot >> kProcessBits);
  }
  ConsiderPromises(now, answer.term, *running, out);
}

void attestor::ConsiderPromises(instant now, const term_id& term, round& running, outbox& out) {
  const size_t quorum = QuorumOf(running.witnesses.size());
  const size_t promised = CountStatus(running.replies, attest_status::kPromised);
  if (promised < quorum) {
    const size_t open = running.witnesses.size() - running.replies.size();
    if (promised + open >= quorum) return;
    const bool alive = CountStatus(running.replies, attest_status::kAlive) > 0;
    Finish(term, alive ? attest_verdict::kAlive : attest_verdict::kUndecided);
    return;
  }
  if (running.proposed == term_outcome::kNone) {
    running.proposed = term_outcome::kGone;
    uint64_t highest = 0;
    for (const auto& [name, known] : running.replies) {
      const attest_answer& answer = known.answer;
      if (answer.status != attest_status::kPromised) continue;
      if (answer.accepted == term_outcome::kNone || answer.ballot < highest) continue;
      highest = answer.ballot;
      running.proposed = answer.accepted;
      running.next = answer.next;
    }
  }
  running.last_sent = now;
  SendProposals(term, running, out);
}

void attestor::OnAcceptAnswer(instant now, const node_name& from, const accept_answer& answer) {
  round* running = Current(now, answer.term, answer.round);
  if (running == nullptr || !answer.accepted || !running->replies.contains(from)) return;
  running->replies[from].accepted = true;
  const auto accepted = std::count_if(running->replies.begin(), running->replies.end(),
                                      [](const auto& entry) { return entry.second.accepted; });
  if (static_cast<size_t>(accepted) < QuorumOf(running->witnesses.size())) return;
  const bool gone = running->proposed == term_outcome::kGone;
  Finish(answer.term, gone ? attest_verdict::kGone : attest_verdict::kSuperseded);
}

void attestor::Finish(const term_id& term, attest_verdict verdict) {
  const round running = std::move(rounds_[term]);
  rounds_.erase(term);
  attest_result found;
  found.term = term;
  found.witnesses = running.witnesses;
  found.verdict = verdict;
  found.unknown = CountStatus(running.replies, attest_status::kUnknown);
  found.answers = running.replies.size();
  if (verdict == attest_verdict::kSuperseded) found.next = running.next;
  for (const auto& [name, known] : running.replies) {
    found.active = found.active || known.answer.active;
    if (found.record.empty()) found.record = known.answer.record;
  }
  results_.push_back(std::move(found));
}

void attestor::Tick(instant now, outbox& out) {
  std::vector<term_id> ended;
  for (auto& [term, running] : rounds_) {
    if (now - running.started >= rules_.round_window) {
      ended.push_back(term);
    } else if (now - running.last_sent >= kRepeatInterval) {
      SendQuestions(now, term, running, out);
      if (running.proposed != term_outcome::kNone) SendProposals(term, running, out);
    }
  }
  for (const term_id& term : ended) {
    const auto& replies = rounds_[term].replies;
    const bool alive = CountStatus(replies, attest_status::kAlive) > 0;
    Finish(term, alive ? attest_verdict::kAlive : attest_verdict::kUndecided);
  }
}

}  // namespace bulrushway
