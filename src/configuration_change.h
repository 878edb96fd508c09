#ifndef BULRUSHWAY_CONFIGURATION_CHANGE_H
#define BULRUSHWAY_CONFIGURATION_CHANGE_H

// The parts of committing a configuration that need no I/O: validation of a change, its table rows,
// and the messages about its outcome.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration_head.h"
#include "table_service.h"

namespace bulrushway {

/// Platform failures after which an apply gives up, and the delay after the first one;
/// the delay doubles with each further failure.
inline constexpr int kMaxApplyFailures = 6;
inline constexpr std::chrono::milliseconds kInitialApplyBackoff{100};
/// Maximum number of versions listed in a conflict message.
inline constexpr size_t kMaxReportedConflicts = 20;

/// The newest head and the version of its table row; no head and 0 before the first commit.
struct stored_head {
  std::optional<configuration_head> head;
  uint64_t row_version = 0;

  uint64_t version() const { return head ? head->version : 0; }
};

/// A version of the configuration with its documents.
struct stored_configuration {
  stored_head head_row;
  std::string inventory;
  std::string rules;
};

/// A change to commit.
struct configuration_change {
  /// The version that the change is based on; 0 for the first.
  uint64_t base_version = 0;
  std::string inventory;
  std::string rules;
  std::string author;
  std::string note;
  /// Unique id of this attempt. Retries reuse it.
  std::string operation;
  std::chrono::sys_seconds time;
};

/// Outcome of committing a change.
enum class apply_state {
  /// Durable and in force.
  kAccepted,
  /// Refused: another change was committed first.
  kConflict,
  /// Certainly not in force: the platform did not answer before the commit was sent, or the change
  /// is invalid.
  kNotApplied,
  /// The platform answered neither the commit nor the read that checks it. The operation id in the
  /// history shows the outcome later.
  kUnknown,
};

/// "accepted", "conflict", "not applied" or "unknown".
std::string_view Name(apply_state state);

/// Result of applying a change.
struct apply_outcome {
  apply_state state = apply_state::kNotApplied;
  /// The new head when accepted; the head that may have been committed when unknown.
  configuration_head head;
  /// On a conflict: the versions committed since the base version, newest first.
  std::vector<configuration_head> newer_heads;
  /// A full sentence for the operator.
  std::string message;
};

/// Why a change cannot be committed, as a sentence; empty when it can.
std::string ValidationError(const configuration_change& change);

/// The head of the version that the change creates.
configuration_head MakeHead(const configuration_change& change);

/// Writes the head's row, on condition that it still has `row_version`, and inserts the history
/// row.
transaction MakeTransaction(const configuration_head& head, uint64_t row_version);

/// Finds the head among rows read by the prefix kHeadKey.
result<stored_head> FindHead(const std::vector<table_row>& rows);

/// Finds the head of a version among rows read by its history key.
result<std::optional<configuration_head>> FindHistoryHead(const std::vector<table_row>& rows,
                                                          uint64_t version);

/// Appends the heads of versions up to `newest`, newest first, until `heads` holds `count`. Rows
/// that cannot be decoded are skipped.
void AppendHistory(const std::vector<table_row>& rows, uint64_t newest, size_t count,
                   std::vector<configuration_head>& heads);

/// Returns the bytes, or an error when their hash differs from `hash`.
result<std::string> VerifyDocument(const std::string& hash, const std::string& bytes);

/// The error for a head whose format this program does not support.
tl::unexpected<error> NewerFormatError(const configuration_head& head);

/// Lists who changed what since `base`. `heads` are newest first and may end with the base's head,
/// to which the first change is compared.
std::string DescribeConflict(uint64_t base, uint64_t newest,
                             const std::vector<configuration_head>& heads);

/// Explains that the platform did not answer and whether the change may be in force.
std::string DescribePlatformFailure(apply_state state, const std::string& operation,
                                    const error& cause);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_CHANGE_H
