#ifndef BULRUSHWAY_TERM_STORE_H
#define BULRUSHWAY_TERM_STORE_H

// Writes a node's terms to the platform's table: read the node's row, commit the new term on the
// condition that the row did not change, and read back before anything is concluded from a lost
// answer. One write at a time; what fails is repeated with a growing pause.

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "clock.h"
#include "ownership_types.h"
#include "term_codec.h"

namespace bulrushway {

/// What the node's row says.
struct node_view {
  std::optional<node_row> row;
  uint64_t version = 0;
};

/// How far a write is.
enum class term_store_state : uint8_t {
  kIdle,
  kReading,
  /// The row was read: the caller composes the term and calls Commit, or Cancel.
  kRead,
  kCommitting,
  kReadingBack,
  kApplied,
  kConflict,
};

/// The table as one node's terms need it.
class term_store {
 public:
  /// `process` makes operation ids unique.
  term_store(node_name node, uint64_t process);

  /// Starts to read the node's row.
  void Begin(instant now, outbox& out);
  /// Writes the term and the node row. Conditions and writes are added to those of the term itself.
  void Commit(instant now, const term_record& record, const node_row& row,
              std::vector<table_condition> conditions, std::vector<table_write> writes,
              outbox& out);
  /// Writes the node row alone. The writes are added.
  void CommitRow(instant now, const node_row& row, std::vector<table_write> writes, outbox& out);
  /// Back to idle.
  void Cancel();

  void OnRows(instant now, const std::string& prefix, const result<std::vector<table_row>>& rows,
              outbox& out);
  void OnCommit(instant now, const std::string& operation, commit_outcome outcome, outbox& out);
  /// Repeats what got no answer.
  void Tick(instant now, std::mt19937_64& random, outbox& out);

  term_store_state state() const { return state_; }
  const node_view& view() const { return view_; }
  /// The table did not answer the last attempts.
  bool Unavailable() const { return failures_ > 0; }

 private:
  void Fail(instant now, outbox& out);
  void LoseAnswer(instant now, outbox& out);
  void OnNodeRow(instant now, const std::vector<table_row>& rows, outbox& out);
  void OnReadBack(instant now, const std::vector<table_row>& rows, outbox& out);
  void Answered(outbox& out);
  void SendStep(instant now, outbox& out);

  node_name node_;
  uint64_t process_;
  uint64_t operations_ = 0;
  term_store_state state_ = term_store_state::kIdle;
  node_view view_;
  transaction change_;
  std::string term_key_;
  std::string term_text_;
  instant sent_;
  /// When to repeat the step; set while no answer is awaited.
  std::optional<instant> retry_at_;
  bool commit_unknown_ = false;
  uint32_t failures_ = 0;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_TERM_STORE_H
