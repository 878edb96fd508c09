#ifndef BULRUSHWAY_INI_SECTION_READER_H
#define BULRUSHWAY_INI_SECTION_READER_H

// Reads the keys of one INI section into typed fields. It collects an error with file, line and
// remedy for each missing, malformed and unknown key, so that a user sees all mistakes at once.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ini_document.h"
#include "quantity.h"

namespace bulrushway {

/// Reader of one section. Ask for every key that the section may have, then call Finish.
class ini_section_reader {
 public:
  /// Reads `section` of `file`; `step` names the reading in errors, such as "read settings". Both
  /// the section and the errors outlive the reader.
  ini_section_reader(std::string_view file, const ini_section& section, std::string_view step,
                     std::vector<error>& errors);

  /// Reads a key that must be there. `example` shows a right value.
  template <class Value, class Parser>
  void ReadRequired(std::string_view key, std::string_view example, Value& target, Parser parse) {
    const ini_entry* entry = FindAndMarkKnown(key);
    if (entry == nullptr) {
      ReportMissing(key, example);
      return;
    }
    Assign(*entry, entry->value, target, parse);
  }

  /// Reads a key that may be left out; then `target` keeps its value.
  template <class Value, class Parser>
  void ReadOptional(std::string_view key, Value& target, Parser parse) {
    const ini_entry* entry = FindAndMarkKnown(key);
    if (entry != nullptr) Assign(*entry, entry->value, target, parse);
  }

  /// Reads a list separated by commas that may be left out. Wrong and repeated items are reported.
  template <class Value, class Parser>
  void ReadOptionalList(std::string_view key, std::vector<Value>& target, Parser parse) {
    const ini_entry* entry = FindAndMarkKnown(key);
    if (entry == nullptr) return;
    for (const std::string& item : SplitList(entry->value)) {
      Value value{};
      if (!Assign(*entry, item, value, parse)) continue;
      if (Contains(target, value)) {
        Report(key, "'" + item + "' stands twice in the list; keep one.");
        continue;
      }
      target.push_back(std::move(value));
    }
  }

  /// Reads a list that must be there and have an item.
  template <class Value, class Parser>
  void ReadRequiredList(std::string_view key, std::string_view example, std::vector<Value>& target,
                        Parser parse) {
    const ini_entry* entry = Find(key);
    if (entry == nullptr || SplitList(entry->value).empty()) {
      FindAndMarkKnown(key);
      ReportMissing(key, example);
      return;
    }
    ReadOptionalList(key, target, parse);
  }

  /// Reports an error at the line of `key`, or of the section when the key is not there.
  void Report(std::string_view key, std::string message);

  /// Line of `key`, or of the section when the key is not there.
  int LineOf(std::string_view key) const;

  /// Reports each key that was not asked for, with the nearest known one.
  void ReportUnknownKeys();

 private:
  template <class Value, class Parser>
  bool Assign(const ini_entry& entry, const std::string& text, Value& target, Parser parse) {
    auto value = parse(text);
    if (!value) {
      Report(entry.key, std::move(value.error()));
      return false;
    }
    target = static_cast<Value>(std::move(*value));
    return true;
  }

  template <class Value>
  static bool Contains(const std::vector<Value>& values, const Value& value) {
    for (const Value& earlier : values) {
      if (earlier == value) return true;
    }
    return false;
  }

  const ini_entry* Find(std::string_view key) const;
  // Finds a key and marks it as known.
  const ini_entry* FindAndMarkKnown(std::string_view key);
  void ReportMissing(std::string_view key, std::string_view example);

  std::string file_;
  const ini_section& section_;
  std::string step_;
  std::vector<error>& errors_;
  std::vector<std::string> known_keys_;
};

/// Reports each section that `known` does not list, with the nearest known one. A known name that
/// ends with a blank stands for all sections that start with it, such as "service ".
void ReportUnknownSections(const ini_document& document, const std::vector<std::string>& known,
                           std::string_view step, std::vector<error>& errors);

}  // namespace bulrushway

#endif  // BULRUSHWAY_INI_SECTION_READER_H
