// The command-line tool for operators. See docs/operations/configuration.md.
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>

#include "ctl_verbs.h"
#include "quantity.h"

DEFINE_string(platform, "", "addresses of the platform, ip:port[,ip:port]");
DEFINE_string(nodes, "", "HTTP addresses of some nodes, ip:port[,ip:port]");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(author, "", "who makes the change; the user's name when empty");
DEFINE_string(note, "", "why, for the history");
DEFINE_string(inventory, "", "inventory file, in place of DIR/inventory.ini");
DEFINE_string(rules, "", "rules file, in place of DIR/rules.ini");
DEFINE_string(base, "", "the version that the files were edited at");
DEFINE_string(tenant, "", "tenant of the key, for owner");
DEFINE_string(from, "", "begin of a stop, UTC, such as '2027-03-14 06:30'; now when empty");
DEFINE_string(until, "", "end of a stop, UTC; until undrain when empty");
DEFINE_string(wait, "0 ms", "after a change, wait this long until each node has it in force");
DEFINE_string(timeout, "1 s", "time limit of one call to a node");
DEFINE_uint64(limit, 20, "entries of history and events");

namespace {

using bulrushway::ctl_exit;

bool ReadAddresses(const char* flag, const std::string& text,
                   std::vector<bulrushway::socket_address>& addresses) {
  for (const std::string& item : bulrushway::SplitList(text)) {
    const auto address = bulrushway::ParseAddress(item);
    if (!address) {
      std::fprintf(stderr, "bulrushctl: --%s: %s\n", flag, address.error().c_str());
      return false;
    }
    addresses.push_back(*address);
  }
  return true;
}

bool ReadDuration(const char* flag, const std::string& text, std::chrono::milliseconds& duration) {
  const auto value = bulrushway::ParseDuration(text);
  if (!value) {
    std::fprintf(stderr, "bulrushctl: --%s: %s\n", flag, value.error().c_str());
    return false;
  }
  duration = *value;
  return true;
}

std::string Author() {
  if (!FLAGS_author.empty()) return FLAGS_author;
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "operator" : user;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(bulrushway::CtlUsage());
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument != "--help" && argument != "-h" && argument != "help") continue;
    std::printf("bulrushctl %s", bulrushway::CtlUsage().c_str());
    return 0;
  }
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bulrushway::ctl_options options;
  const bool valid = ReadAddresses("platform", FLAGS_platform, options.platform) &&
                     ReadAddresses("nodes", FLAGS_nodes, options.nodes) &&
                     ReadDuration("wait", FLAGS_wait, options.wait) &&
                     ReadDuration("timeout", FLAGS_timeout, options.timeout);
  if (!valid) return static_cast<int>(ctl_exit::kUserError);
  options.json = FLAGS_json;
  options.author = Author();
  options.note = FLAGS_note;
  options.inventory_file = FLAGS_inventory;
  options.rules_file = FLAGS_rules;
  options.base = FLAGS_base;
  options.tenant = FLAGS_tenant;
  options.from = FLAGS_from;
  options.until = FLAGS_until;
  options.limit = FLAGS_limit;
  const bulrushway::ctl_arguments arguments(argv + 1, argv + argc);
  return static_cast<int>(bulrushway::RunCtl(arguments, std::move(options)));
}
