#ifndef BULRUSHWAY_CTL_COMMIT_H
#define BULRUSHWAY_CTL_COMMIT_H

// Commits a new version of the configuration, for all verbs that change it: validates the
// documents, prints warnings and the difference, commits, notifies the nodes, and waits until they
// have adopted the version if --wait is set.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration_parser.h"
#include "ctl_session.h"

namespace bulrushway {

/// Documents to commit, and the version on which they are based.
struct ctl_edit {
  configuration_texts texts;
  uint64_t base_version = 0;
  /// Note for the history when --note is empty.
  std::string default_note;
};

/// Outcome of CommitEdit().
struct ctl_commit_result {
  ctl_exit exit = ctl_exit::kOk;
  /// Version that contains the edit; absent when the edit was not committed.
  std::optional<uint64_t> version;
};

/// Commits `edit` and prints warnings, the difference and the outcome. `current` is the newest
/// version that was read; an edit that equals it is not committed again.
ctl_commit_result CommitEdit(ctl_session& session, const stored_configuration& current,
                             const ctl_edit& edit);

/// Parses a stored version; an empty configuration when nothing is stored yet.
checked<checked_configuration> ParseStored(const stored_configuration& stored);

/// Prints all errors; returns kUserError.
ctl_exit ReportErrors(const ctl_session& session, const std::vector<error>& errors);

/// Prints the error of a call to the platform or of a file; returns the matching exit code.
ctl_exit ReportFailure(const ctl_session& session, const error& failure);

/// Prints warnings to standard error.
void ReportWarnings(const ctl_session& session, const std::vector<configuration_warning>& warnings);

/// Current UTC time, in whole seconds.
std::chrono::sys_seconds UtcNow();

}  // namespace bulrushway

#endif  // BULRUSHWAY_CTL_COMMIT_H
