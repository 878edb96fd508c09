#include "rules_edit.h"

#include <algorithm>
#include <vector>

#include "configuration_parser.h"
#include "ini_document.h"
#include "quantity.h"

namespace bulrushway {
namespace {

constexpr std::string_view kStep = "edit rules";

// The lines of the rules' text and the parsed content.
struct editable_rules {
  std::vector<std::string> lines;
  ini_document document;
  rule_set value;
};

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    lines.emplace_back(text.substr(0, end));
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return lines;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

result<editable_rules> ParseEditable(std::string_view text) {
  std::vector<error> errors;
  editable_rules rules;
  rules.lines = SplitLines(text);
  rules.document = ParseIni("rules", text, errors);
  rules.value = ParseRules(rules.document, errors);
  if (!errors.empty()) return tl::unexpected<error>(errors.front());
  return rules;
}

tl::unexpected<error> NothingToDoError(std::string message) {
  return Failure(error_kind::kUser, std::string(kStep), "", std::move(message));
}

// Removes the lines `first` to `last`, both included and numbered from 1.
void EraseLines(std::vector<std::string>& lines, int first, int last) {
  lines.erase(lines.begin() + first - 1, lines.begin() + last);
}

int LastLine(const ini_section& section) {
  return section.entries.empty() ? section.line : section.entries.back().last_line;
}

void AppendSection(std::vector<std::string>& lines, const std::vector<std::string>& section) {
  if (!lines.empty() && !lines.back().empty()) lines.emplace_back();
  lines.insert(lines.end(), section.begin(), section.end());
}

std::string FormatOutEntry(const std::vector<std::string>& names) {
  std::string line = "out =";
  for (size_t i = 0; i < names.size(); ++i) line += (i == 0 ? " " : ", ") + names[i];
  return line;
}

// Replaces the entry that lists the data centres out of service, or adds one.
std::string ReplaceDataCentresOut(editable_rules rules, const std::vector<std::string>& names) {
  const std::string line = FormatOutEntry(names);
  const ini_section* section = rules.document.Find("data_centres");
  if (section == nullptr) {
    AppendSection(rules.lines, {"[data_centres]", line});
    return JoinLines(rules.lines);
  }
  int insert_after_line = section->line;
  if (!section->entries.empty()) {
    const ini_entry& entry = section->entries.front();
    EraseLines(rules.lines, entry.line, entry.last_line);
    insert_after_line = entry.line - 1;
  }
  rules.lines.insert(rules.lines.begin() + insert_after_line, line);
  return JoinLines(rules.lines);
}

std::string UnusedStopName(const rule_set& rules) {
  for (size_t number = 1;; ++number) {
    std::string name = "stop-" + std::to_string(number);
    const auto taken = [&](const planned_stop& stop) { return stop.name == name; };
    if (std::none_of(rules.planned_stops.begin(), rules.planned_stops.end(), taken)) return name;
  }
}

}  // namespace

result<std::string> TakeDataCentreOut(std::string_view rules, const std::string& data_centre) {
  result<editable_rules> editable = ParseEditable(rules);
  if (!editable) return tl::unexpected<error>(editable.error());
  if (editable->value.IsDataCentreOut(data_centre)) {
    return NothingToDoError("The data centre '" + data_centre + "' is already out of service.");
  }
  std::vector<std::string> names = editable->value.data_centres_out;
  names.push_back(data_centre);
  return ReplaceDataCentresOut(*std::move(editable), names);
}

result<std::string> BringDataCentreBack(std::string_view rules, const std::string& data_centre) {
  result<editable_rules> editable = ParseEditable(rules);
  if (!editable) return tl::unexpected<error>(editable.error());
  if (!editable->value.IsDataCentreOut(data_centre)) {
    return NothingToDoError("The data centre '" + data_centre + "' is not out of service.");
  }
  std::vector<std::string> names = editable->value.data_centres_out;
  std::erase(names, data_centre);
  return ReplaceDataCentresOut(*std::move(editable), names);
}

result<std::string> AddPlannedStop(std::string_view rules, const std::string& upstream,
                                   std::chrono::sys_seconds from,
                                   std::optional<std::chrono::sys_seconds> until) {
  result<editable_rules> editable = ParseEditable(rules);
  if (!editable) return tl::unexpected<error>(editable.error());
  std::vector<std::string> section = {"[planned_stop " + UnusedStopName(editable->value) + "]",
                                      "upstream = " + upstream, "from = " + FormatTime(from)};
  if (until) section.push_back("until = " + FormatTime(*until));
  AppendSection(editable->lines, section);
  return JoinLines(editable->lines);
}

result<std::string> RemovePlannedStops(std::string_view rules, const std::string& upstream) {
  result<editable_rules> editable = ParseEditable(rules);
  if (!editable) return tl::unexpected<error>(editable.error());
  bool found = false;
  // Goes backwards, so that the line numbers of the remaining sections stay valid.
  for (auto section = editable->document.sections.rbegin();
       section != editable->document.sections.rend(); ++section) {
    const auto is_upstream = [&](const ini_entry& entry) {
      return entry.key == "upstream" && entry.value == upstream;
    };
    if (!section->name.starts_with("planned_stop ")) continue;
    if (std::none_of(section->entries.begin(), section->entries.end(), is_upstream)) continue;
    EraseLines(editable->lines, section->line, LastLine(*section));
    found = true;
  }
  if (!found)
    return NothingToDoError("The rules have no planned stop of upstream '" + upstream + "'.");
  return JoinLines(editable->lines);
}

}  // namespace bulrushway
