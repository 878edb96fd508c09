#ifndef BULRUSHWAY_CONFIGURATION_DIFF_H
#define BULRUSHWAY_CONFIGURATION_DIFF_H

// What differs between two configurations, by section and key. Operators see it before they commit
// and when a conflicting edit of somebody else is reported to them.

#include <optional>
#include <string>
#include <vector>

#include "configuration.h"

namespace bulrushway {

/// What happened to a section.
enum class change_kind { kAdded, kRemoved, kChanged };

/// "added", "removed" or "changed".
std::string_view Name(change_kind kind);

/// A key with its values; absent where the section did not have it.
struct field_change {
  std::string key;
  std::optional<std::string> before;
  std::optional<std::string> after;
};

/// A section that differs. Its fields are those that differ.
struct section_change {
  change_kind kind = change_kind::kChanged;
  /// As in the document, such as "upstream corredores-lima-a-1".
  std::string section;
  std::vector<field_change> fields;
};

/// All differences; sections in the order of their names.
struct configuration_diff {
  std::vector<section_change> inventory;
  std::vector<section_change> rules;

  bool empty() const { return inventory.empty() && rules.empty(); }
};

/// What leads from `before` to `after`.
configuration_diff Diff(const configuration& before, const configuration& after);

/// Lines for a terminal; "no difference" when there is none.
std::string ToText(const configuration_diff& diff);

/// The same as JSON: {"inventory":[...],"rules":[...]}.
std::string ToJson(const configuration_diff& diff);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_DIFF_H
