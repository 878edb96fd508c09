// Verbs on the stored configuration: check, export, diff, apply, rollback, history.
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "configuration_diff.h"
#include "ctl_commit.h"
#include "ctl_json.h"
#include "ctl_verbs.h"
#include "quantity.h"

namespace bulrushway {
namespace {

using json = nlohmann::json;

constexpr std::string_view kInventoryFile = "inventory.ini";
constexpr std::string_view kRulesFile = "rules.ini";
// File written by export, with the version on which the exported files are based.
constexpr std::string_view kVersionFile = "VERSION";
constexpr uint64_t kMaxVersion = 999'999'999'999;
constexpr uint64_t kMaxHistoryEntries = 10'000;

std::string PathIn(const std::string& folder, std::string_view file) {
  return (std::filesystem::path(folder) / file).string();
}

// Folder named on the command line; empty when flags name the files.
std::string FolderOf(const ctl_arguments& arguments) {
  return arguments.empty() ? std::string() : arguments.front();
}

// Reads one document from the file that a flag names, else from the folder, else uses the stored
// document. Sets `source` to its origin, for messages.
std::string ReadDocument(const std::string& flag_file, const std::string& folder,
                         std::string_view file, const std::string& stored, std::string& source,
                         std::vector<error>& errors) {
  if (flag_file.empty() && folder.empty()) {
    source = "stored " + std::string(file);
    return stored;
  }
  source = flag_file.empty() ? PathIn(folder, file) : flag_file;
  const result<std::string> text = ReadTextFile(source);
  if (text) return *text;
  errors.push_back(text.error());
  return {};
}

checked<configuration_texts> ReadTexts(const ctl_session& session, const ctl_arguments& arguments,
                                       const stored_configuration& stored) {
  const ctl_options& options = session.options();
  const std::string folder = FolderOf(arguments);
  configuration_texts texts;
  std::vector<error> errors;
  if (folder.empty() && options.inventory_file.empty() && options.rules_file.empty()) {
    errors.push_back({error_kind::kUser, "read files", "",
                      "Name a folder, or files with --inventory FILE and --rules FILE."});
  }
  texts.inventory = ReadDocument(options.inventory_file, folder, kInventoryFile, stored.inventory,
                                 texts.inventory_file, errors);
  texts.rules =
      ReadDocument(options.rules_file, folder, kRulesFile, stored.rules, texts.rules_file, errors);
  if (!errors.empty()) return tl::unexpected<std::vector<error>>(std::move(errors));
  return texts;
}

result<void> WriteTextFile(const std::string& path, const std::string& text) {
  std::ofstream stream(path, std::ios::binary);
  stream << text;
  stream.close();
  if (stream) return {};
  return Failure(error_kind::kUser, "write file", path,
                 "The file '" + path + "' cannot be written.");
}

result<uint64_t> ParseVersion(const std::string& text) {
  const parsed<uint64_t> version = ParseCount(text, 0, kMaxVersion);
  if (version) return *version;
  return Failure(error_kind::kUser, "read version", "", "The version " + version.error());
}

// Version on which the files are based: --base, else the folder's VERSION file. Without a folder
// the files are based on the newest version.
result<uint64_t> BaseVersion(const ctl_options& options, const std::string& folder,
                             const stored_configuration& current) {
  if (!options.base.empty()) return ParseVersion(options.base);
  if (folder.empty()) return current.head_row.version();
  const std::string path = PathIn(folder, kVersionFile);
  if (const result<std::string> text = ReadTextFile(path)) {
    return ParseVersion(text->substr(0, text->find('\n')));
  }
  if (!current.head_row.head) return 0;
  return Failure(error_kind::kUser, "read base version", path,
                 "The base version of the files is unknown, and version " +
                     std::to_string(current.head_row.version()) +
                     " is in force. Export that first, or name the version with --base.");
}

json ToJson(const std::vector<configuration_head>& heads) {
  json list = json::array();
  for (const configuration_head& head : heads) list.push_back(json::parse(Encode(head)));
  return list;
}

ctl_exit ShowDiff(const ctl_session& session, const checked<checked_configuration>& before,
                  const checked<checked_configuration>& after) {
  if (!before) return ReportErrors(session, before.error());
  if (!after) return ReportErrors(session, after.error());
  const configuration_diff diff = Diff(before->value, after->value);
  session.Print(session.options().json ? ToJson(diff) : ToText(diff));
  return ctl_exit::kOk;
}

result<stored_configuration> ReadVersionFromText(ctl_session& session, const std::string& text) {
  const result<uint64_t> version = ParseVersion(text);
  if (!version) return tl::unexpected<error>(version.error());
  return session.ReadVersion(*version);
}

}  // namespace

ctl_exit CtlCheck(ctl_session& session, const ctl_arguments& arguments) {
  const auto texts = ReadTexts(session, arguments, {});
  if (!texts) return ReportErrors(session, texts.error());
  const auto outcome = ParseConfiguration(*texts, UtcNow());
  if (!outcome) return ReportErrors(session, outcome.error());
  ReportWarnings(session, outcome->warnings);
  const fleet_inventory& inventory = outcome->value.inventory;
  if (!session.options().json) {
    session.Print("Valid: " + std::to_string(inventory.regions.size()) + " regions, " +
                  std::to_string(inventory.services.size()) + " services, " +
                  std::to_string(inventory.upstreams.size()) + " upstreams; " +
                  std::to_string(outcome->warnings.size()) + " warnings.");
    return ctl_exit::kOk;
  }
  json warnings = json::array();
  for (const auto& warning : outcome->warnings) {
    warnings.push_back({{"place", warning.location}, {"message", warning.message}});
  }
  session.Print(Dump({{"state", "valid"}, {"warnings", warnings}}));
  return ctl_exit::kOk;
}

ctl_exit CtlExport(ctl_session& session, const ctl_arguments& arguments) {
  const auto stored =
      arguments.size() > 1 ? ReadVersionFromText(session, arguments[1]) : session.ReadCurrent();
  if (!stored) return ReportFailure(session, stored.error());
  if (!stored->head_row.head) {
    session.PrintError("The platform holds no configuration yet; there is nothing to export.");
    return ctl_exit::kUserError;
  }
  const std::string& folder = arguments[0];
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  const std::string version = std::to_string(stored->head_row.version());
  for (const auto& [file, text] :
       {std::pair(kInventoryFile, stored->inventory), std::pair(kRulesFile, stored->rules),
        std::pair(kVersionFile, version + "\n")}) {
    const result<void> written = WriteTextFile(PathIn(folder, file), text);
    if (!written) return ReportFailure(session, written.error());
  }
  session.Print(session.options().json ? Encode(*stored->head_row.head)
                                       : "Wrote version " + version + " into " + folder + ".");
  return ctl_exit::kOk;
}

ctl_exit CtlDiff(ctl_session& session, const ctl_arguments& arguments) {
  if (arguments.size() == 2) {
    const auto before = ReadVersionFromText(session, arguments[0]);
    if (!before) return ReportFailure(session, before.error());
    const auto after = ReadVersionFromText(session, arguments[1]);
    if (!after) return ReportFailure(session, after.error());
    return ShowDiff(session, ParseStored(*before), ParseStored(*after));
  }
  const auto current = session.ReadCurrent();
  if (!current) return ReportFailure(session, current.error());
  const auto texts = ReadTexts(session, arguments, *current);
  if (!texts) return ReportErrors(session, texts.error());
  return ShowDiff(session, ParseStored(*current), ParseConfiguration(*texts, UtcNow()));
}

ctl_exit CtlApply(ctl_session& session, const ctl_arguments& arguments) {
  const std::string folder = FolderOf(arguments);
  const auto current = session.ReadCurrent();
  if (!current) return ReportFailure(session, current.error());
  const auto texts = ReadTexts(session, arguments, *current);
  if (!texts) return ReportErrors(session, texts.error());
  const result<uint64_t> base = BaseVersion(session.options(), folder, *current);
  if (!base) return ReportFailure(session, base.error());
  const ctl_commit_result outcome = CommitEdit(session, *current, {*texts, *base, ""});
  const std::string path = PathIn(folder, kVersionFile);
  // Updates the VERSION file of an exported folder, so that the next edit is based on this version.
  if (outcome.version && !folder.empty() && std::filesystem::exists(path)) {
    const result<void> written = WriteTextFile(path, std::to_string(*outcome.version) + "\n");
    if (!written) session.PrintError(ToString(written.error()));
  }
  return outcome.exit;
}

ctl_exit CtlRollback(ctl_session& session, const ctl_arguments& arguments) {
  const auto earlier = ReadVersionFromText(session, arguments[0]);
  if (!earlier) return ReportFailure(session, earlier.error());
  const auto current = session.ReadCurrent();
  if (!current) return ReportFailure(session, current.error());
  const std::string name = "version " + arguments[0];
  return CommitEdit(session, *current,
                    {{name + " inventory", earlier->inventory, name + " rules", earlier->rules},
                     current->head_row.version(),
                     "rollback to " + name})
      .exit;
}

ctl_exit CtlHistory(ctl_session& session, const ctl_arguments&) {
  const auto current = session.ReadCurrent();
  if (!current) return ReportFailure(session, current.error());
  const uint64_t limit = std::min(session.options().limit, kMaxHistoryEntries);
  const auto heads = session.ReadHistory(current->head_row.version(), limit);
  if (!heads) return ReportFailure(session, heads.error());
  if (session.options().json) {
    session.Print(Dump(ToJson(*heads)));
    return ctl_exit::kOk;
  }
  if (heads->empty()) session.Print("There is no version yet.");
  for (const configuration_head& head : *heads) session.Print(Describe(head));
  return ctl_exit::kOk;
}

}  // namespace bulrushway
