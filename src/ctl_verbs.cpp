#include "ctl_verbs.h"

#include <algorithm>
#include <array>

#include "quantity.h"

namespace bulrushway {
namespace {

// Addresses that a verb requires besides its arguments.
enum class verb_requirement { kNothing, kPlatform, kNodes };

struct verb {
  std::string_view name;
  std::string_view arguments;
  size_t min_arguments;
  size_t max_arguments;
  verb_requirement requirement;
  ctl_exit (*run)(ctl_session&, const ctl_arguments&);
  std::string_view help;
};

constexpr std::array<verb, 16> kVerbs = {{
    {"check", "[DIR]", 0, 1, verb_requirement::kNothing, CtlCheck,
     "check DIR/inventory.ini and DIR/rules.ini; all errors and warnings"},
    {"export", "DIR [VERSION]", 1, 2, verb_requirement::kPlatform, CtlExport,
     "write a version's files into DIR, to be edited"},
    {"diff", "[DIR] | VERSION VERSION", 0, 2, verb_requirement::kPlatform, CtlDiff,
     "show the changes that applying DIR would make, or those between two versions"},
    {"apply", "[DIR]", 0, 1, verb_requirement::kPlatform, CtlApply,
     "check DIR, show the difference, and put it in force as a new version"},
    {"rollback", "VERSION", 1, 1, verb_requirement::kPlatform, CtlRollback,
     "put an earlier version in force again, as a new version"},
    {"history", "", 0, 0, verb_requirement::kPlatform, CtlHistory, "who changed what and when"},
    {"out", "DATA_CENTRE", 1, 1, verb_requirement::kPlatform, CtlOut,
     "take a data centre out: it gets no new work"},
    {"back", "DATA_CENTRE", 1, 1, verb_requirement::kPlatform, CtlBack, "bring a data centre back"},
    {"drain", "NODE", 1, 1, verb_requirement::kPlatform, CtlDrain,
     "give a node no new work, until undrain"},
    {"undrain", "NODE", 1, 1, verb_requirement::kPlatform, CtlUndrain,
     "remove all drains and planned stops of a node"},
    {"stop", "NODE", 1, 1, verb_requirement::kPlatform, CtlStop,
     "plan a stop of a node: no new work --from TIME --until TIME"},
    {"status", "", 0, 0, verb_requirement::kNodes, CtlStatus,
     "state, keys and configuration version of each node, and which nodes lag"},
    {"owner", "SERVICE KEY", 2, 2, verb_requirement::kNodes, CtlOwner, "which node owns a key"},
    {"events", "", 0, 0, verb_requirement::kNodes, CtlEvents, "latest events of all nodes"},
    {"metrics", "", 0, 0, verb_requirement::kNodes, CtlMetrics, "counters of all nodes"},
    {"quarantine", "list | release FINGERPRINT", 1, 2, verb_requirement::kNodes, CtlQuarantine,
     "requests that crashed targets"},
}};

std::string UsageOf(const verb& command) {
  std::string text = "  " + std::string(command.name);
  if (!command.arguments.empty()) text += " " + std::string(command.arguments);
  constexpr size_t kHelpColumn = 38;
  text.resize(std::max(text.size() + 1, kHelpColumn), ' ');
  return text + std::string(command.help) + "\n";
}

const verb* FindVerb(const std::string& name) {
  const auto found = std::find_if(kVerbs.begin(), kVerbs.end(),
                                  [&](const verb& command) { return command.name == name; });
  return found == kVerbs.end() ? nullptr : &*found;
}

std::string UnknownVerbMessage(const std::string& name) {
  std::vector<std::string> names;
  names.reserve(kVerbs.size());
  for (const verb& command : kVerbs) names.emplace_back(command.name);
  const std::string nearest = NearestName(name, names);
  return "There is no verb '" + name + "'" +
         (nearest.empty() ? "; see bulrushctl --help." : "; did you mean '" + nearest + "'?");
}

std::string UsageError(const verb& command, const ctl_arguments& arguments,
                       const ctl_options& options) {
  const size_t count = arguments.size() - 1;
  if (count < command.min_arguments || count > command.max_arguments) {
    return "Write 'bulrushctl " + std::string(command.name) + " " + std::string(command.arguments) +
           "'.";
  }
  if (command.requirement == verb_requirement::kPlatform && options.platform.empty()) {
    return "Name the platform, for example --platform 10.1.2.3:7000.";
  }
  if (command.requirement == verb_requirement::kNodes && options.nodes.empty()) {
    return "Name one node or more, for example --nodes 10.1.2.3:8080.";
  }
  return {};
}

}  // namespace

std::string CtlUsage() {
  std::string text = "operates a fleet of bulrushd\n\n  bulrushctl [flags] VERB [arguments]\n\n";
  for (const verb& command : kVerbs) text += UsageOf(command);
  text +=
      "\nFlags (--flag=value or --flag value):\n"
      "  --platform ip:port[,ip:port]   the platform's table service and object store\n"
      "  --nodes ip:port[,ip:port]      HTTP addresses of some nodes; others are discovered "
      "through them\n"
      "  --json                         print JSON\n"
      "  --author NAME, --note TEXT     who and why, for the history\n"
      "  --inventory FILE, --rules FILE  files to check, diff or apply in place of DIR's; one that "
      "is\n"
      "                                 left out is taken from the newest version\n"
      "  --base VERSION                 the version that the files of DIR were edited at\n"
      "  --from TIME, --until TIME      UTC, such as '2027-03-14 06:30'\n"
      "  --wait '5 s'                   after a change, wait until each node has it in force\n"
      "  --tenant NAME                  tenant of the key, for owner\n"
      "  --limit N                      entries of history and events\n"
      "  --timeout '1 s'                time limit of one call to a node\n"
      "\nExit codes: 0 done, 1 user error, 2 conflict with another change, 3 platform or nodes did "
      "not answer.\n";
  return text;
}

ctl_exit RunCtl(const ctl_arguments& arguments, ctl_options options) {
  ctl_session session(std::move(options));
  if (arguments.empty()) {
    session.PrintError("Name a verb; see bulrushctl --help.");
    return ctl_exit::kUserError;
  }
  const verb* command = FindVerb(arguments.front());
  if (command == nullptr) {
    session.PrintError(UnknownVerbMessage(arguments.front()));
    return ctl_exit::kUserError;
  }
  if (std::string usage_error = UsageError(*command, arguments, session.options());
      !usage_error.empty()) {
    session.PrintError(usage_error);
    return ctl_exit::kUserError;
  }
  return command->run(session, ctl_arguments(arguments.begin() + 1, arguments.end()));
}

}  // namespace bulrushway
