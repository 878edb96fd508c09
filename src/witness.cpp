#include "witness.h"

#include <algorithm>
#include <set>

namespace bulrushway {
namespace {

/// A longer time between two ticks is a pause of this process, which heard no renewals meanwhile.
constexpr std::chrono::milliseconds kOwnPause{300};
constexpr std::chrono::milliseconds kNoticeInterval{300};
/// Notices of one lapse at the short interval; later ones come at the long interval.
constexpr uint32_t kQuickNotices = 20;
constexpr std::chrono::milliseconds kSlowNoticeInterval{5000};

/// Heirs and receivers of the record, without doubles.
std::set<node_name> Concerned(const term_record& record) {
  std::set<node_name> nodes;
  for (const heir& entry : record.heirs) nodes.insert(entry.term.node);
  for (const slice_gift& gift : record.gifts) nodes.insert(gift.receiver.term.node);
  return nodes;
}

}  // namespace

witness::witness(const protocol_rules& rules, uint64_t process, instant started)
    : rules_(rules), process_(process), started_(started), last_tick_(started) {}

bool witness::Quiet(instant now) const { return now - started_ < rules_.quiet_time; }

bool witness::OtherProcess(uint64_t meant) const {
  return rules_.witness_checks_process && meant != process_;
}

bool witness::Stale(instant now, const entry& known) const {
  return known.heard && now - known.heard_at >= rules_.lease_time + rules_.drift_margin;
}

witness::entry* witness::Find(const term_id& term) {
  const auto found = terms_.find(term);
  return found == terms_.end() ? nullptr : &found->second;
}

witness::entry* witness::FindOrAdd(const term_id& term) {
  if (entry* known = Find(term)) return known;
  if (terms_.size() >= kMaxWitnessedTerms) {
    const auto closed = std::find_if(terms_.begin(), terms_.end(), [](const auto& item) {
      return item.second.known_outcome != term_outcome::kNone;
    });
    if (closed == terms_.end()) return nullptr;
    terms_.erase(closed);
  }
  return &terms_[term];
}

std::optional<renew_answer> witness::OnRenew(instant now, const renew_request& request) {
  if (Quiet(now)) return std::nullopt;
  renew_answer answer{request.term, request.sequence, process_, renew_status::kAcknowledged};
  if (OtherProcess(request.witness_process)) {
    answer.status = renew_status::kOtherProcess;
    return answer;
  }
  entry* known = Find(request.term);
  if (known == nullptr && request.record.empty()) {
    answer.status = renew_status::kRecordNeeded;
    return answer;
  }
  if (known == nullptr) known = FindOrAdd(request.term);
  if (known == nullptr) return std::nullopt;
  if (known->record.empty()) known->record = request.record;
  const bool closed = known->promised > 0 || known->accepted != term_outcome::kNone;
  if (closed && rules_.promise_closes_term) {
    answer.status = renew_status::kClosed;
    return answer;
  }
  known->heard = true;
  known->heard_at = now;
  known->active = known->active || request.active;
  known->notices = 0;
  known->notified.clear();
  return answer;
}

std::optional<supersede_answer> witness::OnSupersede(instant now,
                                                     const supersede_request& request) {
  if (Quiet(now)) return std::nullopt;
  supersede_answer answer{request.term, request.sequence, process_, renew_status::kAcknowledged};
  if (OtherProcess(request.witness_process)) {
    answer.status = renew_status::kOtherProcess;
    return answer;
  }
  entry* known = FindOrAdd(request.term);
  if (known == nullptr) return std::nullopt;
  const bool done = known->accepted == term_outcome::kSuperseded && known->accepted_ballot == 0;
  const bool open = known->promised == 0 && known->accepted == term_outcome::kNone;
  if (!done && !open) {
    answer.status = renew_status::kClosed;
    return answer;
  }
  if (open) {
    known->accepted = term_outcome::kSuperseded;
    known->next = {request.next};
  }
  known->heard = true;
  known->heard_at = now;
  known->active = true;
  return answer;
}

std::optional<attest_answer> witness::OnAttest(instant now, const attest_request& request) {
  if (Quiet(now)) return std::nullopt;
  AllowForOwnPause(now);
  attest_answer answer;
  answer.round = request.round;
  answer.term = request.term;
  answer.witness_process = process_;
  entry* known = Find(request.term);
  const bool presumable =
      request.no_successor_recorded && now - started_ >= rules_.lease_time + rules_.drift_margin;
  if (known == nullptr && presumable) {
    known = FindOrAdd(request.term);
    if (known != nullptr) known->presumed = true;
  }
  if (known == nullptr || (known->presumed && !presumable)) {
    answer.status = attest_status::kUnknown;
    return answer;
  }
  answer.active = known->active;
  answer.record = known->record;
  const bool closed = known->promised > 0 || known->accepted != term_outcome::kNone;
  if (!closed && known->heard && !Stale(now, *known)) {
    answer.status = attest_status::kAlive;
    return answer;
  }
  if (request.ballot < known->promised) {
    answer.status = attest_status::kHigherBallot;
    answer.ballot = known->promised;
    return answer;
  }
  known->promised = request.ballot;
  answer.status = attest_status::kPromised;
  answer.accepted = known->accepted;
  answer.ballot = known->accepted_ballot;
  answer.next = known->next;
  return answer;
}

std::optional<accept_answer> witness::OnAccept(instant now, const accept_request& request) {
  if (Quiet(now) || OtherProcess(request.witness_process)) return std::nullopt;
  accept_answer answer{request.round, request.term, false};
  entry* known = Find(request.term);
  if (known == nullptr || request.ballot < known->promised) return answer;
  known->promised = request.ballot;
  known->accepted = request.outcome;
  known->accepted_ballot = request.ballot;
  known->next = request.next;
  answer.accepted = true;
  return answer;
}

void witness::OnOutcome(const term_id& term, term_outcome outcome) {
  if (entry* known = Find(term)) known->known_outcome = outcome;
}

void witness::OnLapseAnswer(const node_name& from, const lapse_answer& answer) {
  if (entry* known = Find(answer.term)) known->notified.insert(from);
}

void witness::AllowForOwnPause(instant now) {
  const auto pause = now - last_tick_;
  last_tick_ = now;
  if (pause < kOwnPause) return;
  for (auto& [term, known] : terms_) {
    if (known.heard) known.heard_at = std::min(now, known.heard_at + pause);
  }
}

std::vector<send_message_action> witness::Tick(instant now) {
  AllowForOwnPause(now);
  std::vector<send_message_action> messages;
  for (auto& [term, known] : terms_) {
    if (known.record.empty() || !Stale(now, known)) continue;
    if (known.accepted == term_outcome::kSuperseded) continue;
    if (known.known_outcome == term_outcome::kSuperseded) continue;
    const auto interval = known.notices < kQuickNotices ? kNoticeInterval : kSlowNoticeInterval;
    if (known.notices > 0 && now - known.last_notice < interval) continue;
    known.last_notice = now;
    ++known.notices;
    const lapse_notice notice{known.record.front(), known.active};
    for (const node_name& node : Concerned(notice.record)) {
      if (!known.notified.contains(node)) messages.push_back({node, notice});
    }
  }
  return messages;
}

}  // namespace bulrushway
