#ifndef BULRUSHWAY_INI_DOCUMENT_H
#define BULRUSHWAY_INI_DOCUMENT_H

// Parses INI text into sections, keys and values. Each keeps its line number, so that errors found
// later can refer to it. Settings, inventory and rules are all parsed with this.

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "error.h"

namespace bulrushway {

/// A value, or all errors found in the text that it was parsed from.
template <class Value>
using checked = tl::expected<Value, std::vector<error>>;

/// One `key = value` line. Continuation lines are joined to the value with a space.
struct ini_entry {
  std::string key;
  std::string value;
  int line = 0;
  /// Line of the last continuation line; equals `line` when there is none.
  int last_line = 0;
};

/// One `[name]` section. Entries before the first heading belong to a section with an empty name.
struct ini_section {
  std::string name;
  int line = 0;
  std::vector<ini_entry> entries;
};

/// A parsed INI text.
struct ini_document {
  /// File name used in error messages.
  std::string file;
  std::vector<ini_section> sections;

  /// The section of this name, or null.
  const ini_section* Find(std::string_view name) const;
};

/// Maximum length of a line.
inline constexpr size_t kMaxIniLineBytes = 8192;
/// Maximum length of a section name.
inline constexpr size_t kMaxIniSectionNameBytes = 48;

/// Parses `text`. Malformed lines, duplicate sections and keys, and overlong lines and section
/// names each add an error with the line number; the document holds everything else.
ini_document ParseIni(std::string_view file, std::string_view text, std::vector<error>& errors);

/// Reads a whole file. A file that cannot be opened or read is a user error.
result<std::string> ReadTextFile(const std::string& path);

/// Makes a user error that refers to a line of a file.
error ErrorAtLine(std::string_view step, std::string_view file, int line, std::string message);

}  // namespace bulrushway

#endif  // BULRUSHWAY_INI_DOCUMENT_H
