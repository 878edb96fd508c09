#include "ctl_commit.h"

#include <nlohmann/json.hpp>
#include <random>

#include "configuration_check.h"
#include "configuration_diff.h"
#include "ctl_json.h"
#include "ctl_survey.h"

namespace bulrushway {
namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds kRolloutPollInterval{50};

// Progress of the nodes in adopting a version; `elapsed` is the time since the commit, and
// `lagging` names the nodes that have not adopted it or do not answer.
struct rollout_progress {
  bool waited = false;
  std::chrono::milliseconds elapsed{0};
  std::vector<std::string> lagging;
};

std::string NewOperationId(const std::string& author) {
  std::random_device entropy;
  const uint64_t number = uint64_t{entropy()} << 32 | entropy();
  return author + "-" + std::to_string(number);
}

configuration_change MakeChange(const ctl_session& session, const ctl_edit& edit) {
  const ctl_options& options = session.options();
  configuration_change change;
  change.base_version = edit.base_version;
  change.inventory = edit.texts.inventory;
  change.rules = edit.texts.rules;
  change.author = options.author;
  change.note = options.note.empty() ? edit.default_note : options.note;
  change.operation = NewOperationId(options.author);
  change.time = UtcNow();
  return change;
}

// Makes the nodes read the new version at once. A node that misses this call reads the version at
// its next regular poll.
void PokeNodes(ctl_session& session) {
  session.SendToNodes(session.options().nodes, {"POST", "/-/config/poke", {}, {}});
}

std::vector<std::string> LaggingNodes(const std::vector<node_status>& fleet, uint64_t version) {
  std::vector<std::string> names;
  for (const node_status& status : fleet) {
    if (status.reachable && status.config_version >= version) continue;
    names.push_back(status.node.empty() ? ToString(status.address) : status.node);
  }
  return names;
}

rollout_progress WaitForNodes(ctl_session& session, uint64_t version, instant accepted_at) {
  rollout_progress rollout;
  const instant end = accepted_at + session.options().wait;
  rollout.waited = true;
  while (true) {
    rollout.lagging = LaggingNodes(SurveyFleet(session), version);
    rollout.elapsed =
        std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - accepted_at);
    if (rollout.lagging.empty() || boot_clock::now() >= end) return rollout;
    session.Sleep(kRolloutPollInterval);
  }
}

json ToJsonList(const std::vector<configuration_warning>& warnings) {
  json list = json::array();
  for (const auto& warning : warnings) {
    list.push_back({{"place", warning.location}, {"message", warning.message}});
  }
  return list;
}

json ToJsonList(const std::vector<configuration_head>& heads) {
  json list = json::array();
  for (const configuration_head& head : heads) list.push_back(json::parse(Encode(head)));
  return list;
}

void PrintOutcome(const ctl_session& session, const apply_outcome& outcome,
                  const configuration_diff& diff,
                  const std::vector<configuration_warning>& warnings,
                  const rollout_progress& rollout) {
  if (!session.options().json) {
    session.Print(outcome.message);
    if (!rollout.waited) return;
    session.Print(rollout.lagging.empty()
                      ? "In force at every node after " + std::to_string(rollout.elapsed.count()) +
                            " ms."
                      : "Not in force at " + std::to_string(rollout.lagging.size()) +
                            " nodes after " + std::to_string(rollout.elapsed.count()) + " ms:");
    for (const std::string& name : rollout.lagging) session.Print("  " + name);
    return;
  }
  json value = {{"state", Name(outcome.state)},
                {"message", outcome.message},
                {"operation", outcome.head.operation},
                {"version", outcome.head.version},
                {"diff", json::parse(ToJson(diff))},
                {"warnings", ToJsonList(warnings)},
                {"meanwhile", ToJsonList(outcome.newer_heads)}};
  if (rollout.waited) {
    value["in_force_after_ms"] = rollout.elapsed.count();
    value["lagging"] = rollout.lagging;
  }
  session.Print(Dump(value));
}

ctl_exit ExitOf(const apply_outcome& outcome, const rollout_progress& rollout) {
  switch (outcome.state) {
    case apply_state::kAccepted:
      return rollout.lagging.empty() ? ctl_exit::kOk : ctl_exit::kUnreachable;
    case apply_state::kConflict:
      return ctl_exit::kConflict;
    case apply_state::kNotApplied:
    case apply_state::kUnknown:
      return ctl_exit::kUnreachable;
  }
  return ctl_exit::kUnreachable;
}

}  // namespace

