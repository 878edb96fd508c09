#include "ini_document.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>
#include <unordered_map>

namespace bulrushway {
namespace {

constexpr std::string_view kStep = "parse INI";
constexpr std::string_view kBlanks = " \t\r\n\v\f";
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

// Feeds the text to inih line by line. inih reports neither line numbers nor all malformed lines,
// so the feeder counts lines and checks that inih reported an entry for each line before it passes
// on the next.
class line_feeder {
 public:
  line_feeder(std::string_view file, std::string_view text, std::vector<error>& errors)
      : errors_(errors), rest_(text) {
    document_.file = file;
  }

  ini_document TakeDocument() {
    FinishLine();
    ReportRepeatedSections();
    return std::move(document_);
  }

  // Copies the next line for inih into `buffer`; returns false at the end of the text.
  bool NextLine(char* buffer, size_t size) {
    FinishLine();
    while (!rest_.empty()) {
      const std::string_view line = TakeLine();
      if (PreprocessLine(line)) continue;
      const size_t length = std::min(line.size(), size - 1);
      std::memcpy(buffer, line.data(), length);
      buffer[length] = '\0';
      return true;
    }
    return false;
  }

  void AddEntry(std::string_view key, std::string_view value) {
    entry_reported_ = true;
    if (document_.sections.empty()) document_.sections.push_back({"", line_, {}});
    ini_section& section = document_.sections.back();
    if (key.empty()) {
      Report(line_, "The line has a value but no key before the '='; write 'key = value'.");
      return;
    }
    if (is_continuation_) {
      AppendToLastEntry(section, value);
      return;
    }
    for (const ini_entry& earlier : section.entries) {
      if (earlier.key != key) continue;
      Report(line_, "The key '" + std::string(key) + "' appears twice in section [" + section.name +
                        "], first on line " + std::to_string(earlier.line) + "; keep one of them.");
      return;
    }
    section.entries.push_back({std::string(key), std::string(value), line_, line_});
  }

 private:
  std::string_view TakeLine() {
    const size_t end = rest_.find('\n');
    const std::string_view line = rest_.substr(0, end);
    rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
    ++line_;
    return line;
  }

  // Returns true when the line must not be passed to inih: blank lines, comments and lines with
  // errors, which are reported here. Section headings are recorded and passed on.
  bool PreprocessLine(std::string_view line) {
    if (line_ == 1 && line.starts_with(kByteOrderMark)) line.remove_prefix(kByteOrderMark.size());
    const std::string_view text = Trim(line);
    if (text.empty() || text.front() == ';' || text.front() == '#') return true;
    if (line.size() > kMaxIniLineBytes) {
      Report(line_, "The line has " + std::to_string(line.size()) + " bytes; at most " +
                        std::to_string(kMaxIniLineBytes) +
                        " are read. Split the value into indented continuation lines.");
      return true;
    }
    if (line.find('\0') != std::string_view::npos) {
      Report(line_, "The line contains a NUL byte; write plain text.");
      return true;
    }
    const bool indented = kBlanks.find(line.front()) != std::string_view::npos;
    is_continuation_ = indented && previous_was_entry_;
    if (!is_continuation_ && text.front() == '[') return !OpenSection(text);
    awaiting_entry_ = true;
    entry_reported_ = false;
    return false;
  }

  // Records the section; returns whether the heading is passed to inih.
  bool OpenSection(std::string_view text) {
    previous_was_entry_ = false;
    const size_t end = text.find(']');
    if (end == std::string_view::npos) {
      Report(line_, "The section heading '" + std::string(text) + "' has no closing ']'.");
      return false;
    }
    const std::string_view name = text.substr(1, end - 1);
    document_.sections.push_back({std::string(name), line_, {}});
    if (name.empty()) Report(line_, "The section heading '[]' has no name.");
    if (name.size() > kMaxIniSectionNameBytes) {
      Report(line_, "The section name '" + std::string(name) + "' has " +
                        std::to_string(name.size()) + " bytes; at most " +
                        std::to_string(kMaxIniSectionNameBytes) + " are allowed.");
    }
    return true;
  }

