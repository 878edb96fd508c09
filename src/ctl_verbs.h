#ifndef BULRUSHWAY_CTL_VERBS_H
#define BULRUSHWAY_CTL_VERBS_H

// The verbs (subcommands) of bulrushctl.

#include <string>
#include <vector>

#include "ctl_session.h"

namespace bulrushway {

/// Positional arguments; for the Ctl functions below without the verb itself.
using ctl_arguments = std::vector<std::string>;

/// Help text of all verbs and flags.
std::string CtlUsage();

/// Runs the verb `arguments[0]` with the remaining arguments.
ctl_exit RunCtl(const ctl_arguments& arguments, ctl_options options);

// Verbs on the stored configuration (ctl_configuration.cpp).
ctl_exit CtlCheck(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlDiff(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlApply(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlRollback(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlHistory(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlExport(ctl_session& session, const ctl_arguments& arguments);

// Verbs that edit the stored rules (ctl_rules.cpp).
ctl_exit CtlOut(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlBack(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlDrain(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlUndrain(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlStop(ctl_session& session, const ctl_arguments& arguments);

// Verbs that query the nodes (ctl_fleet.cpp).
ctl_exit CtlStatus(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlOwner(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlEvents(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlMetrics(ctl_session& session, const ctl_arguments& arguments);
ctl_exit CtlQuarantine(ctl_session& session, const ctl_arguments& arguments);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CTL_VERBS_H
