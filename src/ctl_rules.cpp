// Verbs that edit the stored rules: out, back, drain, undrain, stop. Each commits a new version, as
// apply does. After a conflict with another change the edit is repeated on the newest version.
#include <functional>

#include "ctl_commit.h"
#include "ctl_verbs.h"
#include "quantity.h"
#include "rules_edit.h"

namespace bulrushway {
namespace {

constexpr int kMaxEditAttempts = 5;

using rules_editor = std::function<result<std::string>(const std::string& rules)>;

ctl_exit EditRules(ctl_session& session, const std::string& note, const rules_editor& edit) {
  ctl_exit outcome = ctl_exit::kConflict;
  for (int i = 0; i < kMaxEditAttempts && outcome == ctl_exit::kConflict; ++i) {
    const auto current = session.ReadCurrent();
    if (!current) return ReportFailure(session, current.error());
    if (!current->head_row.head) {
      session.PrintError("There is no configuration yet; put one in force with 'apply' first.");
      return ctl_exit::kUserError;
    }
    const result<std::string> rules = edit(current->rules);
    if (!rules) return ReportFailure(session, rules.error());
    const ctl_edit changed{
        {"inventory", current->inventory, "rules", *rules}, current->head_row.version(), note};
    outcome = CommitEdit(session, *current, changed).exit;
  }
  return outcome;
}

result<std::optional<std::chrono::sys_seconds>> ParseTimeFlag(const std::string& flag,
                                                              const std::string& text) {
  if (text.empty()) return std::optional<std::chrono::sys_seconds>();
  const auto time = ParseTime(text);
  if (time) return std::optional(*time);
  return Failure(error_kind::kUser, "read flag", "--" + flag, time.error());
}

}  // namespace

ctl_exit CtlOut(ctl_session& session, const ctl_arguments& arguments) {
  const std::string& name = arguments[0];
  return EditRules(session, "out " + name,
                   [&](const std::string& rules) { return TakeDataCentreOut(rules, name); });
}

ctl_exit CtlBack(ctl_session& session, const ctl_arguments& arguments) {
  const std::string& name = arguments[0];
  return EditRules(session, "back " + name,
                   [&](const std::string& rules) { return BringDataCentreBack(rules, name); });
}

ctl_exit CtlDrain(ctl_session& session, const ctl_arguments& arguments) {
  const std::string& node = arguments[0];
  return EditRules(session, "drain " + node, [&](const std::string& rules) {
    return AddPlannedStop(rules, node, UtcNow(), std::nullopt);
  });
}

ctl_exit CtlUndrain(ctl_session& session, const ctl_arguments& arguments) {
  const std::string& node = arguments[0];
  return EditRules(session, "undrain " + node,
                   [&](const std::string& rules) { return RemovePlannedStops(rules, node); });
}

ctl_exit CtlStop(ctl_session& session, const ctl_arguments& arguments) {
  const std::string& node = arguments[0];
  const auto from = ParseTimeFlag("from", session.options().from);
  if (!from) return ReportFailure(session, from.error());
  const auto until = ParseTimeFlag("until", session.options().until);
  if (!until) return ReportFailure(session, until.error());
  return EditRules(session, "stop " + node, [&](const std::string& rules) {
    return AddPlannedStop(rules, node, from->value_or(UtcNow()), *until);
  });
}

}  // namespace bulrushway
