#include "term_store.h"

#include <algorithm>

namespace bulrushway {
namespace {

/// Without an answer for this long the outcome counts as unknown.
constexpr std::chrono::milliseconds kAnswerTimeout{3000};
constexpr std::chrono::milliseconds kFirstPause{200};
constexpr std::chrono::milliseconds kLongestPause{5000};
/// Doublings of the pause at most.
constexpr uint32_t kMaxDoublings = 5;

}  // namespace

term_store::term_store(node_name node, uint64_t process)
    : node_(std::move(node)), process_(process) {}

void term_store::Begin(instant now, outbox& out) {
  if (state_ != term_store_state::kIdle) return;
  state_ = term_store_state::kReading;
  SendStep(now, out);
}

void term_store::SendStep(instant now, outbox& out) {
  retry_at_.reset();
  sent_ = now;
  if (state_ == term_store_state::kReading) out.Add(read_prefix_action{NodeKey(node_)});
  if (state_ == term_store_state::kCommitting) out.Add(commit_action{change_});
  if (state_ == term_store_state::kReadingBack) out.Add(read_prefix_action{term_key_});
}

void term_store::Commit(instant now, const term_record& record, const node_row& row,
                        std::vector<table_condition> conditions, std::vector<table_write> writes,
                        outbox& out) {
  term_key_ = TermKey(record.id);
  term_text_ = EncodeTerm(record);
  change_.operation =
      ToString(record.id) + "/" + std::to_string(process_) + "/" + std::to_string(++operations_);
  change_.conditions = std::move(conditions);
  change_.conditions.push_back({NodeKey(node_), view_.version});
  change_.conditions.push_back({term_key_, 0});
  change_.writes = std::move(writes);
  change_.writes.push_back({NodeKey(node_), EncodeNodeRow(row)});
  change_.writes.push_back({term_key_, term_text_});
  commit_unknown_ = false;
  state_ = term_store_state::kCommitting;
  SendStep(now, out);
}

void term_store::CommitRow(instant now, const node_row& row, std::vector<table_write> writes,
                           outbox& out) {
  term_key_.clear();
  change_.operation =
      "node/" + node_ + "/" + std::to_string(process_) + "/" + std::to_string(++operations_);
  change_.conditions = {{NodeKey(node_), view_.version}};
  commit_unknown_ = false;
  change_.writes = std::move(writes);
  change_.writes.push_back({NodeKey(node_), EncodeNodeRow(row)});
  state_ = term_store_state::kCommitting;
  SendStep(now, out);
}

void term_store::Cancel() {
  state_ = term_store_state::kIdle;
  retry_at_.reset();
}

void term_store::Fail(instant now, outbox& out) {
  if (failures_++ == 0) {
    out.Log(ownership_event::kTableUnavailable, "the table does not answer");
  }
  const auto pause = kFirstPause * (1U << std::min(failures_, kMaxDoublings));
  retry_at_ = now + std::min<std::chrono::milliseconds>(pause, kLongestPause);
}

void term_store::LoseAnswer(instant now, outbox& out) {
  // A write without a term is repeated under its operation id; a term is read back first.
  if (state_ == term_store_state::kCommitting && !term_key_.empty()) {
    state_ = term_store_state::kReadingBack;
    commit_unknown_ = true;
  }
  Fail(now, out);
}

void term_store::Answered(outbox& out) {
  if (failures_ > 0) out.Log(ownership_event::kTableBack, "the table answers again");
  failures_ = 0;
}

void term_store::OnRows(instant now, const std::string& prefix,
                        const result<std::vector<table_row>>& rows, outbox& out) {
  const bool node_read = state_ == term_store_state::kReading && prefix == NodeKey(node_);
  const bool read_back = state_ == term_store_state::kReadingBack && prefix == term_key_;
  if ((!node_read && !read_back) || retry_at_) return;
  if (!rows) {
    Fail(now, out);
    return;
  }
  Answered(out);
  if (node_read) OnNodeRow(now, *rows, out);
  if (read_back) OnReadBack(now, *rows, out);
}

void term_store::OnNodeRow(instant now, const std::vector<table_row>& rows, outbox& out) {
  view_ = {};
  for (const table_row& row : rows) {
    if (row.key != NodeKey(node_)) continue;
    const result<node_row> decoded = DecodeNodeRow(row.value, row.key);
    if (!decoded) {
      out.Log(ownership_event::kBadRow, ToString(decoded.error()));
      retry_at_ = now + kLongestPause;
      return;
    }
    view_.row = *decoded;
    view_.version = row.version;
  }
  state_ = term_store_state::kRead;
}

void term_store::OnReadBack(instant now, const std::vector<table_row>& rows, outbox& out) {
  const auto found = std::find_if(rows.begin(), rows.end(),
                                  [&](const table_row& row) { return row.key == term_key_; });
  if (found == rows.end()) {
    // Not written so far; the same operation id makes the repeat harmless if the first attempt is
    // still on its way.
    state_ = term_store_state::kCommitting;
    SendStep(now, out);
    return;
  }
  state_ = found->value == term_text_ ? term_store_state::kApplied : term_store_state::kConflict;
}

void term_store::OnCommit(instant now, const std::string& operation, commit_outcome outcome,
                          outbox& out) {
  if (state_ != term_store_state::kCommitting || operation != change_.operation) return;
  if (outcome == commit_outcome::kUnknown) {
    LoseAnswer(now, out);
    return;
  }
  Answered(out);
  if (outcome == commit_outcome::kApplied) {
    state_ = term_store_state::kApplied;
  } else if (commit_unknown_) {
    state_ = term_store_state::kReadingBack;
    commit_unknown_ = false;
    SendStep(now, out);
  } else {
    state_ = term_store_state::kConflict;
  }
}

void term_store::Tick(instant now, std::mt19937_64& random, outbox& out) {
  const bool waiting = state_ == term_store_state::kReading ||
                       state_ == term_store_state::kCommitting ||
                       state_ == term_store_state::kReadingBack;
  if (!waiting) return;
  if (retry_at_) {
    if (now < *retry_at_) return;
    // Spreads the retries of many nodes after an outage.
    if (random() % 2 == 0) return;
    SendStep(now, out);
    return;
  }
  if (now - sent_ < kAnswerTimeout) return;
  LoseAnswer(now, out);
}

}  // namespace bulrushway
