#ifndef BULRUSHWAY_INI_DOCUMENT_H
#define BULRUSHWAY_INI_DOCUMENT_H

// INI text as sections, keys and values that remember their lines, so that every later complaint
// about a value can point at it. Settings, inventory and rules are all read through this.

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "error.h"

namespace bulrushway {

/// A value, or everything that is wrong with the text it was read from.
template <class Value>
using checked = tl::expected<Value, std::vector<error>>;

/// One `key = value` line. Continuation lines are joined to the value with a space.
struct ini_entry {
  std::string key;
  std::string value;
  int line = 0;
  /// Line of the last continuation, or `line`.
  int last_line = 0;
};

/// One `[name]` section. Entries before the first heading stand in a section with an empty name.
struct ini_section {
  std::string name;
  int line = 0;
  std::vector<ini_entry> entries;
};

/// A parsed text.
struct ini_document {
  /// Where the text came from, for messages.
  std::string file;
  std::vector<ini_section> sections;

  /// The section of this name, or null.
  const ini_section* Find(std::string_view name) const;
};

/// Longest line that is read, in bytes.
inline constexpr size_t kMaxIniLineBytes = 8192;
/// Longest name of a section, in bytes.
inline constexpr size_t kMaxIniSectionNameBytes = 48;

/// Parses `text`. Each line that is no heading, entry or comment, each section or key that stands
/// twice and each line or name that is too long adds an error with its line; the document holds the
/// rest.
ini_document ParseIni(std::string_view file, std::string_view text, std::vector<error>& errors);

/// The bytes of a file, or a user error.
result<std::string> ReadTextFile(const std::string& path);

/// A user error at a line of a file.
error ErrorAtLine(std::string_view step, std::string_view file, int line, std::string message);

}  // namespace bulrushway

#endif  // BULRUSHWAY_INI_DOCUMENT_H
