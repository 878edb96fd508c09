#include "recovery.h"

#include <algorithm>

#include "term_codec.h"

namespace bulrushway {
namespace {

/// Time between two attempts for one term.
constexpr std::chrono::milliseconds kProofInterval{1500};
constexpr std::chrono::milliseconds kAdoptInterval{1000};
constexpr std::chrono::milliseconds kForwardInterval{1000};
/// Work without an answer from the table is given up after this long.
constexpr std::chrono::milliseconds kWorkTimeout{3000};
/// The pause doubles after so many attempts, up to a limit.
constexpr uint32_t kTriesPerDoubling = 4;
constexpr uint32_t kMaxDoublings = 6;
constexpr size_t kMaxProofs = 256;
const char kAllTerms[] = "term/";
constexpr size_t kMaxRemembered = 4096;

std::string TermPrefix(const node_name& node) { return "term/" + node + "/"; }

/// The terms of the rows; none if one does not parse, since it might be a successor.
std::optional<std::vector<term_record>> DecodeAll(const std::vector<table_row>& rows, outbox& out) {
  std::vector<term_record> records;
  for (const table_row& row : rows) {
    result<term_record> record = DecodeTerm(row.value, row.key);
    if (!record) {
      out.Log(ownership_event::kBadRow, ToString(record.error()));
      return std::nullopt;
    }
    records.push_back(std::move(*record));
  }
  return records;
}

/// Whether the rows show that the term was in force: it is the one that its node noted, or the
/// predecessor of one that was in force.
bool InForce(const std::vector<term_record>& records, uint64_t number, uint64_t noted) {
  while (number < noted) {
    const auto later = std::find_if(records.begin(), records.end(), [&](const term_record& record) {
      return record.predecessor == number;
    });
    const auto rivals =
        std::count_if(records.begin(), records.end(),
                      [&](const term_record& record) { return record.predecessor == number; });
    if (rivals != 1) return false;
    number = later->id.number;
  }
  return number == noted;
}

/// Whether the rows show that no term has `number` as its predecessor: every later number is
/// present without naming it, or belongs to a later process.
bool NoSuccessor(const std::vector<term_record>& records, uint64_t number, uint64_t latest) {
  for (uint64_t later = number + 1; later <= latest; ++later) {
    const bool new_process =
        std::any_of(records.begin(), records.end(),
                    [&](const term_record& record) { return record.first_number == later; });
    if (new_process) return true;
    const auto found = std::find_if(records.begin(), records.end(), [&](const term_record& record) {
      return record.id.number == later;
    });
    if (found == records.end() || found->predecessor == number) return false;
  }
  return true;
}

}  // namespace

void recovery::WantProof(instant now, const term_id& term,
                         const std::vector<node_name>& witnesses) {
  if (proofs_.size() >= kMaxProofs || !Due(now, term, kProofInterval)) return;
  proofs_.push_back({term, witnesses});
}

bool recovery::Due(instant now, const term_id& term, std::chrono::milliseconds interval) {
  if (attempts_.size() > kMaxRemembered) attempts_.clear();
  const auto known = attempts_.find(term);
  if (known == attempts_.end()) {
    attempts_[term] = {now, 0};
    return true;
  }
  attempt& last = known->second;
  if (now - last.at < interval * (1U << std::min(last.count / kTriesPerDoubling, kMaxDoublings))) {
    return false;
  }
  last = {now, last.count + 1};
  return true;
}

void recovery::StartWork(instant now, work started, outbox& out) {
  started.read_sent = now;
  if (started.wanted_proof) out.Add(read_prefix_action{NodeKey(started.node)});
  out.Add(read_prefix_action{TermPrefix(started.node)});
  work_ = std::move(started);
}

void recovery::Tick(instant now, const heir& self, const std::vector<member>& members,
                    const inheritance& records, std::mt19937_64& random, outbox& out) {
  if (work_ && now - work_->read_sent >= kWorkTimeout) work_.reset();
  if (work_) return;
  if (!proofs_.empty()) {
    work started;
    started.node = proofs_.front().term.node;
    started.wanted_proof = proofs_.front();
    proofs_.pop_front();
    StartWork(now, std::move(started), out);
    return;
  }
  if (self.term.number == 0) return;
  for (const term_record& record : records.Orphans()) {
    if (!records.HasOrphanFor(record.id, settings_.region)) {
      if (Due(now, record.id, kForwardInterval)) {
        Forward(now, record, members, records, random, out);
      }
      continue;
    }
    // Spreads the attempts of several heirs.
    if (random() % 4 != 0 || !Due(now, record.id, kAdoptInterval)) continue;
    work started;
    started.node = record.id.node;
    started.adopted = record.id;
    StartWork(now, std::move(started), out);
    return;
  }
}

void recovery::Forward(instant now, const term_record& record, const std::vector<member>& members,
                       const inheritance& records, std::mt19937_64& random, outbox& out) {
  (void)now;
  std::vector<node_name> able;
  for (const member& other : members) {
    if (!other.owner_capable || other.leaving || other.service != settings_.service) continue;
    if (records.HasOrphanFor(record.id, other.region)) able.push_back(other.node);
  }
  if (able.empty()) return;
  out.Send(able[random() % able.size()], lapse_notice{record, true});
}

void recovery::OnRows(instant now, const std::string& prefix,
                      const result<std::vector<table_row>>& rows, const heir& self,
                      inheritance& records, term_outcomes& outcomes, attestor& rounds,
                      outbox& out) {
  if (!work_ || !work_->operation.empty()) return;
  const bool node_read = work_->wanted_proof && prefix == NodeKey(work_->node);
  const bool term_read = prefix == (work_->ended ? kAllTerms : TermPrefix(work_->node));
  if (!node_read && !term_read) return;
  if (!rows) {
    work_.reset();
    return;
  }
  if (node_read) work_->node_rows = *rows;
  if (term_read) work_->term_rows = *rows;
  if (work_->ended) {
    FinishScan(records, out);
  } else if (work_->adopted && work_->term_rows) {
    Adopt(now, self, records, out);
  } else if (work_->node_rows && work_->term_rows) {
    FinishProof(now, outcomes, rounds, out);
  }
}

void recovery::FinishProof(instant now, term_outcomes& outcomes, attestor& rounds, outbox& out) {
  const work done = *std::exchange(work_, std::nullopt);
  const term_id& term = done.wanted_proof->term;
  const std::string key = NodeKey(done.node);
  const auto row = std::find_if(done.node_rows->begin(), done.node_rows->end(),
                                [&](const table_row& item) { return item.key == key; });
  if (row == done.node_rows->end()) return;
  const result<node_row> node = DecodeNodeRow(row->value, key);
  const auto terms = DecodeAll(*done.term_rows, out);
  if (!node || !terms) return;
  for (const term_record& record : *terms) {
    if (record.predecessor != term.number) continue;
    if (!InForce(*terms, record.id.number, node->active_number)) continue;
    outcomes.NoteSuperseded(term, record);
    return;
  }
  const bool ended = std::any_of(terms->begin(), terms->end(), [&](const term_record& record) {
    return record.first_number > term.number && record.ended_number >= term.number;
  });
  if (!NoSuccessor(*terms, term.number, node->latest_number)) {
    if (ended) Scan(now, term, out);
    return;
  }
  rounds.Ask(now, term, done.wanted_proof->witnesses, true, done.read_sent, out);
}

void recovery::Scan(instant now, const term_id& ended, outbox& out) {
  work started;
  started.ended = ended;
  started.read_sent = now;
  work_ = std::move(started);
  out.Add(read_prefix_action{kAllTerms});
}

void recovery::FinishScan(inheritance& records, outbox& out) {
  const work done = *std::exchange(work_, std::nullopt);
  const auto terms = DecodeAll(*done.term_rows, out);
  if (terms) records.PassOver(*done.ended, *terms);
}

void recovery::Adopt(instant now, const heir& self, inheritance& records, outbox& out) {
  (void)now;
  const term_id term = *work_->adopted;
  const auto row = std::find_if(work_->term_rows->begin(), work_->term_rows->end(),
                                [&](const table_row& item) { return item.key == TermKey(term); });
  if (row == work_->term_rows->end()) {
    records.Forget(term);
    work_.reset();
    return;
  }
  result<term_record> record = DecodeTerm(row->value, row->key);
  if (!record) out.Log(ownership_event::kBadRow, ToString(record.error()));
  const auto orphans = records.Orphans();
  const bool same = record && std::find(orphans.begin(), orphans.end(), *record) != orphans.end();
  if (!same || self.term.number == 0) {
    // The table's record may have late heirs that this node does not know: they come first.
    if (record) records.Refresh(*record);
    work_.reset();
    return;
  }
  work_->extended = *record;
  work_->extended.late_heirs.push_back(self);
  transaction change;
  change.operation = "adopt/" + ToString(term) + "/" + settings_.node + "/" +
                     std::to_string(process_) + "/" + std::to_string(++operations_);
  change.conditions.push_back({row->key, row->version});
  change.writes.push_back({row->key, EncodeTerm(work_->extended)});
  work_->operation = change.operation;
  out.Add(commit_action{std::move(change)});
}

void recovery::OnCommit(instant now, const std::string& operation, commit_outcome outcome,
                        inheritance& records) {
  (void)now;
  if (!work_ || work_->operation.empty() || operation != work_->operation) return;
  const work done = *std::exchange(work_, std::nullopt);
  // Without an answer the next attempt reads the row again, which shows whether this one took
  // effect.
  if (outcome != commit_outcome::kApplied) return;
  records.Refresh(done.extended);
}

}  // namespace bulrushway
