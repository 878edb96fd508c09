#ifndef BULRUSHWAY_CONFIGURATION_PARSER_H
#define BULRUSHWAY_CONFIGURATION_PARSER_H

// Reads inventory and rules from INI text and checks them whole, against each other too. Operators'
// commands and processes use the same check, so that what was accepted can be adopted.

#include <chrono>
#include <string>
#include <vector>

#include "configuration.h"
#include "ini_document.h"

namespace bulrushway {

/// The two documents and the names under which messages speak of them.
struct configuration_texts {
  std::string inventory_file = "inventory.ini";
  std::string inventory;
  std::string rules_file = "rules.ini";
  std::string rules;
};

/// Something legal that may do harm.
struct configuration_warning {
  /// File and line.
  std::string location;
  /// A full sentence.
  std::string message;
};

/// A valid configuration and what an operator should think about before it is applied.
struct checked_configuration {
  configuration value;
  std::vector<configuration_warning> warnings;
};

/// Reads and checks both documents; all errors are reported at once. `now` is needed for warnings
/// on planned stops only: what is valid once stays valid.
checked<checked_configuration> ParseConfiguration(const configuration_texts& texts,
                                                  std::chrono::sys_seconds now);

/// Reads the inventory alone. Errors are added to `errors`.
fleet_inventory ParseInventory(const ini_document& document, std::vector<error>& errors);

/// Reads the rules alone, without the checks against an inventory. Errors are added to `errors`.
rule_set ParseRules(const ini_document& document, std::vector<error>& errors);

}  // namespace bulrushway

#endif  // BULRUSHWAY_CONFIGURATION_PARSER_H
