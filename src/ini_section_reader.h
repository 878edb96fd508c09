#ifndef BULRUSHWAY_INI_SECTION_READER_H
#define BULRUSHWAY_INI_SECTION_READER_H

// Reads the keys of one INI section into typed fields. Collects an error with file, line and remedy
// for each missing, malformed and unknown key, so that a user sees all mistakes at once.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ini_document.h"
#include "quantity.h"

namespace bulrushway {

/// Reader of one section. Read every key that the section may have, then call ReportUnknownKeys.
class ini_section_reader {
 public:
  /// Reads `section` of `file`. `step` is the step named in errors, such as "read settings". The
  /// section and `errors` must outlive the reader.
  ini_section_reader(std::string_view file, const ini_section& section, std::string_view step,
                     std::vector<error>& errors);

  /// Reads a required key. `example` is a valid value, quoted in the error when the key is missing.
  template <class Value, class Parser>
  void ReadRequired(std::string_view key, std::string_view example, Value& target, Parser parse) {
    const ini_entry* entry = FindAndMarkKnown(key);
    if (entry == nullptr) {
      ReportMissing(key, example);
      return;
    }
    Assign(*entry, entry->value, target, parse);
  }

  /// Reads an optional key. `target` keeps its value when the key is absent.
  template <class Value, class Parser>
  void ReadOptional(std::string_view key, Value& target, Parser parse) {
    const ini_entry* entry = FindAndMarkKnown(key);
    if (entry != nullptr) Assign(*entry, entry->value, target, parse);
  }

  /// Reads an optional comma-separated list. Malformed and duplicate items are reported and
  /// skipped.
  template <class Value, class Parser>
  void ReadOptionalList(std::string_view key, std::vector<Value>& target, Parser parse) {
    const ini_entry* entry = FindAndMarkKnown(key);
    if (entry == nullptr) return;
    for (const std::string& item : SplitList(entry->value)) {
      Value value{};
      if (!Assign(*entry, item, value, parse)) continue;
      if (Contains(target, value)) {
        Report(key, "'" + item + "' appears twice in the list; keep one.");
        continue;
      }
      target.push_back(std::move(value));
    }
  }

  /// Reads a required comma-separated list with at least one item.
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

  /// Reports an error at the line of `key`, or of the section heading when the key is absent.
  void Report(std::string_view key, std::string message);

  /// Line of `key`, or of the section heading when the key is absent.
  int LineOf(std::string_view key) const;

  /// Reports each key that no Read method was called for, with the most similar known key.
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
  // Finds a key and records it as known, so that ReportUnknownKeys skips it.
  const ini_entry* FindAndMarkKnown(std::string_view key);
  void ReportMissing(std::string_view key, std::string_view example);

  std::string file_;
  const ini_section& section_;
  std::string step_;
  std::vector<error>& errors_;
  std::vector<std::string> known_keys_;
};

/// Reports each section whose name is not in `known`, with the most similar known name. A known
/// name that ends with a blank, such as "service ", matches all sections that start with it.
void ReportUnknownSections(const ini_document& document, const std::vector<std::string>& known,
                           std::string_view step, std::vector<error>& errors);

}  // namespace bulrushway

#endif  // BULRUSHWAY_INI_SECTION_READER_H
