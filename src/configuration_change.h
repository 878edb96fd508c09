#ifndef BULRUSHWAY_CONFIGURATION_CHANGE_H
#define BULRUSHWAY_CONFIGURATION_CHANGE_H

// The decisions of committing a configuration that need no platform: what a change is, how its rows
// look, and how outcomes read.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration_head.h"
#include "table_service.h"

namespace bulrushway {

/// Failures of the platform after which an apply gives up, and the wait after the first of them;
/// each further wait is twice as long.
inline constexpr int kMaxApplyFailures = 6;
inline constexpr std::chrono::milliseconds kInitialApplyBackoff{100};
/// Versions named in a conflict at most.
inline constexpr size_t kMaxReportedConflicts = 20;

/// The newest head and the version of its row; no head and 0 before the first commit.
struct stored_head {
  std::optional<configuration_head> head;
  uint64_t row_version = 0;

  uint64_t version() const { return head ? head->version : 0; }
};

/// A version with its documents.
struct stored_configuration {
  stored_head head_row;
  std::string inventory;
  std::string rules;
};

/// An edit that somebody wants in force.
struct configuration_change {
  /// The version that was edited; 0 for the first.
  uint64_t base_version = 0;
  std::string inventory;
  std::string rules;
  std::string author;
  std::string note;
  /// Unique name of this attempt.
  std::string operation;
  std::chrono::sys_seconds time;
};

/// What became of a change.
enum class apply_state {
  /// Durable and in force.
  kAccepted,
  /// Refused: another change came first.
  kConflict,
  /// Certainly not in force: the platform did not answer before the commit, or the change is
  /// malformed.
  kNotApplied,
  /// The platform answered neither the commit nor the reading back; the operation id tells later.
  kUnknown,
};

/// "accepted", "conflict", "not applied" or "unknown".
std::string_view Name(apply_state state);

/// Outcome of a change.
struct apply_outcome {
  apply_state state = apply_state::kNotApplied;
  /// The new head when accepted; what may have been committed when unknown.
  configuration_head head;
  /// On a conflict: versions committed since the base, newest first.
  std::vector<configuration_head> newer_heads;
  /// A full sentence.
  std::string message;
};

/// Why a change cannot be committed; empty when it can.
std::string ValidationError(const configuration_change& change);

/// The head that the change would make.
configuration_head MakeHead(const configuration_change& change);

/// Writes the head's row, against the row version that was read, and its history row.
transaction MakeTransaction(const configuration_head& head, uint64_t row_version);

/// The head among rows read by the head's key.
result<stored_head> FindHead(const std::vector<table_row>& rows);

/// The head of a version among rows read by its history key.
result<std::optional<configuration_head>> FindHistoryHead(const std::vector<table_row>& rows,
                                                          uint64_t version);

/// Adds the heads of versions up to `newest`, newest first, until `found` holds `count`. Rows that
/// cannot be read are left out.
void AppendHistory(const std::vector<table_row>& rows, uint64_t newest, size_t count,
                   std::vector<configuration_head>& heads);

/// The bytes, or an error when they do not have this hash.
result<std::string> VerifyDocument(const std::string& hash, const std::string& bytes);

/// The error for a head written by a newer program.
tl::unexpected<error> NewerFormatError(const configuration_head& head);

/// Says who changed what since `base`. `heads` may hold the base too, to compare with.
std::string DescribeConflict(uint64_t base, uint64_t newest,
                             const std::vector<configuration_head>& heads);

/// Says that the platform did not answer, and what that means for the change.
std::string DescribePlatformFailure(apply_state state, const std::string& operation,
                                    const error& cause);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_CHANGE_H