std::chrono::sys_seconds UtcNow() {
  return std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
}

checked<checked_configuration> ParseStored(const stored_configuration& stored) {
  if (!stored.head_row.head) return checked_configuration{};
  const std::string version = "version " + std::to_string(stored.head_row.version());
  return ParseConfiguration(
      {version + " inventory", stored.inventory, version + " rules", stored.rules}, UtcNow());
}

ctl_exit ReportErrors(const ctl_session& session, const std::vector<error>& errors) {
  for (const error& failure : errors) session.PrintError(ToString(failure));
  if (session.options().json) {
    json list = json::array();
    for (const error& failure : errors) {
      list.push_back(
          {{"step", failure.step}, {"place", failure.peer}, {"message", failure.message}});
    }
    session.Print(Dump({{"state", "invalid"}, {"errors", list}}));
  }
  return ctl_exit::kUserError;
}

ctl_exit ReportFailure(const ctl_session& session, const error& failure) {
  ReportErrors(session, {failure});
  return failure.kind == error_kind::kUser ? ctl_exit::kUserError : ctl_exit::kUnreachable;
}

void ReportWarnings(const ctl_session& session,
                    const std::vector<configuration_warning>& warnings) {
  for (const configuration_warning& warning : warnings) {
    session.PrintError("warning: " + warning.location + ": " + warning.message);
  }
}

namespace {

// Reads the version on which the edit is based. It is older than `current` if another change was
// committed in between.
result<stored_configuration> ReadBase(ctl_session& session, const stored_configuration& current,
                                      uint64_t base_version) {
  if (base_version == current.head_row.version()) return current;
  if (base_version == 0) return stored_configuration{};
  return session.ReadVersion(base_version);
}

bool IsAlreadyInForce(const stored_configuration& current, const ctl_edit& edit) {
  return current.head_row.head && edit.base_version == current.head_row.version() &&
         edit.texts.inventory == current.inventory && edit.texts.rules == current.rules;
}

void PrintUnchanged(const ctl_session& session, uint64_t version) {
  const std::string message =
      "Version " + std::to_string(version) + " already has this content; nothing was changed.";
  session.Print(session.options().json
                    ? Dump({{"state", "unchanged"}, {"version", version}, {"message", message}})
                    : message);
}

// After a conflict, prints the difference between the edit's base and the newest version.
void PrintConcurrentChanges(ctl_session& session, const configuration& base) {
  const auto newest = session.ReadCurrent();
  if (!newest) return;
  const auto value = ParseStored(*newest);
  if (!value || session.options().json) return;
  session.Print("Changed meanwhile:\n" + ToText(Diff(base, value->value)));
}

}  // namespace

ctl_commit_result CommitEdit(ctl_session& session, const stored_configuration& current,
                             const ctl_edit& edit) {
  if (IsAlreadyInForce(current, edit)) {
    PrintUnchanged(session, current.head_row.version());
    return {ctl_exit::kOk, current.head_row.version()};
  }
  const auto after = ParseConfiguration(edit.texts, UtcNow());
  if (!after) return {ReportErrors(session, after.error()), {}};
  ReportWarnings(session, after->warnings);
  const auto base = ReadBase(session, current, edit.base_version);
  if (!base) return {ReportFailure(session, base.error()), {}};
  // A base version that this program cannot parse does not prevent its replacement.
  const configuration before = ParseStored(*base).value_or(checked_configuration{}).value;
  const std::vector<error> change_errors =
      CheckChange(before, after->value, edit.texts.inventory_file);
  if (!change_errors.empty()) return {ReportErrors(session, change_errors), {}};
  const configuration_diff diff = Diff(before, after->value);
  if (!session.options().json) session.Print(ToText(diff));
  const apply_outcome outcome = session.Apply(MakeChange(session, edit));
  const instant accepted_at = boot_clock::now();
  rollout_progress rollout;
  if (outcome.state == apply_state::kAccepted && !session.options().nodes.empty()) {
    PokeNodes(session);
    if (session.options().wait.count() > 0) {
      rollout = WaitForNodes(session, outcome.head.version, accepted_at);
    }
  }
  PrintOutcome(session, outcome, diff, after->warnings, rollout);
  if (outcome.state == apply_state::kConflict) PrintConcurrentChanges(session, before);
  ctl_commit_result commit_result{ExitOf(outcome, rollout), {}};
  if (outcome.state == apply_state::kAccepted) commit_result.version = outcome.head.version;
  return commit_result;
}

}  // namespace bulrushway
