#include "startup.h"

#include <algorithm>

#include "term_codec.h"

namespace bulrushway {
namespace {

constexpr std::chrono::milliseconds kAskInterval{300};
/// A read without an answer is repeated after this long.
constexpr std::chrono::milliseconds kReadInterval{2000};
/// An earlier process of the name that is alive for this long is reported.
constexpr std::chrono::milliseconds kDuplicatePatience{3000};
/// Rounds in a row without a verdict after which the earlier process counts as ended. Its term has
/// another number, so this is no matter of safety.
constexpr uint32_t kUndecidedRounds = 3;

}  // namespace

void startup::Begin(instant now, term_store& store, outbox& out) {
  step_ = step::kNodeRow;
  previous_.reset();
  ended_number_ = 0;
  undecided_ = 0;
  alive_logged_ = false;
  store.Cancel();
  store.Begin(now, out);
}

std::string startup::Prefix() const {
  if (step_ == step::kPreviousRow) return TermKey({settings_.node, latest_number_});
  if (step_ == step::kGenesis) return "genesis/" + settings_.service + "/";
  return "";
}

void startup::Enter(instant now, step next, outbox& out) {
  step_ = next;
  previous_since_ = now;
  last_asked_ = instant{};
  if (next == step::kPreviousRow || next == step::kGenesis) Read(now, out);
}

void startup::Read(instant now, outbox& out) {
  read_at_ = now;
  out.Add(read_prefix_action{Prefix()});
}

void startup::Tick(instant now, term_store& store, const term_outcomes& outcomes, attestor& rounds,
                   outbox& out) {
  if (step_ == step::kNodeRow && store.state() == term_store_state::kRead) {
    const auto& row = store.view().row;
    latest_number_ = row ? row->latest_number : 0;
    active_number_ = row ? row->active_number : 0;
    previous_address_ = row ? row->address : "";
    Enter(now, row && latest_number_ > 0 ? step::kPreviousRow : step::kGenesis, out);
    return;
  }
  if (step_ == step::kPreviousEnd) {
    AskForEnd(now, outcomes, rounds, out);
    return;
  }
  const bool reading = step_ == step::kPreviousRow || step_ == step::kGenesis;
  if (reading && now - *read_at_ >= kReadInterval) Read(now, out);
}

void startup::AskForEnd(instant now, const term_outcomes& outcomes, attestor& rounds, outbox& out) {
  // A latest term that is gone proves the end of its process only if it was in force: otherwise the
  // process may have gone on under the term before.
  const term_id before{settings_.node, previous_->predecessor};
  const bool gone = outcomes.Gone(previous_->id);
  const bool in_force = before.number == 0 || active_number_ >= latest_number_;
  const bool own = own_first_ != 0 && previous_->first_number == own_first_;
  const bool proven = own || (gone && (in_force || outcomes.Gone(before) || outcomes.Next(before)));
  if (proven || outcomes.Next(previous_->id) != nullptr || undecided_ >= kUndecidedRounds) {
    const bool all = previous_->first_number == 1 || previous_->ended_number > 0;
    ended_number_ = proven && all ? latest_number_ : 0;
    Enter(now, step::kGenesis, out);
  } else if (now - last_asked_ >= kAskInterval) {
    last_asked_ = now;
    rounds.Ask(now, previous_->id, previous_->witnesses, false, now, out);
    if (!in_force) rounds.Ask(now, before, previous_->predecessor_witnesses, false, now, out);
  }
}

void startup::OnRows(instant now, const std::string& prefix,
                     const result<std::vector<table_row>>& rows, outbox& out) {
  if (!rows || prefix.empty() || prefix != Prefix()) return;
  if (step_ == step::kPreviousRow) {
    OnPreviousRow(now, *rows, out);
  } else {
    OnGenesis(now, *rows, out);
  }
}

void startup::OnPreviousRow(instant now, const std::vector<table_row>& rows, outbox& out) {
  const std::string key = Prefix();
  const auto found =
      std::find_if(rows.begin(), rows.end(), [&](const table_row& row) { return row.key == key; });
  if (found == rows.end()) {
    Enter(now, step::kGenesis, out);
    return;
  }
  const result<term_record> record = DecodeTerm(found->value, key);
  if (!record) {
    out.Log(ownership_event::kBadRow, ToString(record.error()));
    return;
  }
  previous_ = *record;
  Enter(now, step::kPreviousEnd, out);
}

void startup::OnGenesis(instant now, const std::vector<table_row>& rows, outbox& out) {
  unclaimed_.clear();
  for (uint32_t partition = 0; partition < PartitionCount(settings_.layout); ++partition) {
    if (!PartitionAllowed(settings_.layout, partition, settings_.region)) continue;
    const std::string key = GenesisKey(settings_.service, partition);
    const bool claimed =
        std::any_of(rows.begin(), rows.end(), [&](const table_row& row) { return row.key == key; });
    if (!claimed) unclaimed_.push_back(partition);
  }
  Enter(now, step::kReady, out);
}

void startup::OnAttested(instant now, const attest_result& found, outbox& out) {
  if (step_ != step::kPreviousEnd || found.term.node != settings_.node) return;
  if (found.verdict == attest_verdict::kAlive) {
    undecided_ = 0;
    if (now - previous_since_ >= kDuplicatePatience) LogAlive(now, out);
  } else if (found.verdict == attest_verdict::kUndecided) {
    ++undecided_;
  }
}

void startup::LogAlive(instant now, outbox& out) {
  if (alive_logged_) return;
  alive_logged_ = true;
  previous_since_ = now;
  const bool moved = previous_address_ != settings_.address;
  out.Log(moved ? ownership_event::kAddressChanged : ownership_event::kDuplicateNode,
          "node " + settings_.node + " is alive at " + previous_address_ + " in term " +
              ToString(previous_->id) + "; this process at " + settings_.address +
              " waits for its end");
}

}  // namespace bulrushway
