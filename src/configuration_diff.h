#ifndef BULRUSHWAY_CONFIGURATION_DIFF_H
#define BULRUSHWAY_CONFIGURATION_DIFF_H

// The differences between two configurations, by section and key. Operators see them before they
// commit a change and when a change conflicts with another one.

#include <optional>
#include <string>
#include <vector>

#include "configuration.h"

namespace bulrushway {

/// How a section differs.
enum class change_kind { kAdded, kRemoved, kChanged };

/// "added", "removed" or "changed".
std::string_view Name(change_kind kind);

/// A key with its values in both versions; a value is absent where the section lacks the key.
struct field_change {
  std::string key;
  std::optional<std::string> before;
  std::optional<std::string> after;
};

/// A section that differs, with the fields that differ.
struct section_change {
  change_kind kind = change_kind::kChanged;
  /// Section name in the document, such as "upstream corredores-lima-a-1".
  std::string section;
  std::vector<field_change> fields;
};

/// All differences, with sections sorted by name.
struct configuration_diff {
  std::vector<section_change> inventory;
  std::vector<section_change> rules;

  bool empty() const { return inventory.empty() && rules.empty(); }
};

/// The changes from `before` to `after`.
configuration_diff Diff(const configuration& before, const configuration& after);

/// Formats the differences for a terminal; "no difference" when there is none.
std::string ToText(const configuration_diff& diff);

/// Formats the differences as JSON: {"inventory":[...],"rules":[...]}.
std::string ToJson(const configuration_diff& diff);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_DIFF_H
