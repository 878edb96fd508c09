#ifndef BULRUSHWAY_CTL_COMMIT_H
#define BULRUSHWAY_CTL_COMMIT_H

// The one path on which every verb commits: check whole, show warnings and difference, commit, tell
// the nodes, and wait for them if asked.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration_parser.h"
#include "ctl_session.h"

namespace bulrushway {

/// Documents to be put in force, and the version that they were made from.
struct ctl_edit {
  configuration_texts texts;
  uint64_t base_version = 0;
  /// Used when the user gave no note.
  std::string default_note;
};

/// What became of an edit.
struct ctl_commit_result {
  ctl_exit exit = ctl_exit::kOk;
  /// The version that holds the edit; absent when it is not in force.
  std::optional<uint64_t> version;
};

/// Commits the edit against `current`, which is the newest version that was read. Prints
/// everything.
ctl_commit_result CommitEdit(ctl_session& session, const stored_configuration& current,
                             const ctl_edit& edit);

/// Reads a stored version as a configuration; empty when there is none yet.
checked<checked_configuration> ParseStored(const stored_configuration& stored);

/// Prints all errors; always kUser.
ctl_exit ReportErrors(const ctl_session& session, const std::vector<error>& errors);

/// Prints the error of a call to the platform and says how to exit.
ctl_exit ReportFailure(const ctl_session& session, const error& failure);

/// Prints warnings to standard error.
void ReportWarnings(const ctl_session& session, const std::vector<configuration_warning>& warnings);

/// The present UTC time.
std::chrono::sys_seconds UtcNow();

}  // namespace bulrushway

#endif  // BULRUSHWAY_CTL_COMMIT_H