  void FinishLine() {
    if (!awaiting_entry_) return;
    awaiting_entry_ = false;
    previous_was_entry_ = entry_reported_;
    if (!entry_reported_) {
      Report(line_, "The line is neither '[section]', 'key = value' nor a comment (';' or '#').");
    }
  }

  void AppendToLastEntry(ini_section& section, std::string_view value) const {
    if (section.entries.empty()) return;
    section.entries.back().last_line = line_;
    section.entries.back().value += ' ';
    section.entries.back().value += value;
  }

  void ReportRepeatedSections() {
    std::unordered_map<std::string_view, int> first_lines;
    for (const ini_section& section : document_.sections) {
      const auto [first, inserted] = first_lines.emplace(section.name, section.line);
      if (inserted) continue;
      Report(section.line, "The section [" + section.name + "] appears twice, first on line " +
                               std::to_string(first->second) + "; merge the two.");
    }
  }

  void Report(int line, std::string message) {
    errors_.push_back(ErrorAtLine(kStep, document_.file, line, std::move(message)));
  }

  ini_document document_;
  std::vector<error>& errors_;
  std::string_view rest_;
  int line_ = 0;
  bool awaiting_entry_ = false;
  bool entry_reported_ = false;
  bool is_continuation_ = false;
  bool previous_was_entry_ = false;
};

char* ReadLineCallback(char* buffer, int size, void* stream) {
  auto* feeder = static_cast<line_feeder*>(stream);
  return feeder->NextLine(buffer, static_cast<size_t>(size)) ? buffer : nullptr;
}

int EntryCallback(void* user, const char* /*section*/, const char* key, const char* value) {
  static_cast<line_feeder*>(user)->AddEntry(key == nullptr ? "" : key,
                                            value == nullptr ? "" : value);
  return 1;
}

// inih truncates lines at 200 bytes by default.
void ConfigureInih() {
  constexpr int kBufferSize = static_cast<int>(kMaxIniLineBytes) + 3;
  ini_use_stack = false;
  ini_allow_realloc = false;
  ini_max_line = kBufferSize;
  ini_initial_alloc = kBufferSize;
  ini_allow_multiline = true;
  ini_allow_bom = true;
}

}  // namespace

const ini_section* ini_document::Find(std::string_view name) const {
  const auto found = std::find_if(sections.begin(), sections.end(),
                                  [&](const ini_section& section) { return section.name == name; });
  return found == sections.end() ? nullptr : &*found;
}

error ErrorAtLine(std::string_view step, std::string_view file, int line, std::string message) {
  return error{error_kind::kUser, std::string(step), std::string(file) + ":" + std::to_string(line),
               std::move(message)};
}

ini_document ParseIni(std::string_view file, std::string_view text, std::vector<error>& errors) {
  ConfigureInih();
  line_feeder feeder(file, text, errors);
  const int status = ini_parse_stream(ReadLineCallback, &feeder, EntryCallback, &feeder);
  if (status == -2) {
    errors.push_back({error_kind::kInternal, std::string(kStep), std::string(file),
                      "Allocating the line buffer failed."});
  }
  return feeder.TakeDocument();
}

result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return Failure(error_kind::kUser, "read file", path,
                   "The file '" + path + "' cannot be opened: " + std::strerror(errno) + ".");
  }
  // A stream buffer throws on a read error, for example of a directory; the stream operator turns
  // that into a state of `text`. It also sets failbit for an empty file, which is not an error.
  std::ostringstream text;
  if (stream.peek() != std::ifstream::traits_type::eof()) text << stream.rdbuf();
  if (stream.bad() || !text) {
    return Failure(error_kind::kUser, "read file", path,
                   "The file '" + path + "' cannot be read to the end.");
  }
  return std::move(text).str();
}

}  // namespace bulrushway
