#ifndef BULRUSHWAY_CONFIGURATION_PARSER_H
#define BULRUSHWAY_CONFIGURATION_PARSER_H

// Parses inventory and rules from INI text and validates them, alone and against each other. The
// operators' tool and the processes run the same checks, so that a process can adopt every
// configuration that the tool accepted.

#include <chrono>
#include <string>
#include <vector>

#include "configuration.h"
#include "ini_document.h"

namespace bulrushway {

/// The two documents and their names in messages.
struct configuration_texts {
  std::string inventory_file = "inventory.ini";
  std::string inventory;
  std::string rules_file = "rules.ini";
  std::string rules;
};

/// A valid setting that may do harm.
struct configuration_warning {
  /// File and line, as "file:line".
  std::string location;
  /// A full sentence for the operator.
  std::string message;
};

/// A valid configuration and the warnings to show to the operator before it is applied.
struct checked_configuration {
  configuration value;
  std::vector<configuration_warning> warnings;
};

/// Parses and validates both documents and returns all errors at once. `now` affects only warnings
/// about planned stops: a valid configuration stays valid as time passes.
checked<checked_configuration> ParseConfiguration(const configuration_texts& texts,
                                                  std::chrono::sys_seconds now);

/// Parses the inventory, without cross-checks. Errors are added to `errors`.
fleet_inventory ParseInventory(const ini_document& document, std::vector<error>& errors);

/// Parses the rules, without checks against an inventory. Errors are added to `errors`.
rule_set ParseRules(const ini_document& document, std::vector<error>& errors);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_PARSER_H
