#include "ini_section_reader.h"

#include <algorithm>

namespace bulrushway {
namespace {

std::string SuggestName(std::string_view text, const std::vector<std::string>& candidates) {
  const std::string nearest = NearestName(text, candidates);
  if (!nearest.empty()) return "did you mean '" + nearest + "'?";
  std::string list = "known names are:";
  for (const std::string& candidate : candidates) list += " '" + candidate + "'";
  return list + ".";
}

bool IsKnown(std::string_view name, const std::vector<std::string>& known) {
  return std::any_of(known.begin(), known.end(), [&](const std::string& candidate) {
    return candidate.ends_with(' ') ? name.starts_with(candidate) : name == candidate;
  });
}

}  // namespace

ini_section_reader::ini_section_reader(std::string_view file, const ini_section& section,
                                       std::string_view step, std::vector<error>& errors)
    : file_(file), section_(section), step_(step), errors_(errors) {}

void ini_section_reader::Report(std::string_view key, std::string message) {
  std::string text = "In section [" + section_.name + "]";
  if (!key.empty()) text += ", key '" + std::string(key) + "'";
  errors_.push_back(ErrorAtLine(step_, file_, LineOf(key), text + ": " + std::move(message)));
}

int ini_section_reader::LineOf(std::string_view key) const {
  const ini_entry* entry = Find(key);
  return entry == nullptr ? section_.line : entry->line;
}

void ini_section_reader::ReportUnknownKeys() {
  for (const ini_entry& entry : section_.entries) {
    if (IsKnown(entry.key, known_keys_)) continue;
    Report(entry.key, "unknown key; " + SuggestName(entry.key, known_keys_));
  }
}

const ini_entry* ini_section_reader::Find(std::string_view key) const {
  const auto found = std::find_if(section_.entries.begin(), section_.entries.end(),
                                  [&](const ini_entry& entry) { return entry.key == key; });
  return found == section_.entries.end() ? nullptr : &*found;
}

const ini_entry* ini_section_reader::FindAndMarkKnown(std::string_view key) {
  known_keys_.emplace_back(key);
  return Find(key);
}

void ini_section_reader::ReportMissing(std::string_view key, std::string_view example) {
  Report(key, "a value is missing; write for example '" + std::string(key) + " = " +
                  std::string(example) + "'.");
}

void ReportUnknownSections(const ini_document& document, const std::vector<std::string>& known,
                           std::string_view step, std::vector<error>& errors) {
  for (const ini_section& section : document.sections) {
    if (IsKnown(section.name, known)) continue;
    const std::string problem = section.name.empty()
                                    ? "Entries before the first section belong to no section"
                                    : "The section [" + section.name + "] is unknown";
    errors.push_back(ErrorAtLine(step, document.file, section.line,
                                 problem + "; " + SuggestName(section.name, known)));
  }
}

}  // namespace bulrushway
